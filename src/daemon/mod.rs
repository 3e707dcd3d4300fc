//! The lifecycle of one process, from reading its settings to the end of its graceful shutdown.

mod arguments;
mod components;
mod daemon;

pub use crate::daemon::{
    arguments::run,
    daemon::{Daemon, Leaving, Serving, StartError, Starting},
};
