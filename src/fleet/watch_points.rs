//! Finds watches that may be silent: the store has gone on, and they bring nothing.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::platform::StorePoint;

/// Time for which a watch must be behind the store before it is checked; changes that it brings after
/// its delay for batches are no reason to.
const CHECK_DELAY: Duration = Duration::from_millis(500);

/// Time for which checks of urgent kinds take the place of one of another kind.
const OTHER_KIND_SLACK: Duration = Duration::from_secs(2);
/// Time after which an answer that the history is gone isn't that of a copy which hasn't reached the
/// watch's point yet.
const MAX_COPY_AGE: Duration = Duration::from_secs(3);

/// The points in the store's history that the watches of a process have reached, by kind.
///
/// A watch is behind the store in quiet times too, as most changes are of other kinds. A check tells
/// whether it has missed one.
#[derive(Clone, Debug, Default)]
pub struct WatchPoints {
    newest: StorePoint,
    watches: BTreeMap<&'static str, WatchPoint>,
}

#[derive(Clone, Copy, Debug, Default)]
struct WatchPoint {
    at: StorePoint,
    /// Point up to which a check found no change after `at`.
    checked: StorePoint,
    behind_since: Option<Instant>,
    /// Time since which it waits for the next response, unless it pauses after one.
    waits_since: Option<Instant>,
}

impl WatchPoints {
    /// Records that the watch of a kind has brought everything up to `at`.
    pub fn record_watch(&mut self, kind: &'static str, at: StorePoint, now: Instant) {
        self.watches.insert(kind, WatchPoint { at, ..WatchPoint::default() });
        self.record_newest(at, now);
    }

    /// Records that the watch of a kind waits for the changes after its point from now on.
    pub fn record_wait(&mut self, kind: &str, now: Instant) {
        if let Some(watch) = self.watches.get_mut(kind) {
            watch.waits_since = Some(now);
        }
    }

    /// Removes the watch of a kind, which doesn't ask the store any more.
    pub fn remove_watch(&mut self, kind: &str) {
        self.watches.remove(kind);
    }

    /// Records a point that the store has reached.
    pub fn record_newest(&mut self, at: StorePoint, now: Instant) {
        self.newest = self.newest.max(at);
        for watch in self.watches.values_mut() {
            let is_behind = watch.at.max(watch.checked) < self.newest;
            watch.behind_since = is_behind.then(|| watch.behind_since.unwrap_or(now));
        }
    }

    /// Returns the watches to check now, with their points: those of `urgent` kinds that are behind, and
    /// the one that has been behind for longest if there are none, or if it has waited for its turn. If
    /// none is behind, that of the first urgent kind, as its answer also tells whether the store has gone
    /// on.
    pub fn to_check(
        &self,
        urgent: &[&'static str],
        now: Instant,
    ) -> Vec<(&'static str, StorePoint)> {
        let is_due = |kind: &str, slack: Duration| {
            let since = self.watches.get(kind).and_then(|it| it.behind_since);
            since.is_some_and(|it| now >= it + CHECK_DELAY + slack)
        };
        let is_urgent_due = |it: &&'static str| is_due(it, Duration::ZERO);
        let mut kinds: Vec<&'static str> = urgent.iter().copied().filter(is_urgent_due).collect();
        let slack = if kinds.is_empty() { Duration::ZERO } else { OTHER_KIND_SLACK };
        let others = self.watches.iter().filter(|it| !urgent.contains(it.0) && is_due(it.0, slack));
        kinds.extend(others.min_by_key(|it| it.1.behind_since).map(|it| *it.0));
        if kinds.is_empty() {
            kinds.extend(urgent.first());
        }
        kinds.into_iter().filter_map(|it| Some((it, self.watches.get(it)?.at))).collect()
    }

    /// Records that the store had no change of a kind between its watch's point and `checked`. If the
    /// answer was an old one, others are checked before the kind is checked again.
    pub fn record_check(&mut self, kind: &str, checked: StorePoint, now: Instant) {
        if let Some(watch) = self.watches.get_mut(kind) {
            watch.checked = checked;
            watch.behind_since = None;
        }
        self.record_newest(checked, now);
    }

    /// Returns `true` if the watch of a kind has been behind for longer than any answer is old.
    pub fn is_long_behind(&self, kind: &str, now: Instant) -> bool {
        let behind_since = self.watches.get(kind).and_then(|it| it.behind_since);
        behind_since.is_some_and(|it| now >= it + MAX_COPY_AGE)
    }

    /// Returns `true` if the watch of a kind is still at this point, and has waited for longer than since
    /// `earliest`.
    pub fn is_waiting_at(&self, kind: &str, at: StorePoint, earliest: Instant) -> bool {
        let watch = self.watches.get(kind).filter(|it| it.at == at);
        watch.and_then(|it| it.waits_since).is_some_and(|it| it < earliest)
    }
}
