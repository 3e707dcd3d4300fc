//! When a host may send one more request to a server that names a limit.
//!
//! Load pattern: many hosts with requests for a server in need, some of which have just started and don't
//! know what their earlier process sent.

use std::time::{Duration, Instant};

use crate::placement::{RecentRequests, RequestLimit, RequestQuota, ServerLimits};

/// The limits that a host knows, and its own requests.
#[derive(Clone, Debug)]
pub struct LimitedRequests {
    /// The limits.
    pub limits: ServerLimits,
    /// The requests of this host, to all servers.
    pub sent: RecentRequests,
    /// Start of this process.
    started: Instant,
}

impl LimitedRequests {
    /// Creates the state of a host that starts now.
    pub fn new(now: Instant) -> LimitedRequests {
        LimitedRequests {
            limits: ServerLimits::default(),
            sent: RecentRequests::default(),
            started: now,
        }
    }

    /// Returns the time until this host may send one more request to the start `started_ms` of a server;
    /// `None` if it may now. `quota` returns the quota of this host by a limit, or `None` if it must send
    /// nothing.
    pub fn time_left(
        &self,
        server: &str,
        started_ms: u64,
        quota: impl FnOnce(&RequestLimit) -> Option<RequestQuota>,
        now: Instant,
    ) -> Option<Duration> {
        let limit = self.limits.limit(server, started_ms, now)?;
        // An earlier process of this host may have used its share.
        let share_from = self.started + RequestLimit::WINDOW;
        if now < share_from {
            return Some(share_from - now);
        }
        let Some(quota) = quota(&limit) else { return Some(limit.interval()) };
        let due = self.sent.next_due(server, &quota, now)?;
        Some(due - now)
    }
}
