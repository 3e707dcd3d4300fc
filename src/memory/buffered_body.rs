//! The body of one message, in leased memory.

use std::collections::VecDeque;

use crate::memory::{BodyBlocks, BufferLease};

/// A complete body; the memory is released as its blocks are taken out.
#[derive(Debug)]
pub struct BufferedBody {
    blocks: BodyBlocks,
    lease: BufferLease,
}

impl BufferedBody {
    /// Creates the body of a complete message, which is kept from now on.
    pub fn new(blocks: BodyBlocks, lease: BufferLease) -> BufferedBody {
        lease.complete();
        BufferedBody { blocks, lease }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns `true` if there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Separates the bytes from their lease, to which they belong until they are dropped.
    pub fn into_blocks(self) -> (VecDeque<Vec<u8>>, BufferLease) {
        (self.blocks.into_inner(), self.lease)
    }
}
