//! The handles that the stages of one process share.

mod node;

pub use crate::node::node::Node;
