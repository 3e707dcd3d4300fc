//! A chunk whose bytes match its digest.

use quick_error::quick_error;

use crate::{digest::Digest, weights::ChunkBytes};

quick_error! {
    /// The reason why a chunk failed verification.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ChunkError {
        /// The digest of the bytes is not the expected one.
        Digest(expected: Digest, actual: Digest) {
            display("the chunk has digest {actual}, not {expected}; check the weights at its sender")
        }
    }
}

/// A chunk whose bytes match its digest.
///
/// Only verified chunks are stored and passed on, so that corrupt bytes do not spread.
#[derive(Clone, Debug)]
pub struct VerifiedChunk {
    digest: Digest,
    bytes: ChunkBytes,
}

impl VerifiedChunk {
    /// Verifies that `bytes` have the digest `expected`.
    pub fn verify(bytes: ChunkBytes, expected: &Digest) -> Result<VerifiedChunk, ChunkError> {
        let actual = Digest::of(&bytes);
        if actual != *expected {
            return Err(ChunkError::Digest(*expected, actual));
        }
        Ok(VerifiedChunk { digest: actual, bytes })
    }

    /// Returns the digest of the bytes.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &ChunkBytes {
        &self.bytes
    }
}
