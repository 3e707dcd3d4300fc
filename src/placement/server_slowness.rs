//! How much later than usual one server responds.

use std::time::{Duration, Instant};

use crate::ids::RouteId;

/// Time in which what a response showed loses most of its weight, so that a slow server is tried again.
const MEMORY: Duration = Duration::from_secs(1);
/// Variance of the logarithm of servers' slowness, if a slow one needs 2.5 times as long.
const PRIOR_VARIANCE: f64 = 0.84;
/// Least variance of a response that is assumed, as a share of `PRIOR_VARIANCE`: one response
/// shows two thirds of a server's slowness at most.
const MIN_VARIANCE_SHARE: f64 = 0.5;

/// Weight of the assumption that a server is as fast as usual.
const PRIOR_WEIGHT: f64 = 1.0;

/// The number of a call to a server, by which it is ended.
pub type CallNumber = u64;

/// The latest responses of a server and the calls that it hasn't responded to.
#[derive(Clone, Debug)]
pub(crate) struct ServerSlowness {
    evidence: Evidence,
    updated: Instant,
    calls: Vec<Call>,
}

/// A call that is in flight.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) number: CallNumber,
    pub(crate) route: RouteId,
    pub(crate) begun: Instant,
}

/// What responses show, weighted by their precision.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    weight: f64,
    weighted_excess: f64,
}

impl ServerSlowness {
    /// Creates the record of a server without responses.
    pub(crate) fn new(now: Instant) -> ServerSlowness {
        ServerSlowness { evidence: Evidence::default(), updated: now, calls: Vec::new() }
    }

    /// Records the begin of a call.
    pub(crate) fn begin(&mut self, call: Call) {
        self.calls.push(call);
    }

    /// Removes a call that has ended.
    pub(crate) fn end(&mut self, number: CallNumber) -> Option<Call> {
        let idx = self.calls.iter().position(|it| it.number == number)?;
        Some(self.calls.swap_remove(idx))
    }

    /// Records what a response showed.
    pub(crate) fn record(&mut self, evidence: Evidence, now: Instant) {
        self.evidence = self.evidence.faded(now - self.updated).plus(evidence);
        self.updated = now;
    }

    /// Returns what the latest responses showed.
    pub(crate) fn evidence(&self, now: Instant) -> Evidence {
        self.evidence.faded(now.saturating_duration_since(self.updated))
    }

    /// Returns the calls that are in flight.
    pub(crate) fn calls(&self) -> &[Call] {
        &self.calls
    }
}

impl Evidence {
    /// Creates the evidence of one response whose logarithm is `excess` above the usual one, among
    /// responses of this variance.
    pub(crate) fn new(excess: f64, variance: f64) -> Evidence {
        let weight = 1.0 / (MIN_VARIANCE_SHARE + variance / PRIOR_VARIANCE);
        Evidence { weight, weighted_excess: weight * excess }
    }

    /// Returns the logarithm of the factor by which a server is probably slower than usual; 0 without
    /// responses.
    pub(crate) fn slowness(&self) -> f64 {
        self.weighted_excess / (self.weight + PRIOR_WEIGHT)
    }

    /// Returns `true` if it tells more than what is assumed of all servers.
    pub(crate) fn outweighs_prior(&self) -> bool {
        self.weight >= PRIOR_WEIGHT
    }

    /// Returns the sum of both.
    pub(crate) fn plus(&self, other: Evidence) -> Evidence {
        Evidence {
            weight: self.weight + other.weight,
            weighted_excess: self.weighted_excess + other.weighted_excess,
        }
    }

    fn faded(&self, age: Duration) -> Evidence {
        let share = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Evidence { weight: self.weight * share, weighted_excess: self.weighted_excess * share }
    }
}
