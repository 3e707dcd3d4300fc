//! What the pieces of one version must be.

use sha2::{Digest, Sha256};

/// SHA-256 of a piece.
pub type PieceDigest = [u8; 32];

/// Digests of all pieces of one version, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The digests.
    pub digests: Vec<PieceDigest>,
}

impl Manifest {
    /// Whether `bytes` are piece `number`.
    pub fn matches(&self, number: u32, bytes: &[u8]) -> bool {
        let digest: PieceDigest = Sha256::digest(bytes).into();
        self.digests.get(number as usize) == Some(&digest)
    }

    /// Number of pieces.
    pub fn n_pieces(&self) -> u32 {
        self.digests.len() as u32
    }
}
