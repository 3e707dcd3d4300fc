//! Answers other processes' requests for manifests and chunks.

use serde_bytes::ByteBuf;

use crate::{
    digest::Digest,
    peer::{ChunkAnswer, ChunkRequest, HaveAnswer, HaveRequest},
};

/// Gives out what this host holds, within its upload slots and its send rate.
#[derive(Debug, Default)]
pub struct ChunkServer {}

impl ChunkServer {
    /// The bytes of a manifest, if held.
    pub fn manifest(&self, _digest: &Digest) -> Option<ByteBuf> {
        None
    }

    /// The chunks held of a manifest, if it is known.
    pub fn have(&self, _request: &HaveRequest) -> Option<HaveAnswer> {
        None
    }

    /// One chunk, sent within the link budget.
    pub async fn chunk(&self, _request: ChunkRequest) -> ChunkAnswer {
        ChunkAnswer::Missing
    }
}
