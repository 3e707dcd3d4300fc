//! The list of chunk digests that fixes the bytes of one version.

use serde::{Deserialize, Serialize};

use crate::{digest::Digest, ids::VersionId};

/// Describes the weights of one version; its own digest is taken over its JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Name of the version.
    pub version: VersionId,
    /// Length of the weights.
    pub size_bytes: u64,
    /// Length of each chunk but the last.
    pub chunk_bytes: u32,
    /// Digest of the whole weights, as a model engine reports it.
    pub content_digest: Digest,
    /// Digests of the chunks, in order.
    pub chunks: Vec<Digest>,
}

/// Shortest chunk that `Manifest::build` makes.
pub const MIN_CHUNK_BYTES: u32 = 64 << 10;
/// Longest chunk that a manifest may have.
pub const MAX_CHUNK_BYTES: u32 = 4 << 20;
/// Number of chunks that `Manifest::build` aims at.
pub const TARGET_CHUNKS: u64 = 256;

impl Manifest {
    /// Describes `bytes` as `version`.
    pub fn build(version: &str, bytes: &[u8]) -> Manifest {
        let chunk_bytes = chunk_bytes_for(bytes.len() as u64);
        Manifest {
            version: version.to_owned(),
            size_bytes: bytes.len() as u64,
            chunk_bytes,
            content_digest: Digest::of(bytes),
            chunks: bytes.chunks(chunk_bytes as usize).map(Digest::of).collect(),
        }
    }

    /// The JSON text whose digest names the manifest.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest has only string keys")
    }
}

fn chunk_bytes_for(size_bytes: u64) -> u32 {
    let even = size_bytes.div_ceil(TARGET_CHUNKS);
    even.clamp(u64::from(MIN_CHUNK_BYTES), u64::from(MAX_CHUNK_BYTES)) as u32
}
