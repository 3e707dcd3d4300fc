//! Divides the request rate that a cold server can handle among the hosts that may send to it.
//!
//! Load pattern: while cells change, two entry hosts may own an engine and others know no owner; together
//! they must not exceed what it can handle.

use crate::{placement::RateLimit, routing::ColdStart};

/// Share of the outer bound for one owner, so that two owners at once, whose views differ, stay under it
/// together with hosts that know of no owner.
const OWNER_SHARE: f64 = 0.45;
/// Share of the outer bound for all hosts together that know of no owner.
const UNOWNED_SHARE: f64 = 1.0 - 2.0 * OWNER_SHARE;

/// The bound beyond which requests make a cold server crash.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the request rate that a cold server can handle.
    pub rate_factor: f64,
    /// Requests in one second beyond that, summed over all hosts.
    pub extra_requests: u64,
}

impl ColdBounds {
    /// Returns the requests within one second, summed over all hosts, beyond which a cold server crashes.
    pub fn max_per_second(&self, cold_start: &ColdStart) -> f64 {
        cold_start.max_requests_per_s * self.rate_factor + self.extra_requests as f64
    }

    /// Returns the limit for the owner of a cold engine.
    pub fn owner_limit(&self, cold_start: &ColdStart) -> RateLimit {
        let share = self.max_per_second(cold_start) * OWNER_SHARE;
        RateLimit::per_second(share.min(cold_start.max_requests_per_s))
    }

    /// Returns the requests per second that all hosts without an owner together may send to an engine. Rates
    /// below one become none, as the engine is reached through its owner.
    pub fn n_unowned(&self, cold_start: &ColdStart) -> usize {
        (self.max_per_second(cold_start) * UNOWNED_SHARE) as usize
    }

    /// Returns the requests per second that all hosts together may send to a server of a plain service.
    pub fn plain_per_s(&self, cold_start: &ColdStart) -> f64 {
        self.max_per_second(cold_start).min(cold_start.max_requests_per_s)
    }
}
