//! A chunk whose bytes match the digest that was asked for.

use quick_error::quick_error;

use crate::{digest::Digest, weights::ChunkBytes};

quick_error! {
    /// The bytes of a chunk do not match its digest.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ChunkError {
        /// Other bytes than asked for.
        Digest(wanted: Digest, got: Digest) {
            display("a chunk has digest {got}, not {wanted}")
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
    /// Checks `bytes` against the digest `wanted`.
    pub fn verify(bytes: ChunkBytes, wanted: &Digest) -> Result<VerifiedChunk, ChunkError> {
        let got = Digest::of(&bytes);
        if got != *wanted {
            return Err(ChunkError::Digest(*wanted, got));
        }
        Ok(VerifiedChunk { digest: got, bytes })
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
