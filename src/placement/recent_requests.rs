//! The latest requests to each server.
//!
//! Load pattern: a server names a limit when it has just got many requests. Those count too, so they are
//! remembered also while there is no limit.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{RequestLimit, RequestQuota},
};

/// Time for which the last request to a server is remembered, as limits may be as low as one request in
/// this time.
const LAST_REQUEST_TTL: Duration = Duration::from_secs(60);

/// The times of the latest requests to each server, in order.
#[derive(Clone, Debug, Default)]
pub struct RecentRequests {
    times: BTreeMap<BackendId, VecDeque<Instant>>,
}

impl RecentRequests {
    /// Records a request to a server.
    pub fn record(&mut self, server: &str, now: Instant) {
        if !self.times.contains_key(server) {
            self.times.insert(server.to_owned(), VecDeque::new());
        }
        let Some(times) = self.times.get_mut(server) else { return };
        times.push_back(now);
        let is_old = |it: &Instant| now.saturating_duration_since(*it) >= RequestLimit::WINDOW;
        while times.len() > 1 && times.front().is_some_and(is_old) {
            times.pop_front();
        }
    }

    /// Takes back a request that was recorded at `time` and not sent.
    pub fn take_back(&mut self, server: &str, time: Instant) {
        let Some(times) = self.times.get_mut(server) else { return };
        if let Some(idx) = times.iter().rposition(|it| *it == time) {
            times.remove(idx);
        }
    }

    /// Returns the time at which a server may get one more request within a quota; `None` if it may now.
    pub fn next_due(&self, server: &str, quota: &RequestQuota, now: Instant) -> Option<Instant> {
        let times = self.times.get(server)?;
        let idx = times.len().checked_sub(quota.max_requests)?;
        let due = *times.get(idx)? + quota.window;
        (due > now).then_some(due)
    }

    /// Forgets the servers that have got no request for long.
    pub fn forget_old(&mut self, now: Instant) {
        let is_recent = |it: &Instant| now.saturating_duration_since(*it) < LAST_REQUEST_TTL;
        self.times.retain(|_, times| times.back().is_some_and(is_recent));
    }
}
