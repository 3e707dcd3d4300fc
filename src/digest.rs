//! BLAKE3 digests, written as hexadecimal text.

use std::{fmt, str::FromStr};

use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};

/// A BLAKE3 digest of 32 bytes.
///
/// It is encoded as 64 hexadecimal digits in text and JSON, and as 32 bytes in messages between
/// processes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the raw bytes of the digest.
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

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 32]>::deserialize(deserializer).map(Digest);
        }
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
