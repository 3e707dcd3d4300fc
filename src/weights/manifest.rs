//! The list of chunk digests that fixes the bytes of one version.

use std::ops::Range;

use quick_error::quick_error;
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
/// Longest JSON text of a manifest; it must fit into one frame between processes.
pub const MAX_MANIFEST_BYTES: usize = 7 << 20;

quick_error! {
    /// Why a manifest was refused.
    #[derive(Debug)]
    pub enum ManifestError {
        /// The text is longer than any manifest.
        TooLong(n_bytes: usize) {
            display("the manifest has {n_bytes} bytes, at most {MAX_MANIFEST_BYTES} are allowed; use larger chunks")
        }
        /// The text has another digest than the one asked for.
        Digest(expected: Digest, actual: Digest) {
            display("the manifest has digest {actual}, not {expected}; the source holds another version")
        }
        /// The text is not a manifest.
        Malformed(err: serde_json::Error) {
            source(err)
            display("the manifest can't be read: {err}; write it again from the weights")
        }
        /// The weights are empty.
        Empty {
            display("the manifest says size_bytes=0; weights have at least one byte")
        }
        /// Chunks are shorter or longer than allowed.
        ChunkBytes(chunk_bytes: u32) {
            display("the manifest says chunk_bytes={chunk_bytes}; 1 to {MAX_CHUNK_BYTES} are allowed")
        }
        /// The number of chunks does not fit the sizes.
        ChunkCount(listed: u64, needed: u64) {
            display("the manifest lists {listed} chunks but its sizes need {needed}; write it again from the weights")
        }
        /// The weights do not fit into memory.
        Memory(size_bytes: u64, limit_bytes: u64) {
            display("the weights have {size_bytes} bytes, memory_limit_bytes allows {limit_bytes}; raise the limit")
        }
    }
}

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

    /// Reads and checks a JSON text; `limit_bytes` bounds the weights that it describes.
    pub fn parse(json: &[u8], limit_bytes: u64) -> Result<Manifest, ManifestError> {
        if json.len() > MAX_MANIFEST_BYTES {
            return Err(ManifestError::TooLong(json.len()));
        }
        let manifest: Manifest = serde_json::from_slice(json).map_err(ManifestError::Malformed)?;
        manifest.check(limit_bytes)?;
        Ok(manifest)
    }

    /// As `parse`, for a text that must have the digest `expected`; other text is not even parsed.
    pub fn parse_verified(
        json: &[u8],
        expected: &Digest,
        limit_bytes: u64,
    ) -> Result<Manifest, ManifestError> {
        let actual = Digest::of(json);
        if actual != *expected {
            return Err(ManifestError::Digest(*expected, actual));
        }
        Manifest::parse(json, limit_bytes)
    }

    /// The JSON text whose digest names the manifest.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest has only string keys")
    }

    /// Number of chunks.
    pub fn n_chunks(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// Where chunk `idx` stands in the weights, in bytes.
    pub fn byte_range(&self, idx: u32) -> Range<u64> {
        let start = u64::from(idx) * u64::from(self.chunk_bytes);
        start..(start + u64::from(self.chunk_bytes)).min(self.size_bytes)
    }

    fn check(&self, limit_bytes: u64) -> Result<(), ManifestError> {
        if self.size_bytes == 0 {
            return Err(ManifestError::Empty);
        }
        if self.chunk_bytes == 0 || self.chunk_bytes > MAX_CHUNK_BYTES {
            return Err(ManifestError::ChunkBytes(self.chunk_bytes));
        }
        let needed = self.size_bytes.div_ceil(u64::from(self.chunk_bytes));
        let listed = self.chunks.len() as u64;
        if listed != needed {
            return Err(ManifestError::ChunkCount(listed, needed));
        }
        if self.size_bytes > limit_bytes {
            return Err(ManifestError::Memory(self.size_bytes, limit_bytes));
        }
        Ok(())
    }
}

fn chunk_bytes_for(size_bytes: u64) -> u32 {
    let even_chunk_bytes = size_bytes.div_ceil(TARGET_CHUNKS);
    even_chunk_bytes.clamp(u64::from(MIN_CHUNK_BYTES), u64::from(MAX_CHUNK_BYTES)) as u32
}
