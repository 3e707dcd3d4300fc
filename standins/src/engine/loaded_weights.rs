//! The weights that an engine answers with.

use crocustiller::digest::Digest;
use serde::{Deserialize, Serialize};
use serde_json::Value;

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
    pub(crate) fencing: Value,
}

/// The weights in the engine's memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadedWeights {
    pub(crate) version: Option<String>,
    pub(crate) content_digest: Option<Digest>,
    pub(crate) is_loading: bool,
    pub(crate) fencing: Value,
}

/// What an engine says about itself.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StateAnswer {
    pub(crate) version: Option<String>,
    pub(crate) content_digest: Option<Digest>,
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) fencing: Value,
}

impl LoadedWeights {
    /// What the next token is computed with; `None` without weights.
    pub(crate) fn fingerprint(&self) -> Option<String> {
        if self.is_loading {
            return Some(PARTIAL_WEIGHTS.to_owned());
        }
        self.content_digest.map(|it| it.to_string())
    }

    /// Whether an order with `fencing` is older than one taken before.
    pub(crate) fn is_outdated(&self, fencing: &Value) -> bool {
        numbers_of(fencing) < numbers_of(&self.fencing)
    }
}

/// Fingerprint of an answer that began under `first` and went on under `next`.
pub(crate) fn joined(first: &str, next: &str) -> String {
    if first == next {
        return first.to_owned();
    }
    MIXED_WEIGHTS.to_owned()
}

/// The numbers of a fencing value, most significant first.
fn numbers_of(fencing: &Value) -> Vec<u64> {
    match fencing {
        Value::Array(items) => items.iter().flat_map(numbers_of).collect(),
        Value::Number(it) => it.as_u64().into_iter().collect(),
        Value::String(text) => text.split('.').filter_map(|it| it.parse().ok()).collect(),
        Value::Object(fields) => {
            let keys = ["switch_number", "switch", "order_count", "order"];
            keys.iter().filter_map(|it| fields.get(*it)).flat_map(numbers_of).collect()
        }
        Value::Null | Value::Bool(_) => Vec::new(),
    }
}
