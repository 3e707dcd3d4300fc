//! The claims and outcomes that one platform object holds.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationSeconds};
use uuid::Uuid;

use crate::digest::Digest;

/// Claims by customer and idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBucket {
    /// The claims.
    pub claims: BTreeMap<String, Claim>,
}

/// The right of one slot to run one call.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Names the attempt that claimed; only that attempt runs the call.
    pub id: Uuid,
    /// Digest of the call's method, path and body.
    pub call_digest: Digest,
    /// Time of the claim since 1970.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub claimed_at_s: Duration,
    /// How the call ended, once that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<CallOutcome>,
}

/// The answer of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOutcome {
    /// HTTP status of the service's answer.
    pub status: u16,
    /// Media type of the answer.
    pub content_type: Option<String>,
    /// The answer's body, unless it is too long to keep or no text.
    pub body: Option<String>,
}

/// A change of one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims a call, unless its key is claimed already.
    Take {
        /// Key of the claim in the object.
        entry: String,
        /// The new claim.
        claim: Claim,
    },
    /// Records how a claimed call ended.
    Settle {
        /// Key of the claim in the object.
        entry: String,
        /// The attempt that ran the call.
        id: Uuid,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// Gives a claim back whose call certainly did not run.
    Release {
        /// Key of the claim in the object.
        entry: String,
        /// The attempt that claimed.
        id: Uuid,
    },
}

/// What a change did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim is held by the attempt that asked for it.
    Held,
    /// Another attempt holds a claim with this key.
    Taken(Claim),
    /// The outcome is recorded or the claim is given back.
    Noted,
}

impl ClaimBucket {
    /// Applies a change; applying it again gives the same answer and changes nothing.
    pub fn apply(&mut self, change: &ClaimChange) -> ClaimAnswer {
        match change {
            ClaimChange::Take { entry, claim } => match self.claims.get(entry) {
                Some(held) if held.id == claim.id => ClaimAnswer::Held,
                Some(held) => ClaimAnswer::Taken(held.clone()),
                None => {
                    self.claims.insert(entry.clone(), claim.clone());
                    ClaimAnswer::Held
                }
            },
            ClaimChange::Settle { entry, id, outcome } => {
                if let Some(held) = self.claims.get_mut(entry).filter(|it| it.id == *id) {
                    held.outcome = Some(outcome.clone());
                }
                ClaimAnswer::Noted
            }
            ClaimChange::Release { entry, id } => {
                let is_own = |it: &Claim| it.id == *id && it.outcome.is_none();
                if self.claims.get(entry).is_some_and(is_own) {
                    self.claims.remove(entry);
                }
                ClaimAnswer::Noted
            }
        }
    }

    /// Drops claims made before `oldest` since 1970.
    pub fn expire(&mut self, oldest: Duration) {
        self.claims.retain(|_, it| it.claimed_at_s >= oldest);
    }
}
