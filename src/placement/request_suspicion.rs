//! The suspicion against one request.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::placement::{CrashId, Fingerprint, SuspectedRequest, TryId};

/// Maximum number of crashes of a request that are remembered; fewer suffice to refuse it.
const MAX_CRASHES: usize = 16;
/// Time after the last crash for which a refused request is not tried, after each failed try.
const TRY_DELAYS: [Duration; 3] =
    [Duration::from_secs(2), Duration::from_secs(60), Duration::from_secs(30 * 60)];
/// Time for which a claim lasts if its end is not heard of.
const CLAIM_TIME: Duration = Duration::from_secs(5);
/// Time until the next claim after a try that said nothing.
const CLAIM_PAUSE: Duration = Duration::from_millis(700);
/// Maximum number of its crashes that are remembered as cleared.
const MAX_CLEARED: usize = 32;

/// The crashes of a request, and those that count no more as it succeeded since.
#[derive(Clone, Debug)]
pub(crate) struct RequestSuspicion {
    crashes: BTreeSet<CrashId>,
    cleared: BTreeSet<CrashId>,
    last_change: Instant,
    last_success: Option<Instant>,
    failed_tries: BTreeSet<TryId>,
    claim: Option<Claim>,
    /// Whether this host saw one of the crashes.
    pub(crate) is_witness: bool,
}

/// The right to try the request, of this host or another one.
#[derive(Clone, Copy, Debug)]
struct Claim {
    id: TryId,
    until: Instant,
}

impl RequestSuspicion {
    pub(crate) fn new(now: Instant) -> RequestSuspicion {
        RequestSuspicion {
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            last_change: now,
            last_success: None,
            failed_tries: BTreeSet::new(),
            claim: None,
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
        self.failed_tries.clear();
        self.claim = None;
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
        for failed in report.failed_tries.iter().take(TRY_DELAYS.len()) {
            self.record_failed_try(*failed, self.last_change.max(reported_change));
        }
    }

    /// Returns `true` if the request may be tried once, by the host that claims it.
    pub(crate) fn may_be_tried(&self, now: Instant) -> bool {
        let is_claimed = self.claim.is_some_and(|it| now < it.until);
        let delay = TRY_DELAYS.get(self.failed_tries.len());
        !is_claimed && delay.is_some_and(|it| self.age(now) >= *it)
    }

    /// Records a claim of this host or another one. Of two at the same time the smaller id holds; it is
    /// returned if it is another one.
    pub(crate) fn record_claim(&mut self, id: TryId, now: Instant) -> Option<TryId> {
        let is_held = self.claim.is_some_and(|it| now < it.until && it.id <= id);
        if !is_held && !self.failed_tries.contains(&id) {
            self.claim = Some(Claim { id, until: now + CLAIM_TIME });
        }
        self.claim.map(|it| it.id).filter(|it| is_held && *it != id)
    }

    /// Returns `true` if the claim holds.
    pub(crate) fn holds_claim(&self, id: TryId, now: Instant) -> bool {
        self.claim.is_some_and(|it| it.id == id && now < it.until)
    }

    /// Ends a claim whose try said nothing; the next one may follow soon.
    pub(crate) fn end_claim(&mut self, id: TryId, now: Instant) {
        if let Some(claim) = self.claim.as_mut().filter(|it| it.id == id) {
            claim.until = claim.until.min(now + CLAIM_PAUSE);
        }
    }

    /// Records a try that did not succeed.
    pub(crate) fn record_failed_try(&mut self, id: TryId, now: Instant) {
        let is_known = self.failed_tries.len() >= TRY_DELAYS.len();
        if !is_known && self.failed_tries.insert(id) {
            self.last_change = self.last_change.max(now);
        }
    }

    pub(crate) fn report(&self, request: Fingerprint, now: Instant) -> SuspectedRequest {
        SuspectedRequest {
            request,
            crashes: self.crashes.iter().copied().collect(),
            cleared: self.cleared.iter().copied().collect(),
            failed_tries: self.failed_tries.iter().copied().collect(),
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
