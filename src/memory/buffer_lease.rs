//! The right to keep the bytes of one message in memory.

use crate::memory::{BufferId, Buffers};

/// The share of one buffer in the memory of the process, which ends when it is dropped.
#[derive(Debug)]
pub struct BufferLease {
    buffers: Buffers,
    id: BufferId,
    max_bytes: usize,
}

impl BufferLease {
    pub(crate) fn new(buffers: Buffers, id: BufferId, max_bytes: usize) -> BufferLease {
        BufferLease { buffers, id, max_bytes }
    }

    /// Lets the buffer grow by `n_bytes`; returns `false` if its bytes must be dropped instead.
    pub fn grow(&self, n_bytes: usize) -> bool {
        self.buffers.grow(self.id, n_bytes)
    }

    /// Lets the buffer shrink by `n_bytes`, which were dropped.
    pub fn shrink(&self, n_bytes: usize) {
        self.buffers.shrink(self.id, n_bytes);
    }

    /// Returns the size that the buffer may have.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Records that the message is complete, so that it isn't given up for others.
    pub fn complete(&self) {
        self.buffers.complete(self.id);
    }

    /// Records that the message is a response that waits until its caller has read it. It may be given
    /// up from now on.
    pub fn wait_for_caller(&self) {
        self.buffers.wait_for_caller(self.id);
    }

    /// Lets the tasks run whose buffers were given up, so that they drop the bytes.
    pub async fn yield_to_given_up(&self) {
        self.buffers.yield_to_given_up().await;
    }

    /// Waits until the buffer is given up for another one; its bytes must then be dropped.
    pub async fn wait_until_given_up(&self) {
        self.buffers.wait_until_given_up(self.id).await;
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.buffers.close(self.id);
    }
}
