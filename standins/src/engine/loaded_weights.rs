//! The weights that an engine answers with.

use crocustiller::digest::Digest;
use serde::{Deserialize, Serialize};

/// Fingerprint of an answer that was computed while weights were being replaced.
pub const PARTIAL_WEIGHTS: &str = "partial-weights";
/// Fingerprint of an answer whose tokens come from two versions.
pub const MIXED_WEIGHTS: &str = "mixed-weights";

/// An order to load weights.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LoadOrder {
    pub(crate) version: String,
    pub(crate) url: String,
    #[serde(default)]
    pub(crate) fencing: u64,
}

/// The weights in the engine's memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadedWeights {
    pub(crate) version: Option<String>,
    pub(crate) content_digest: Option<Digest>,
    pub(crate) is_loading: bool,
    pub(crate) fencing: u64,
}

/// What an engine says about itself.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StateResponse {
    pub(crate) version: Option<String>,
    pub(crate) content_digest: Option<Digest>,
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) fencing: u64,
}

impl LoadedWeights {
    /// What the next token is computed with; `None` without weights.
    pub(crate) fn fingerprint(&self) -> Option<String> {
        if self.is_loading {
            return Some(PARTIAL_WEIGHTS.to_owned());
        }
        self.content_digest.map(|it| it.to_string())
    }
}

/// Fingerprint of an answer that began under `first` and went on under `next`.
pub(crate) fn combine_fingerprints(first: &str, next: &str) -> String {
    if first == next {
        return first.to_owned();
    }
    MIXED_WEIGHTS.to_owned()
}
