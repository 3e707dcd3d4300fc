//! The suspicion against one request.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::placement::{CrashId, Fingerprint, SuspectedRequest};

/// Maximum number of crashes of a request that are remembered; fewer suffice to refuse it.
const MAX_CRASHES: usize = 16;
/// Maximum number of its crashes that are remembered as cleared.
const MAX_CLEARED: usize = 32;

/// The crashes of a request, and those that count no more as it succeeded since.
#[derive(Clone, Debug)]
pub(crate) struct RequestSuspicion {
    crashes: BTreeSet<CrashId>,
    cleared: BTreeSet<CrashId>,
    last_change: Instant,
    last_success: Option<Instant>,
    /// Whether this host saw one of the crashes.
    pub(crate) is_witness: bool,
}

impl RequestSuspicion {
    pub(crate) fn new(now: Instant) -> RequestSuspicion {
        RequestSuspicion {
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            last_change: now,
            last_success: None,
            is_witness: false,
        }
    }

    /// Records a crash that this host saw; returns `true` if it is new.
    pub(crate) fn record_crash(&mut self, crash: CrashId, now: Instant) -> bool {
        self.is_witness = true;
        let is_new = self.add_crash(crash);
        if is_new {
            self.last_change = now;
        }
        is_new
    }

    /// Records that the request succeeded.
    pub(crate) fn clear(&mut self, now: Instant) {
        let crashes = std::mem::take(&mut self.crashes);
        self.cleared.extend(crashes);
        while self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_first();
        }
        self.last_change = now;
        self.last_success = Some(now);
    }

    /// Adds what another host reports.
    pub(crate) fn merge(&mut self, report: &SuspectedRequest, now: Instant) {
        let ago = Duration::from_millis(report.last_ago_ms);
        let reported_change = now.checked_sub(ago).unwrap_or(now);
        let cleared = report.cleared.iter().take(MAX_CLEARED);
        let new: Vec<CrashId> = cleared.filter(|it| !self.cleared.contains(it)).copied().collect();
        if !new.is_empty() {
            // The host that cleared these need not have heard of the others.
            self.crashes.extend(new);
            self.clear(self.last_change.max(reported_change));
        }
        // Not all crashes of a request that had many are remembered.
        if self.last_success.is_some_and(|it| reported_change <= it) {
            return;
        }
        for crash in report.crashes.iter().take(MAX_CRASHES) {
            if self.add_crash(*crash) {
                self.last_change = self.last_change.max(reported_change);
            }
        }
    }

    pub(crate) fn report(&self, request: Fingerprint, now: Instant) -> SuspectedRequest {
        SuspectedRequest {
            request,
            crashes: self.crashes.iter().copied().collect(),
            cleared: self.cleared.iter().copied().collect(),
            last_ago_ms: self.age(now).as_millis() as u64,
        }
    }

    /// The number of crashes since the last success.
    pub(crate) fn n_crashes(&self) -> usize {
        self.crashes.len()
    }

    pub(crate) fn has_crashed(&self, crash: CrashId) -> bool {
        self.crashes.contains(&crash)
    }

    pub(crate) fn last_change(&self) -> Instant {
        self.last_change
    }

    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_change)
    }

    fn add_crash(&mut self, crash: CrashId) -> bool {
        let is_counted = !self.cleared.contains(&crash) && self.crashes.len() < MAX_CRASHES;
        is_counted && self.crashes.insert(crash)
    }
}
