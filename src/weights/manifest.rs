//! The manifest of a version: the digests of all its chunks.

use std::ops::Range;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{digest::Digest, ids::VersionId};

/// The sizes and digests of the weights of one version and of their chunks.
///
/// A manifest is identified by the digest of its JSON text, which thereby fixes every byte of the
/// weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Name of the version.
    pub version: VersionId,
    /// Length of the weights.
    pub size_bytes: u64,
    /// Length of each chunk except the last, which may be shorter.
    pub chunk_bytes: u32,
    /// Digest of the complete weights, as an engine reports it.
    pub content_digest: Digest,
    /// Digests of the chunks, in order.
    pub chunks: Vec<Digest>,
}

/// Shortest chunk length that `Manifest::build` chooses.
pub const MIN_CHUNK_BYTES: u32 = 64 << 10;
/// Longest chunk length that is allowed in a manifest.
pub const MAX_CHUNK_BYTES: u32 = 4 << 20;
/// Number of chunks for which `Manifest::build` chooses the chunk length.
pub const TARGET_CHUNKS: u64 = 256;
/// Maximum length of a manifest's JSON text; it must fit into one frame between processes.
pub const MAX_MANIFEST_BYTES: usize = 7 << 20;

quick_error! {
    /// The reason why a manifest is invalid.
    #[derive(Debug)]
    pub enum ManifestError {
        /// The text is longer than `MAX_MANIFEST_BYTES`.
        TooLong(n_bytes: usize) {
            display("the manifest has {n_bytes} bytes, at most {MAX_MANIFEST_BYTES} are allowed; use larger chunks")
        }
        /// The digest of the text is not the expected one.
        Digest(expected: Digest, actual: Digest) {
            display("the manifest has digest {actual}, not {expected}; the source holds another version")
        }
        /// The text is not valid JSON of a manifest.
        Malformed(err: serde_json::Error) {
            source(err)
            display("the manifest can't be read: {err}; write it again from the weights")
        }
        /// The length of the weights is zero.
        Empty {
            display("the manifest has size_bytes=0, but weights have at least one byte; write it again from the weights")
        }
        /// The chunk length is zero or above the limit.
        ChunkBytes(chunk_bytes: u32) {
            display("the manifest has chunk_bytes={chunk_bytes}; use a value from 1 to {MAX_CHUNK_BYTES}")
        }
        /// The number of listed chunks does not match the sizes.
        ChunkCount(listed: u64, needed: u64) {
            display("the manifest lists {listed} chunks, but its sizes need {needed}; write it again from the weights")
        }
        /// The weights exceed the memory limit.
        Memory(size_bytes: u64, limit_bytes: u64) {
            display("the weights have {size_bytes} bytes, memory_limit_bytes allows {limit_bytes}; raise the limit")
        }
    }
}

impl Manifest {
    /// Creates the manifest of the weights `bytes` of `version`.
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

    /// Parses and validates a JSON text; the weights may have at most `limit_bytes`.
    pub fn parse(json: &[u8], limit_bytes: u64) -> Result<Manifest, ManifestError> {
        if json.len() > MAX_MANIFEST_BYTES {
            return Err(ManifestError::TooLong(json.len()));
        }
        let manifest: Manifest = serde_json::from_slice(json).map_err(ManifestError::Malformed)?;
        manifest.validate(limit_bytes)?;
        Ok(manifest)
    }

    /// Parses and validates a text that must have the digest `expected`; other text is not parsed.
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

    /// Returns the JSON text, whose digest identifies the manifest.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest has only string keys")
    }

    /// Returns the number of chunks.
    pub fn n_chunks(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// Returns the byte range of chunk `idx` in the weights.
    pub fn byte_range(&self, idx: u32) -> Range<u64> {
        let start = u64::from(idx) * u64::from(self.chunk_bytes);
        start..(start + u64::from(self.chunk_bytes)).min(self.size_bytes)
    }

    fn validate(&self, limit_bytes: u64) -> Result<(), ManifestError> {
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
