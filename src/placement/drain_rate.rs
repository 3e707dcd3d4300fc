//! The rate at which waiting requests are placed.
//!
//! Load pattern: requests of several ranks wait for one pool, and a new one is told at once if it can't be
//! placed in time.
//!
//! Only the time in which requests wait counts: what is placed at other times tells how many arrive, not how
//! many the engines can take.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time in which grants and waits lose all but 1/e of their weight, so that a rate from before a calm
/// period says nothing.
const MEMORY_S: f64 = 2.0;
/// Time of waiting below which the rate is not known: a few times that of one pass of an engine.
const MIN_BUSY_S: f64 = 0.25;

/// The rate at which waiting requests for one service are placed, by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainRate {
    n_granted: BTreeMap<u32, f64>,
    busy_s: f64,
    is_busy: bool,
    updated: Option<Instant>,
}

impl DrainRate {
    /// Records that requests have waited since `since`, up to now.
    pub(crate) fn record_waiting(&mut self, since: Instant, now: Instant) {
        let from = self.updated.map_or(since, |it| it.max(since));
        let waited_s = now.saturating_duration_since(from).as_secs_f64();
        let age = self.updated.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        let weight = (-age.as_secs_f64() / MEMORY_S).exp();
        self.n_granted.values_mut().for_each(|it| *it *= weight);
        self.busy_s = self.busy_s * weight + waited_s;
        self.is_busy = since < now;
        self.updated = Some(now);
    }

    /// Records that a request was placed.
    pub(crate) fn record_grant(&mut self, rank: u32) {
        if self.is_busy {
            *self.n_granted.entry(rank).or_default() += 1.0;
        }
    }

    /// Returns the time to place `n_urgent` requests of any rank and then `n_other` ones of `rank` or less
    /// urgent ranks; `None` if it is not known.
    pub(crate) fn expected_wait(&self, rank: u32, n_urgent: u32, n_other: u32) -> Option<Duration> {
        if self.busy_s < MIN_BUSY_S {
            return None;
        }
        let per_s = |from: u32| {
            let n_granted = self.n_granted.range(from..).fold(0.0, |sum, it| sum + it.1);
            n_granted.max(f64::MIN_POSITIVE) / self.busy_s
        };
        let wait_s = f64::from(n_urgent) / per_s(0) + f64::from(n_other) / per_s(rank);
        Some(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }
}
