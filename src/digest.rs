//! BLAKE3 digests that read and print as hexadecimal text.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// A BLAKE3 digest of 32 bytes; 64 hexadecimal digits in text and JSON.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// The raw bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl From<blake3::Hash> for Digest {
    fn from(hash: blake3::Hash) -> Digest {
        Digest(*hash.as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Digest, Self::Err> {
        blake3::Hash::from_hex(text).map(Digest::from)
    }
}
