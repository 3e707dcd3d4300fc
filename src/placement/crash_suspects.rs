//! Detects requests that crash backend servers.
//!
//! A request that crashes every backend server that runs it, and that its caller retries at any
//! entry host, could take down a pool. A request during which several backend servers broke the
//! connection, and that has not succeeded since, is refused. Every entry host keeps what all have
//! seen, so that it outlives the processes that saw it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::placement::{request_suspicion::RequestSuspicion, CrashId, SuspectedRequest};

/// Number of backend servers that break the connection during a request at which it is refused.
const MAX_CRASHES: usize = 3;
/// Number of them from which the other hosts are told at once, not in a beacon only.
const MIN_REPORTED_AT_ONCE: usize = 2;
/// Time after the last broken connection for which a request stays recorded.
const RETENTION: Duration = Duration::from_secs(120);
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
            if Duration::from_millis(report.last_ago_ms) < RETENTION {
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
        suspicion.n_crashes() >= MAX_CRASHES && suspicion.age(now) < RETENTION
    }

    /// Returns the requests for a beacon: the most suspect first, then the latest.
    pub fn reported(&self, now: Instant) -> Vec<SuspectedRequest> {
        let recent = self.suspicions.iter().filter(|it| it.1.age(now) < RETENTION);
        let mut ranked: Vec<_> = recent.collect();
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
        self.suspicions.retain(|_, it| it.age(now) < RETENTION);
    }
}
