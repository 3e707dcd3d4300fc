//! The load of an engine.

/// The load of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of requests in progress.
    pub n_requests: u32,
    /// Prompt tokens of the requests whose first event has not arrived.
    pub unread_tokens: u32,
}
