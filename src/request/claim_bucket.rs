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
    Acquire {
        /// Key of the claim in the object.
        entry_key: String,
        /// The new claim.
        claim: Claim,
    },
    /// Records how a claimed call ended.
    RecordOutcome {
        /// Key of the claim in the object.
        entry_key: String,
        /// The attempt that ran the call.
        id: Uuid,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// Gives a claim back whose call certainly did not run.
    Release {
        /// Key of the claim in the object.
        entry_key: String,
        /// The attempt that claimed.
        id: Uuid,
    },
}

/// What a change did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is held by the attempt that asked for it.
    Acquired,
    /// Another attempt holds a claim with this key.
    AlreadyClaimed(Claim),
    /// The outcome is recorded or the claim is given back.
    Updated,
}

impl ClaimBucket {
    /// Applies a change; applying it again gives the same answer and changes nothing.
    pub fn apply(&mut self, change: &ClaimChange) -> ClaimResult {
        match change {
            ClaimChange::Acquire { entry_key, claim } => match self.claims.get(entry_key) {
                Some(existing) if existing.id == claim.id => ClaimResult::Acquired,
                Some(existing) => ClaimResult::AlreadyClaimed(existing.clone()),
                None => {
                    self.claims.insert(entry_key.clone(), claim.clone());
                    ClaimResult::Acquired
                }
            },
            ClaimChange::RecordOutcome { entry_key, id, outcome } => {
                if let Some(existing) = self.claims.get_mut(entry_key).filter(|it| it.id == *id) {
                    existing.outcome = Some(outcome.clone());
                }
                ClaimResult::Updated
            }
            ClaimChange::Release { entry_key, id } => {
                let is_own = |it: &Claim| it.id == *id && it.outcome.is_none();
                if self.claims.get(entry_key).is_some_and(is_own) {
                    self.claims.remove(entry_key);
                }
                ClaimResult::Updated
            }
        }
    }

    /// Drops claims made before `oldest` since 1970.
    pub fn expire(&mut self, oldest: Duration) {
        self.claims.retain(|_, it| it.claimed_at_s >= oldest);
    }
}
