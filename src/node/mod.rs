//! The handles that the components of one process share.

mod node;

pub use crate::node::node::Node;
