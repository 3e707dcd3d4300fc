//! The life of one process, from its settings to the end of a graceful shutdown.

mod arguments;
mod components;
mod daemon;

pub use crate::daemon::{
    arguments::run,
    daemon::{Daemon, Leaving, Serving, StartError, Starting},
};
