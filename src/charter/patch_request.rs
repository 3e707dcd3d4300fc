//! What an operator asks for and what became of it.

use std::{fmt, time::Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    digest::Digest,
    ids::{DocumentNumber, PatchId},
    verdict::Verdict,
};

/// A patch of the charter as an operator sends it.
#[derive(Clone, Debug)]
pub struct PatchRequest {
    /// Idempotency key of the patch.
    pub id: PatchId,
    /// Number of the charter that the patch was made for.
    pub base_number: DocumentNumber,
    /// JSON merge patch (RFC 7396).
    pub patch: Value,
    /// Time at which the operator stops waiting.
    pub deadline: Instant,
}

impl PatchRequest {
    /// Digest of what is asked for, by which a repeated patch is told from another with its id.
    pub fn digest(&self) -> Digest {
        Digest::of(format!("{} {}", self.base_number, self.patch).as_bytes())
    }
}

/// One field of a charter that can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, with dots between the names.
    pub field: String,
    /// What is wrong and what is allowed.
    pub reason: String,
}

impl FieldError {
    /// Makes an error for `field`.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError { field: field.into(), reason: reason.into() }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchOutcome {
    /// The patch made the charter with this number, now or when it was sent before.
    Accepted(DocumentNumber),
    /// The patch was made for another number than the current one and did not take effect.
    Stale {
        /// Number of the charter now.
        current: DocumentNumber,
    },
    /// The patched charter would not be valid; every bad field is named.
    Invalid(Vec<FieldError>),
    /// The platform could not be asked; the patch did not take effect and never will.
    Unavailable(String),
    /// The answer of the platform was lost and not settled in time; ask for the patch's state.
    Unsettled(String),
}

impl PatchOutcome {
    /// Whether the patch may have taken effect.
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

/// What is known about a patch by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PatchState {
    /// The patch made the charter with this number.
    Accepted(DocumentNumber),
    /// The patch did not take effect and never will; its id can't be used again.
    Refused,
    /// The platform can't tell now; ask again.
    Unknown,
}
