//! The usual latency of a route's responses, over all servers.
//!
//! Load pattern: sizes have a long tail, and some servers are slow for seconds.
//!
//! Logarithms are averaged, as sizes may have a long tail: few long responses change the average little.

use std::time::{Duration, Instant};

/// Number of responses from which on the average is used.
const MIN_RESPONSES: u32 = 8;
/// Weight of a faster response in the average, and of a slower one. The average stays near the
/// latency of servers that aren't slow, also while many of them are.
const FALL_GAIN: f64 = 0.1;
const RISE_GAIN: f64 = 0.02;
/// Weight of the newest response in the variance.
const VARIANCE_GAIN: f64 = 0.05;
/// Largest change of the logarithm that one response shows, a factor of 20.
const MAX_EXCESS: f64 = 3.0;
/// Shortest latency that is told from others; a shorter one depends more on how busy this host is than
/// on the server.
const MIN_LATENCY: Duration = Duration::from_millis(5);
/// Number of standard deviations above the average from which on a response is late.
const LATE_DEVIATIONS: f64 = 3.0;
/// Factor above the average below which no response is late, however alike all are.
const MIN_LATE_FACTOR: f64 = 1.5;

/// A moving average of the logarithms of latencies.
#[derive(Clone, Debug)]
pub(crate) struct UsualLatency {
    log_mean: f64,
    /// Variance of the logarithms among responses of servers that are equally slow.
    variance: f64,
    n_responses: u32,
    last_response: Instant,
}

impl UsualLatency {
    /// Creates the average of one response.
    pub(crate) fn new(latency: Duration, now: Instant) -> UsualLatency {
        UsualLatency { log_mean: log(latency), variance: 0.0, n_responses: 1, last_response: now }
    }

    /// Records a response of a server that responds later than usual by the factor `exp(slowness)`.
    pub(crate) fn record(&mut self, latency: Duration, slowness: f64, now: Instant) {
        self.last_response = now;
        self.n_responses = self.n_responses.saturating_add(1);
        let excess = self.excess(latency);
        let first_gain = 1.0 / f64::from(self.n_responses);
        let gain = if excess < 0.0 { FALL_GAIN } else { RISE_GAIN };
        self.log_mean += excess * gain.max(first_gain);
        let deviation = (excess - slowness).powi(2) - self.variance;
        self.variance += deviation * VARIANCE_GAIN.max(first_gain);
    }

    /// Returns the logarithm of the factor by which a latency is longer than usual.
    pub(crate) fn excess(&self, latency: Duration) -> f64 {
        (log(latency) - self.log_mean).clamp(-MAX_EXCESS, MAX_EXCESS)
    }

    /// Returns the variance of the logarithms.
    pub(crate) fn variance(&self) -> f64 {
        self.variance
    }

    /// Returns `true` if there were enough responses to judge others by.
    pub(crate) fn is_known(&self) -> bool {
        self.n_responses >= MIN_RESPONSES
    }

    /// Returns the usual latency of a server that responds later by the factor `exp(slowness)`.
    pub(crate) fn expected(&self, slowness: f64) -> Duration {
        Duration::from_secs_f64((self.log_mean + slowness).exp())
    }

    /// Returns the latency that few responses exceed.
    pub(crate) fn late(&self) -> Duration {
        self.expected((LATE_DEVIATIONS * self.variance.sqrt()).max(MIN_LATE_FACTOR.ln()))
    }

    /// Returns the time of the latest response.
    pub(crate) fn last_response(&self) -> Instant {
        self.last_response
    }
}

/// Returns the logarithm of a latency in seconds.
fn log(latency: Duration) -> f64 {
    latency.max(MIN_LATENCY).as_secs_f64().ln()
}
