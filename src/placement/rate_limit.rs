//! How often a server may get a request.

use std::time::Duration;

/// Requests that may follow each other at once, so that two that arrive together don't wait.
const MAX_BURST: u32 = 2;
/// Time by which the delays between a grant and the arrival of its request may differ: the wait of the
/// datagram, that of its holder for processor time, and a new connection.
const SEND_DELAY: Duration = Duration::from_millis(200);
/// Longest interval, for rates so low that theirs can't be represented.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);

/// A limit on the rate of requests to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Mean time between two requests, at the least.
    pub interval: Duration,
    /// Requests that may follow each other at once after a pause.
    pub burst: u32,
    /// Whether requests are held back by it. If not, they are only counted, for the moment at which the
    /// server becomes cold.
    pub is_binding: bool,
}

impl RateLimit {
    /// Returns the limit with which at most `n_requests` arrive within any second. Less than one request
    /// means one in a longer time.
    pub fn per_second(n_requests: f64) -> RateLimit {
        let n_whole = if n_requests >= 1.0 { n_requests.floor() } else { n_requests };
        let burst = if n_whole >= f64::from(MAX_BURST) { MAX_BURST } else { 1 };
        let n_after_burst = n_whole - f64::from(burst - 1);
        let window = Duration::from_secs(1) + SEND_DELAY;
        let interval = Duration::try_from_secs_f64(window.as_secs_f64() / n_after_burst);
        let interval = interval.map_or(MAX_INTERVAL, |it| it.min(MAX_INTERVAL));
        RateLimit { interval, burst, is_binding: true }
    }

    /// Returns the time that a whole burst takes beyond its first request.
    pub(crate) fn burst_time(&self) -> Duration {
        self.interval * (self.burst - 1)
    }
}
