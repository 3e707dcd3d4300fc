//! The claims and outcomes that are stored in one platform object.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationSeconds};
use uuid::Uuid;

use crate::digest::Digest;

/// The value of a claim object: claims by customer and idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBucket {
    /// Claims by entry key.
    pub claims: BTreeMap<String, Claim>,
}

/// The right of one attempt at a slot to run one call.
///
/// It keeps a retried call from taking effect twice.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the attempt that acquired the claim; only that attempt runs the call.
    pub id: Uuid,
    /// Digest of the method, path and body of the call.
    pub call_digest: Digest,
    /// Time of the claim since the Unix epoch.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub claimed_at_s: Duration,
    /// Outcome of the call, once it is recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<CallOutcome>,
}

/// The response of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOutcome {
    /// HTTP status of the service's response.
    pub status: u16,
    /// Media type of the response.
    pub content_type: Option<String>,
    /// Body of the response; `None` if it is too long to record or is not text.
    pub body: Option<String>,
}

/// A change of one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Acquires a claim, unless the key is already claimed.
    Acquire {
        /// Key of the claim in the object.
        entry_key: String,
        /// The new claim.
        claim: Claim,
    },
    /// Records the outcome of a claimed call.
    RecordOutcome {
        /// Key of the claim in the object.
        entry_key: String,
        /// Id of the attempt that ran the call.
        id: Uuid,
        /// Outcome of the call.
        outcome: CallOutcome,
    },
    /// Releases a claim whose call certainly did not run.
    Release {
        /// Key of the claim in the object.
        entry_key: String,
        /// Id of the attempt that acquired the claim.
        id: Uuid,
    },
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The attempt that requested the claim has it.
    Acquired,
    /// Another attempt has a claim with this key.
    AlreadyClaimed(Claim),
    /// An outcome or a release was applied, or ignored if the claim is not the attempt's own.
    Updated,
}

impl ClaimBucket {
    /// Applies a change; applying it again returns the same result and changes nothing.
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

    /// Removes claims made before `oldest`, a time since the Unix epoch.
    pub fn expire(&mut self, oldest: Duration) {
        self.claims.retain(|_, it| it.claimed_at_s >= oldest);
    }
}
