//! The load that a backend server can handle shortly after its start.

use std::time::Duration;

/// How long a backend server of a pool or service is cold after its start, and the load that it
/// can handle until then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which it is cold after a start.
    pub duration: Duration,
    /// Requests per second that it can handle while cold, summed over all hosts.
    pub max_requests_per_s: f64,
}
