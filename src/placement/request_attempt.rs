//! One attempt of a caller.

use serde::{Deserialize, Serialize};

use crate::placement::Fingerprint;

/// An attempt of a caller to get a response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestAttempt {
    /// Digest of the request, which is the same if the caller repeats it.
    pub request: Fingerprint,
    /// Number of the attempt, which differs if the caller repeats it.
    pub number: u64,
}

impl RequestAttempt {
    /// Returns where the attempt begins to ask owners, in 0 to 1. All attempts of a request begin at the
    /// same one, which remembers its refusal.
    pub fn owner_position(&self) -> f64 {
        self.request as f64 / u64::MAX as f64
    }
}
