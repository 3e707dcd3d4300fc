//! The handles that the components of one process share.

mod drain;
mod node;

pub use crate::node::{drain::Drain, node::Node};
