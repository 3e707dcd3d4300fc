//! The memory that one process may use for message bodies that it buffers.
//!
//! A limit for each message is not enough: many messages within it can still exceed the memory of the
//! host, and the process would end with every request that it holds.

mod body_blocks;
mod buffer_budget;
mod buffer_lease;
mod buffered_body;
mod buffers;

pub use crate::memory::{
    body_blocks::BodyBlocks,
    buffer_budget::{BufferBudget, BufferId, BufferLimits, BufferSender},
    buffer_lease::BufferLease,
    buffered_body::BufferedBody,
    buffers::Buffers,
};
