//! How many requests a server may get in a time.

use std::time::Duration;

/// The most requests that may reach a server in any window of a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestQuota {
    /// Number of requests, at least one.
    pub max_requests: usize,
    /// Length of the window.
    pub window: Duration,
}
