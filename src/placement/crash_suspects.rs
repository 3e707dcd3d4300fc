//! Detects requests that crash backend servers.
//!
//! A request that crashes every backend server that runs it, and that its caller retries at any
//! entry host, could take down a pool. A request during which several backend servers broke the
//! connection, and that has not succeeded since, is refused.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Number of backend servers that break the connection during a request, summed over all entry
/// hosts, at which the request is refused.
const MAX_CRASHES: u32 = 3;
/// Time after the last broken connection for which a request stays recorded.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of requests that one entry host records; the oldest are removed first.
const MAX_FINGERPRINTS: usize = 64;

/// A digest of the content of a request and its customer.
pub type Fingerprint = u64;

/// The requests that this entry host suspects of crashing backend servers.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    crashes: HashMap<Fingerprint, Crashes>,
}

#[derive(Clone, Debug)]
struct Crashes {
    backends: BTreeSet<BackendId>,
    last: Instant,
}

impl CrashSuspects {
    /// Records that a backend server broke the connection while it had the request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, backend: &BackendId, now: Instant) {
        self.crashes.retain(|_, it| now.duration_since(it.last) < RETENTION);
        let is_new = !self.crashes.contains_key(&fingerprint);
        if is_new && self.crashes.len() >= MAX_FINGERPRINTS {
            let oldest = self.crashes.iter().min_by_key(|it| it.1.last).map(|it| *it.0);
            oldest.map(|it| self.crashes.remove(&it));
        }
        let new_entry = || Crashes { backends: BTreeSet::new(), last: now };
        let crashes = self.crashes.entry(fingerprint).or_insert_with(new_entry);
        crashes.backends.insert(backend.clone());
        crashes.last = now;
    }

    /// Removes a request that succeeded.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
    }

    /// Returns the backend servers that broke the connection during a request; it is sent to them
    /// again only if there is no other.
    pub fn crashed_backends(&self, fingerprint: Fingerprint) -> Vec<BackendId> {
        let crashes = self.crashes.get(&fingerprint);
        crashes.map(|it| it.backends.iter().cloned().collect()).unwrap_or_default()
    }

    /// Returns an iterator over the fingerprints, each with the number of backend servers that
    /// broke the connection, for the other entry hosts.
    pub fn crash_counts(&self) -> impl Iterator<Item = (Fingerprint, u32)> + '_ {
        self.crashes.iter().map(|it| (*it.0, it.1.backends.len() as u32))
    }

    /// Returns `true` if a request must be refused; `n_elsewhere` is the number of backend servers
    /// that broke the connection to other entry hosts during it.
    pub fn is_refused(&self, fingerprint: Fingerprint, n_elsewhere: u32) -> bool {
        let n_own = self.crashes.get(&fingerprint).map_or(0, |it| it.backends.len() as u32);
        n_own + n_elsewhere >= MAX_CRASHES
    }
}
