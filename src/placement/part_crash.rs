//! One crash of an engine, as evidence against the parts of a prompt.

use serde::{Deserialize, Serialize};

use crate::ids::BackendId;

/// Digest of the model and the id of a part of a prompt.
pub type PartDigest = u64;

/// An attempt during whose start the engine's process died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The parts that the request may share with others, in the order of its prompt.
    pub parts: Vec<PartDigest>,
    /// The engine whose process died.
    pub engine: BackendId,
    /// Time since the request was sent to the engine, in milliseconds, when this is passed on.
    pub sent_ago_ms: u32,
}
