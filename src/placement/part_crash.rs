//! One crash of an engine, as evidence against the parts of a prompt.

use serde::{Deserialize, Serialize};

use crate::{ids::BackendId, placement::Fingerprint};

/// Digest of the model and the id of a part of a prompt.
pub type PartDigest = u64;

/// An attempt during whose start the engine's process died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The parts that the request may share with others, in the order of its prompt.
    pub parts: Vec<PartDigest>,
    /// Digest of the whole request, the same for all of its attempts and repetitions.
    pub request: Fingerprint,
    /// The engine whose process died.
    pub engine: BackendId,
    /// Time since the request was sent to the engine, in milliseconds, when this is passed on.
    pub sent_ago_ms: u32,
}
