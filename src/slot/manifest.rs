//! The expected digests of the pieces of one version.

use sha2::{Digest, Sha256};

/// The SHA-256 digest of a piece.
pub type PieceDigest = [u8; 32];

/// The digests of all pieces of one version, by which a slot verifies each piece that it receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// One digest per piece, in the order of the piece numbers.
    pub digests: Vec<PieceDigest>,
}

impl Manifest {
    /// Returns `true` if the digest of `bytes` is that of piece `number`.
    pub fn matches(&self, number: u32, bytes: &[u8]) -> bool {
        let digest: PieceDigest = Sha256::digest(bytes).into();
        self.digests.get(number as usize) == Some(&digest)
    }

    /// Returns the number of pieces.
    pub fn n_pieces(&self) -> u32 {
        self.digests.len() as u32
    }
}
