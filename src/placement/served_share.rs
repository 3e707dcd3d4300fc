//! The share of requests that were served lately.
//!
//! Load pattern: overload that changes within seconds; a share must tell of now, and not of one request.

use std::time::{Duration, Instant};

/// Time in which a decision loses all but 1/e of its weight: long enough to count the rare requests of a
/// class, short enough that a burst is soon forgotten.
const MEMORY_TIME: Duration = Duration::from_secs(8);
/// Weight of decisions below which a share says nothing.
const MIN_DECISIONS: f64 = 4.0;
/// Weight of decisions below which the record is removed.
const MIN_WEIGHT: f64 = 0.01;

/// Decisions on requests of one class, of which older ones weigh less.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServedShare {
    n_served: f64,
    n_decided: f64,
    updated: Instant,
}

impl ServedShare {
    /// Creates a share without decisions.
    pub(crate) fn new(now: Instant) -> ServedShare {
        ServedShare { n_served: 0.0, n_decided: 0.0, updated: now }
    }

    /// Records a decision.
    pub(crate) fn record(&mut self, is_served: bool, now: Instant) {
        let weight = self.weight_at(now);
        self.n_served = self.n_served * weight + f64::from(u8::from(is_served));
        self.n_decided = self.n_decided * weight + 1.0;
        self.updated = now;
    }

    /// Returns the share of the requests that were served, if enough were decided lately.
    pub(crate) fn share(&self, now: Instant) -> Option<f64> {
        let n_decided = self.n_decided * self.weight_at(now);
        (n_decided >= MIN_DECISIONS).then(|| self.n_served / self.n_decided)
    }

    /// Returns `true` if all decisions are so old that they don't count.
    pub(crate) fn is_forgotten(&self, now: Instant) -> bool {
        self.n_decided * self.weight_at(now) < MIN_WEIGHT
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        (-age / MEMORY_TIME.as_secs_f64()).exp()
    }
}
