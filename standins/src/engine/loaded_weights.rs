//! The weights that an engine has loaded, and the fingerprints that they give to responses.

use crocustiller::digest::Digest;
use serde::{Deserialize, Serialize};

/// The fingerprint of a response that was computed while weights were being replaced.
pub const PARTIAL_WEIGHTS: &str = "partial-weights";
/// The fingerprint of a response whose tokens were computed with two versions.
pub const MIXED_WEIGHTS: &str = "mixed-weights";

/// An order to load weights.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LoadOrder {
    pub(crate) version: String,
    pub(crate) url: String,
    #[serde(default)]
    pub(crate) fencing: u64,
}

/// The weights in the memory of an engine; only their version and digest are kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadedWeights {
    pub(crate) version: Option<String>,
    pub(crate) content_digest: Option<Digest>,
    pub(crate) is_loading: bool,
    pub(crate) fencing: u64,
}

/// The response to a request for the state of an engine.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StateResponse {
    pub(crate) version: Option<String>,
    pub(crate) content_digest: Option<Digest>,
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) fencing: u64,
}

impl LoadedWeights {
    /// Returns the fingerprint of the weights that compute the next token, if there are any.
    pub(crate) fn fingerprint(&self) -> Option<String> {
        if self.is_loading {
            return Some(PARTIAL_WEIGHTS.to_owned());
        }
        self.content_digest.map(|it| it.to_string())
    }
}

/// Returns the fingerprint of a response that was computed first with `first`, then with `next`.
pub(crate) fn combine_fingerprints(first: &str, next: &str) -> String {
    if first == next {
        return first.to_owned();
    }
    MIXED_WEIGHTS.to_owned()
}
