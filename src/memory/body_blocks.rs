//! The bytes of a body that is being received.

use std::collections::VecDeque;

/// Size at which a block is full. Blocks of one size need no copies when a body grows, and no memory
/// that stays unused.
const BLOCK_BYTES: usize = 64 << 10;
/// Free space of a block below which another one is begun.
const MIN_FREE_BYTES: usize = 16 << 10;

/// The bytes of a body, in blocks.
#[derive(Debug, Default)]
pub struct BodyBlocks {
    blocks: VecDeque<Vec<u8>>,
    /// Length of all blocks but the last one.
    full_bytes: usize,
}

impl BodyBlocks {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.full_bytes + self.blocks.back().map_or(0, Vec::len)
    }

    /// Returns `true` if there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the block to which the next bytes are appended.
    pub fn last_block(&mut self) -> &mut Vec<u8> {
        let last_bytes = self.blocks.back().map(Vec::len);
        if last_bytes.is_none_or(|it| it + MIN_FREE_BYTES > BLOCK_BYTES) {
            self.full_bytes += last_bytes.unwrap_or(0);
            self.blocks.push_back(Vec::new());
        }
        self.blocks.back_mut().expect("a block was just added")
    }

    /// Returns the blocks.
    pub fn into_inner(self) -> VecDeque<Vec<u8>> {
        self.blocks
    }
}
