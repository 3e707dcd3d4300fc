//! The bytes of a chunk, shared between tasks.

use std::{fmt, ops::Deref, sync::Arc};

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

/// The reference-counted bytes of a chunk; cloning does not copy them.
///
/// Serialized as one byte string, not element by element.
#[derive(Clone, PartialEq, Eq)]
pub struct ChunkBytes(Arc<Vec<u8>>);

impl ChunkBytes {
    /// Wraps `bytes` without copying them.
    pub fn new(bytes: Vec<u8>) -> ChunkBytes {
        ChunkBytes(Arc::new(bytes))
    }
}

impl Deref for ChunkBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ChunkBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkBytes({} bytes)", self.0.len())
    }
}

impl Serialize for ChunkBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ChunkBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChunkBytes, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor).map(ChunkBytes::new)
    }
}

struct BytesVisitor;

impl de::Visitor<'_> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes of a chunk")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }
}
