//! Whether an engine takes one more request now: while it is cold, and while it names a limit.

use std::time::Instant;

use crate::{
    ids::BackendId,
    placement::{CellEngine, GrantRates, RecentRequests},
};

/// The latest grants of an owner, with the limits that hold them back.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantLimits {
    rates: GrantRates,
    recent: RecentRequests,
    /// Time at which the first engine that was refused because of a limit that it named takes a request,
    /// since `begin_round`.
    next_due: Option<Instant>,
    n_cold_held_back: u64,
    n_limit_held_back: u64,
}

impl GrantLimits {
    /// Begins to look for the engine that takes a request first.
    pub(crate) fn begin_round(&mut self, now: Instant) {
        self.rates.begin_round(now);
        self.next_due = None;
    }

    /// Returns `true` if an engine takes a request now.
    pub(crate) fn is_due(&mut self, engine: &CellEngine, now: Instant) -> bool {
        let limit = engine.rate_limit.as_ref();
        let is_rate_due = limit.is_none_or(|it| self.rates.is_due(&engine.id, it, now));
        let next_due = self.next_limit_due(engine, now);
        if let Some(due) = next_due {
            self.next_due = Some(self.next_due.map_or(due, |it| it.min(due)));
        }
        is_rate_due && next_due.is_none()
    }

    /// Records the grant of an engine.
    pub(crate) fn record(&mut self, engine: &CellEngine, now: Instant) {
        if let Some(limit) = &engine.rate_limit {
            self.rates.record(&engine.id, limit, now);
        }
        self.recent.record(&engine.id, now);
    }

    /// Takes back a grant that was made at `granted` and not sent.
    pub(crate) fn take_back(&mut self, engine: &BackendId, granted: Instant) {
        self.rates.give_back(engine);
        self.recent.take_back(engine, granted);
    }

    /// Counts a request that found no engine since `begin_round`, though one that is not full was held
    /// back.
    pub(crate) fn count_held_back(&mut self) {
        self.n_cold_held_back += u64::from(self.rates.next_due().is_some());
        self.n_limit_held_back += u64::from(self.next_due.is_some());
    }

    /// Counts a request that is refused at once as all engines named limits.
    pub(crate) fn count_limit_held_back(&mut self) {
        self.n_limit_held_back += 1;
    }

    /// Returns the time at which the first engine that was refused since `begin_round` takes a request.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.rates.next_due().into_iter().chain(self.next_due).min()
    }

    /// Returns the number of requests that were held back as engines are cold, or may be.
    pub(crate) fn n_cold_held_back(&self) -> u64 {
        self.n_cold_held_back
    }

    /// Returns the number of requests that were held back as engines named limits.
    pub(crate) fn n_limit_held_back(&self) -> u64 {
        self.n_limit_held_back
    }

    /// Forgets the engines that were granted to no request for long.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        self.recent.forget_old(now);
    }

    /// Returns the time at which an engine takes a request by the limit that it named; `None` if it does now.
    pub(crate) fn next_limit_due(&self, engine: &CellEngine, now: Instant) -> Option<Instant> {
        let quotas = engine.request_limit.as_ref()?.owner_quotas();
        quotas.iter().filter_map(|it| self.recent.next_due(&engine.id, it, now)).max()
    }
}
