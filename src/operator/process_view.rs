//! What the operator address shows and starts beyond the shared handles.

use async_channel::Sender;

/// Parts of one process beyond its shared handles.
#[derive(Clone, Debug)]
pub struct ProcessView {
    /// Starts a graceful shutdown; one message is enough.
    pub leave: Sender<()>,
}

impl ProcessView {
    /// Shows a process that a message to `leave` shuts down gracefully.
    pub fn new(leave: Sender<()>) -> ProcessView {
        ProcessView { leave }
    }
}
