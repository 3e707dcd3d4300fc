//! Requests that were in progress at backend servers when these crashed.
//!
//! Answers to: a request that crashes each backend server that runs it and comes again, at any entry
//! host. One that was lost at several backend servers and never succeeded since is refused.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Backend servers that a request may be lost at, over all entry hosts.
const MAX_CRASHES: u32 = 3;
/// Time for which a loss is remembered.
const MEMORY: Duration = Duration::from_secs(120);
/// Fingerprints that one entry host remembers; the oldest go first.
const MAX_FINGERPRINTS: usize = 64;

/// Digest of what a request asks for and who asks.
pub type Fingerprint = u64;

/// Losses that this entry host has seen.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    losses: HashMap<Fingerprint, Losses>,
}

#[derive(Clone, Debug)]
struct Losses {
    backends: BTreeSet<BackendId>,
    last: Instant,
}

impl CrashSuspects {
    /// Counts a connection that a backend server broke off while it had the request.
    pub fn lost(&mut self, fingerprint: Fingerprint, backend: &BackendId, now: Instant) {
        self.losses.retain(|_, it| now.duration_since(it.last) < MEMORY);
        let is_new = !self.losses.contains_key(&fingerprint);
        if is_new && self.losses.len() >= MAX_FINGERPRINTS {
            let oldest = self.losses.iter().min_by_key(|it| it.1.last).map(|it| *it.0);
            oldest.map(|it| self.losses.remove(&it));
        }
        let fresh = || Losses { backends: BTreeSet::new(), last: now };
        let losses = self.losses.entry(fingerprint).or_insert_with(fresh);
        losses.backends.insert(backend.clone());
        losses.last = now;
    }

    /// Clears a request that was answered.
    pub fn succeeded(&mut self, fingerprint: Fingerprint) {
        self.losses.remove(&fingerprint);
    }

    /// Backend servers at which a request was lost, to be passed over while there are others.
    pub fn lost_at(&self, fingerprint: Fingerprint) -> Vec<BackendId> {
        let losses = self.losses.get(&fingerprint);
        losses.map(|it| it.backends.iter().cloned().collect()).unwrap_or_default()
    }

    /// Fingerprints with the number of backend servers that were lost, for the other entry hosts.
    pub fn counts(&self) -> impl Iterator<Item = (Fingerprint, u32)> + '_ {
        self.losses.iter().map(|it| (*it.0, it.1.backends.len() as u32))
    }

    /// Whether a request is refused, with the losses that `elsewhere` counts at other hosts.
    pub fn is_refused(&self, fingerprint: Fingerprint, elsewhere: u32) -> bool {
        let own = self.losses.get(&fingerprint).map_or(0, |it| it.backends.len() as u32);
        own + elsewhere >= MAX_CRASHES
    }
}
