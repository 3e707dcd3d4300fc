//! An entry host in front of an engine that names limits.

use std::{ops::Range, time::Instant};

use crocustiller::placement::{
    AdmissionCell, EntryShare, LimitStatement, LimitedRequests, RequestLimit,
};

use super::{address, ID, N_HOSTS};

/// An entry host as its events left it. All times are milliseconds since the start of the run.
pub struct Host {
    pub cell: AdmissionCell,
    pub requests: LimitedRequests,
    /// Start of the engine by the entry that it read last.
    pub started_ms: u64,
    /// Time in which it does not run.
    pub stopped: Range<u64>,
    /// Time at which it started, without what it knew.
    pub started: u64,
    /// The hosts with the same number hear each other.
    pub group: usize,
    /// Statements on their way to it, with the times at which they arrive.
    pub inbox: Vec<(u64, LimitStatement)>,
    /// Time at which it first got a response with a limit, and the limits in its responses since then.
    pub told: Option<u64>,
    pub heard: Vec<(u64, f64)>,
}

impl Host {
    /// Creates a host whose process starts at `at`, which is `started`.
    pub fn new(started: u64, at: Instant) -> Host {
        Host {
            cell: AdmissionCell::default(),
            requests: LimitedRequests::new(at),
            started_ms: 1,
            stopped: 0..0,
            started,
            group: 0,
            inbox: Vec::new(),
            told: None,
            heard: Vec::new(),
        }
    }

    /// Returns `true` if its own share allows one more request.
    pub fn may_send(&self, number: usize, at: Instant) -> bool {
        let quota = |limit: &RequestLimit| {
            let others = (0..N_HOSTS).map(address).collect();
            let share = EntryShare { own: address(number), others };
            limit.engine_quota(share.rank(ID))
        };
        self.requests.time_left(ID, self.started_ms, quota, at).is_none()
    }

    /// Returns the greatest limit that it was told, and that held since `from`.
    pub fn greatest_heard(&self, from: u64) -> f64 {
        let first = self.heard.iter().rposition(|it| it.0 <= from).unwrap_or(0);
        self.heard[first..].iter().map(|it| it.1).fold(0.0, f64::max)
    }

    /// Returns the limit that it knows.
    pub fn limit(&self, at: Instant) -> Option<RequestLimit> {
        self.requests.limits.limit(ID, self.started_ms, at)
    }
}
