//! The work that a request is for an engine.

use std::time::Duration;

/// The work of one request at an engine that has room for it, by the engine's published figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCost {
    /// Time to read its prompt.
    pub read: Duration,
    /// Time from the end of the prompt until the first event.
    pub first_event: Duration,
    /// Time to write its output.
    pub write: Duration,
    /// The number of tokens in memory at its end.
    pub memory_tokens: u64,
}

impl RequestCost {
    /// Returns the time from the start of the request until its first event.
    pub fn time_to_first_event(&self) -> Duration {
        self.read.saturating_add(self.first_event)
    }
}
