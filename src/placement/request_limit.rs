//! How many requests a backend server takes from all entry hosts together.
//!
//! Load pattern: a server in need, under more requests than it takes, sent by many hosts whose views
//! differ. The owner of an engine keeps to what the server named. Beyond that each host keeps to a share
//! of an outer bound, which is fixed by the number of hosts alone: it holds with two owners, or with hosts
//! that don't hear each other.

use std::time::Duration;

use crate::placement::{RequestQuota, ShareRank};

/// The window in seconds of the server.
const WINDOW_S: f64 = 4.0;
/// Factor on the named rate that all hosts together stay below.
const MAX_RATE_FACTOR: f64 = 1.5;
/// Requests in a window that hosts may send beyond that. Of the five that are allowed, four are left to
/// the reports that a slot reads.
const EXTRA_REQUESTS: f64 = 1.0;
/// Time within which an owner may grant requests that follow each other at once.
const BURST_S: f64 = 0.1;
/// Share of a limit by which another one may differ and need not be told at once.
const MAX_ADJUSTMENT: f64 = 0.2;
/// Lowest rate of requests per second that is kept to: one request a minute asks whether a lower limit
/// still holds.
const MIN_REQUESTS_PER_S: f64 = 1.0 / 60.0;
/// Greatest rate that makes a difference.
const MAX_REQUESTS_PER_S: f64 = 1e6;

/// A limit that a backend server named.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestLimit {
    max_requests_per_s: f64,
}

impl RequestLimit {
    /// Window of the outer bound: that of the server, and the time by which the delays between a decision
    /// and the arrival of its request may differ.
    pub const WINDOW: Duration = Duration::from_millis(4200);

    /// Creates the limit to a number of requests per second; `None` if it is no number or negative.
    pub fn per_second(max_requests_per_s: f64) -> Option<RequestLimit> {
        (max_requests_per_s >= 0.0).then_some(RequestLimit { max_requests_per_s })
    }

    /// Returns the requests per second that the server named.
    pub fn max_requests_per_s(&self) -> f64 {
        self.max_requests_per_s
    }

    /// Returns the mean time between two requests.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.kept_per_s())
    }

    /// Returns the quotas of the owner of an engine: the named rate, evenly spread, and the outer bound,
    /// which counts what the engine got before it named the limit.
    pub fn owner_quotas(&self) -> [RequestQuota; 2] {
        let burst = (self.kept_per_s() * BURST_S).max(1.0) as usize;
        let pace = RequestQuota { max_requests: burst, window: self.interval() * burst as u32 };
        [pace, RequestQuota { max_requests: self.max_in_window(), window: Self::WINDOW }]
    }

    /// Returns the quota of one host for an engine, whose owner keeps to the named rate; `None` if the host
    /// must send it nothing.
    pub fn engine_quota(&self, share: ShareRank) -> Option<RequestQuota> {
        host_quota(share.of(self.max_in_window()))
    }

    /// Returns the quota of one host for a server of a plain service; `None` if the host must send it
    /// nothing. All hosts together keep to the named rate, unless that is less than one request a host.
    pub fn plain_quota(&self, share: ShareRank) -> Option<RequestQuota> {
        let named = (self.kept_per_s() * WINDOW_S) as usize;
        let max_requests = named.max(share.n_hosts.min(self.max_in_window()));
        host_quota(share.of(max_requests))
    }

    /// Returns `true` if two limits differ by little.
    pub(crate) fn is_near(&self, other: &RequestLimit) -> bool {
        let difference = (self.kept_per_s() - other.kept_per_s()).abs();
        difference <= MAX_ADJUSTMENT * other.kept_per_s()
    }

    /// Returns the limit with a rate that is greater by a factor.
    pub(crate) fn grown(&self, factor: f64) -> RequestLimit {
        RequestLimit { max_requests_per_s: self.max_requests_per_s.max(1.0) * factor }
    }

    /// Returns the requests that all hosts together may send in a window.
    fn max_in_window(&self) -> usize {
        (self.kept_per_s() * MAX_RATE_FACTOR * WINDOW_S + EXTRA_REQUESTS) as usize
    }

    fn kept_per_s(&self) -> f64 {
        self.max_requests_per_s.clamp(MIN_REQUESTS_PER_S, MAX_REQUESTS_PER_S)
    }
}

fn host_quota(max_requests: usize) -> Option<RequestQuota> {
    (max_requests > 0).then_some(RequestQuota { max_requests, window: RequestLimit::WINDOW })
}
