//! An operator's patch of the charter, its outcome and its state.

use std::{fmt, time::Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    digest::Digest,
    ids::{DocumentNumber, PatchId},
    verdict::Verdict,
};

/// A patch of the charter that an operator sends.
#[derive(Clone, Debug)]
pub struct PatchRequest {
    /// Idempotency key of the patch.
    pub id: PatchId,
    /// Number of the charter that the patch is based on.
    pub base_number: DocumentNumber,
    /// JSON merge patch (RFC 7396).
    pub patch: Value,
    /// Time at which the operator stops waiting for a response.
    pub deadline: Instant,
}

impl PatchRequest {
    /// Returns the digest of the base number and the patch.
    ///
    /// It distinguishes a retry of a patch from another patch with the same id.
    pub fn digest(&self) -> Digest {
        Digest::of(format!("{} {}", self.base_number, self.patch).as_bytes())
    }
}

/// An error in one field of a charter or a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, with dots between the names.
    pub field: String,
    /// Description of the error and of the accepted values.
    pub reason: String,
}

impl FieldError {
    /// Creates an error for `field`.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError { field: field.into(), reason: reason.into() }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// The outcome of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchOutcome {
    /// The patch resulted in the charter with this number, now or on an earlier attempt.
    Accepted(DocumentNumber),
    /// The patch is based on another number than the current one and did not take effect.
    Stale {
        /// Current number of the charter.
        current: DocumentNumber,
    },
    /// The patch or the patched charter is invalid; every invalid field is listed.
    Invalid(Vec<FieldError>),
    /// The platform could not be reached; the patch did not take effect and never will.
    Unavailable(String),
    /// The platform's response was lost and the outcome was not determined in time.
    ///
    /// The operator must request the state of the patch.
    Unsettled(String),
}

impl PatchOutcome {
    /// Returns whether the patch took effect, did not take effect or may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            PatchOutcome::Accepted(_) => Verdict::Ran,
            PatchOutcome::Unsettled(_) => Verdict::MayHaveRun,
            PatchOutcome::Stale { .. }
            | PatchOutcome::Invalid(_)
            | PatchOutcome::Unavailable(_) => Verdict::NotRun,
        }
    }
}

/// The state of a patch, looked up by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PatchState {
    /// The patch resulted in the charter with this number.
    Accepted(DocumentNumber),
    /// The patch did not take effect and never will; its id can't be reused.
    Refused,
    /// The state could not be read from the platform in time; the request must be retried.
    Unknown,
}
