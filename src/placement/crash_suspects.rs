//! Detects requests that crash backend servers.
//!
//! A request that crashes every backend server that runs it, and that its caller retries at any
//! entry host, could take down a pool. A request during which several backend servers broke the
//! connection, and that has not succeeded since, is refused. Every entry host keeps what all have
//! seen, so that it outlives the processes that saw it.
//!
//! A sound request that many callers send may also be in progress at several backend servers that
//! crash for another cause. So single ones are tried, at one entry host and backend server at a time,
//! and a success clears the request. A request that goes on crashing is tried three times, rarely.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::placement::{request_suspicion::RequestSuspicion, CrashId, SuspectedRequest, TryId};

/// Number of backend servers that break the connection during a request at which it is refused.
const MAX_CRASHES: usize = 3;
/// Number of them from which the other hosts are told at once, not in a beacon only.
const MIN_REPORTED_AT_ONCE: usize = 2;
/// Time after the last broken connection for which a request stays recorded.
const RETENTION: Duration = Duration::from_secs(120);
/// The same for a refused one.
const REFUSED_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of requests that are recorded; the least suspect are removed first.
const MAX_FINGERPRINTS: usize = 1024;
/// Maximum number of requests in a beacon or report.
pub const MAX_SUSPECTED_REQUESTS: usize = 64;

/// A digest of the content of a request and its customer.
pub type Fingerprint = u64;

/// The requests that are suspected of crashing backend servers, as far as all entry hosts know.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    suspicions: HashMap<Fingerprint, RequestSuspicion>,
}

impl CrashSuspects {
    /// Records that a backend server broke the connection to this host while it had the request;
    /// returns what to tell the other hosts at once.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        crash: CrashId,
        now: Instant,
    ) -> Option<SuspectedRequest> {
        self.forget_old(now);
        let suspicion = self.suspicion(request, now);
        let is_new = suspicion.record_crash(crash, now);
        let is_reported = is_new && suspicion.n_crashes() >= MIN_REPORTED_AT_ONCE;
        is_reported.then(|| suspicion.report(request, now))
    }

    /// Records that a request succeeded; returns what to tell the other hosts at once.
    pub fn clear(&mut self, request: Fingerprint, now: Instant) -> Option<SuspectedRequest> {
        let suspicion = self.suspicions.get_mut(&request)?;
        let n_crashes = suspicion.n_crashes();
        if n_crashes == 0 {
            return None;
        }
        suspicion.clear(now);
        (n_crashes >= MIN_REPORTED_AT_ONCE).then(|| suspicion.report(request, now))
    }

    /// Adds what another host reports.
    pub fn merge(&mut self, reported: &[SuspectedRequest], now: Instant) {
        for report in reported.iter().take(MAX_SUSPECTED_REQUESTS) {
            if Duration::from_millis(report.last_ago_ms) < REFUSED_RETENTION {
                self.suspicion(report.request, now).merge(report, now);
            }
        }
        self.forget_old(now);
    }

    /// Returns `true` if a backend server broke the connection during a request, by the id of the
    /// crash that ends its start; it gets the request again only if there is no other.
    pub fn has_crashed(&self, request: Fingerprint, crash: CrashId) -> bool {
        self.suspicions.get(&request).is_some_and(|it| it.has_crashed(crash))
    }

    /// Returns `true` if any backend server broke the connection during a request.
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        self.suspicions.get(&request).is_some_and(|it| it.n_crashes() > 0)
    }

    /// Returns `true` if a request must be refused.
    pub fn is_refused(&self, request: Fingerprint, now: Instant) -> bool {
        let Some(suspicion) = self.suspicions.get(&request) else { return false };
        is_refused(suspicion) && is_remembered(suspicion, now)
    }

    /// Returns `true` if a refused request may be tried, by the host that claims it.
    pub fn may_be_tried(&self, request: Fingerprint, now: Instant) -> bool {
        self.suspicions.get(&request).is_some_and(|it| it.may_be_tried(now))
    }

    /// Records the claim of a try, by this host or another one; returns the one that holds instead.
    pub fn record_claim(&mut self, request: Fingerprint, id: TryId, now: Instant) -> Option<TryId> {
        self.suspicions.get_mut(&request)?.record_claim(id, now)
    }

    /// Returns `true` if a claim holds.
    pub fn holds_claim(&self, request: Fingerprint, id: TryId, now: Instant) -> bool {
        self.suspicions.get(&request).is_some_and(|it| it.holds_claim(id, now))
    }

    /// Ends a claim whose try said nothing.
    pub fn end_claim(&mut self, request: Fingerprint, id: TryId, now: Instant) {
        if let Some(suspicion) = self.suspicions.get_mut(&request) {
            suspicion.end_claim(id, now);
        }
    }

    /// Records a try that reached a backend server and did not succeed; returns what to tell the other
    /// hosts at once, or `None` if the request is not refused any more.
    pub fn record_failed_try(
        &mut self,
        request: Fingerprint,
        id: TryId,
        now: Instant,
    ) -> Option<SuspectedRequest> {
        let suspicion = self.suspicions.get_mut(&request).filter(|it| is_refused(it))?;
        suspicion.record_failed_try(id, now);
        Some(suspicion.report(request, now))
    }

    /// Returns the requests for a beacon: the most suspect first, then the latest.
    pub fn reported(&self, now: Instant) -> Vec<SuspectedRequest> {
        let known = self.suspicions.iter().filter(|it| is_remembered(it.1, now));
        let mut ranked: Vec<_> = known.collect();
        // Of the others, most have crashed nothing, so that news come before single crashes.
        let n_crashes = |it: &RequestSuspicion| match it.n_crashes() {
            n if n >= MIN_REPORTED_AT_ONCE => n,
            _ => 0,
        };
        ranked.sort_by_key(|it| std::cmp::Reverse((n_crashes(it.1), it.1.last_change())));
        ranked.truncate(MAX_SUSPECTED_REQUESTS);
        ranked.into_iter().map(|(request, it)| it.report(*request, now)).collect()
    }

    /// Returns `true` while this host must tell all others of a crash that it saw.
    pub fn is_witness(&self, now: Instant) -> bool {
        let is_news =
            |it: &RequestSuspicion| it.is_witness && it.n_crashes() > 0 && it.age(now) < RETENTION;
        self.suspicions.values().any(is_news)
    }

    /// Returns the entry of a request; the least suspect one makes room for a new one.
    fn suspicion(&mut self, request: Fingerprint, now: Instant) -> &mut RequestSuspicion {
        let is_full = self.suspicions.len() >= MAX_FINGERPRINTS;
        if is_full && !self.suspicions.contains_key(&request) {
            let rank = |it: &RequestSuspicion| (it.n_crashes(), it.last_change());
            let least = self.suspicions.iter().min_by_key(|it| rank(it.1)).map(|it| *it.0);
            least.map(|it| self.suspicions.remove(&it));
        }
        self.suspicions.entry(request).or_insert_with(|| RequestSuspicion::new(now))
    }

    fn forget_old(&mut self, now: Instant) {
        self.suspicions.retain(|_, it| is_remembered(it, now));
    }
}

fn is_refused(suspicion: &RequestSuspicion) -> bool {
    suspicion.n_crashes() >= MAX_CRASHES
}

fn is_remembered(suspicion: &RequestSuspicion, now: Instant) -> bool {
    let retention = if is_refused(suspicion) { REFUSED_RETENTION } else { RETENTION };
    suspicion.age(now) < retention
}
