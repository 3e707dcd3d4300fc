//! A chunk whose bytes match the digest that was asked for.

use quick_error::quick_error;

use crate::{digest::Digest, weights::ChunkBytes};

quick_error! {
    /// The bytes of a chunk do not match its digest.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ChunkError {
        /// Other bytes than asked for.
        Digest(expected: Digest, actual: Digest) {
            display("a chunk has digest {actual}, not {expected}")
        }
    }
}

/// A chunk that was checked; only checked chunks are kept and passed on.
#[derive(Clone, Debug)]
pub struct VerifiedChunk {
    digest: Digest,
    bytes: ChunkBytes,
}

impl VerifiedChunk {
    /// Checks `bytes` against the digest `expected`.
    pub fn verify(bytes: ChunkBytes, expected: &Digest) -> Result<VerifiedChunk, ChunkError> {
        let actual = Digest::of(&bytes);
        if actual != *expected {
            return Err(ChunkError::Digest(*expected, actual));
        }
        Ok(VerifiedChunk { digest: actual, bytes })
    }

    /// Digest of the bytes.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The bytes.
    pub fn bytes(&self) -> &ChunkBytes {
        &self.bytes
    }
}
