//! Detects that the store no longer responds, or that a watch gets no changes, which a waiting watch
//! cannot detect.

use std::time::{Duration, Instant};

use crate::{
    fleet::{StoreRetry, StoreSource, StoreSources},
    platform::{store::StoreError, StorePoint},
    runtime,
};

/// Time that a watch gets to bring the changes that a check has found.
const SILENCE_DELAY: Duration = Duration::from_millis(250);

/// Makes a cheap call at regular intervals while this process watches the store directly or prefers to.
///
/// A long poll that waits for changes cannot tell an idle store from an unavailable one. If a call
/// fails, or succeeds again while the process watches the store, all watches of the process
/// restart. Its responses also tell when the store has come back from an older copy, which a waiting
/// watch doesn't. The call asks for the changes since the point of a watch, in turn of those that are
/// behind the store; a watch that doesn't bring them is silent, and its kind is listed again.
#[derive(Debug)]
pub struct StoreProbe {
    sources: StoreSources,
    kind: &'static str,
    urgent_kinds: &'static [&'static str],
    interval: Duration,
    retry: StoreRetry,
}

impl StoreProbe {
    /// Creates a probe that makes a call per `interval` on average. It lists `kind` unless the process
    /// watches the store, and checks the watches of `urgent_kinds` first.
    pub fn new(
        sources: StoreSources,
        kind: &'static str,
        urgent_kinds: &'static [&'static str],
        interval: Duration,
        retry: StoreRetry,
    ) -> StoreProbe {
        StoreProbe { sources, kind, urgent_kinds, interval, retry }
    }

    /// Probes the store until the task is dropped.
    pub async fn run(self) {
        let mut is_unavailable = false;
        loop {
            runtime::sleep(self.interval.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
            let is_in_use = self.sources.choose(Instant::now()) == StoreSource::Store;
            if !is_in_use && !self.sources.prefers_store() {
                continue;
            }
            match self.probe().await {
                Ok(at) if is_unavailable => {
                    is_unavailable = false;
                    self.sources.record_generation(at.generation);
                    log::info!("store: the store responds again");
                    self.sources.mark_available(StoreSource::Store);
                    self.retry.reset();
                    if is_in_use {
                        self.retry.restart_watches();
                    }
                }
                Ok(at) => {
                    self.sources.record_generation(at.generation);
                    self.sources.mark_available(StoreSource::Store);
                }
                Err(err) if !is_unavailable => {
                    is_unavailable = true;
                    log::warn!("store: the store does not respond error=\"{err}\"");
                    self.sources.mark_unavailable(StoreSource::Store, Instant::now());
                    self.retry.restart_watches();
                }
                Err(_) => {}
            }
        }
    }
    /// Makes a cheap call, rarely more; returns the point that the store has reached.
    async fn probe(&self) -> Result<StorePoint, StoreError> {
        let to_check = self.sources.watch_points().to_check(self.urgent_kinds, Instant::now());
        if to_check.is_empty() {
            return self.list().await;
        }
        let mut newest = StorePoint::default();
        for (kind, at) in to_check {
            newest = newest.max(self.check(kind, at).await?);
        }
        Ok(newest)
    }

    async fn list(&self) -> Result<StorePoint, StoreError> {
        let listing = self.sources.client(StoreSource::Store).list_stale(self.kind).await?;
        self.sources.watch_points().record_newest(listing.at, Instant::now());
        Ok(listing.at)
    }

    /// Checks whether the store has changes that the watch of a kind, which is at `at`, doesn't bring;
    /// returns the point that the store has reached.
    async fn check(&self, kind: &'static str, at: StorePoint) -> Result<StorePoint, StoreError> {
        let sent = Instant::now();
        match self.sources.client(StoreSource::Store).changes_stale(kind, at).await {
            Ok(changes) if changes.events.is_empty() => {
                self.sources.watch_points().record_check(kind, changes.at, Instant::now());
                Ok(changes.at)
            }
            Ok(changes) => {
                self.mark_silent_unless_moved(kind, at, sent).await;
                Ok(changes.at)
            }
            Err(StoreError::HistoryLost) => {
                if self.sources.watch_points().is_long_behind(kind, Instant::now()) {
                    self.mark_silent_unless_moved(kind, at, sent).await;
                }
                // A list tells whether the store came back from an older copy.
                self.list().await
            }
            Err(err) => Err(err),
        }
    }

    /// Makes the watch of a kind list again unless it brings the missing changes now, or was sent only
    /// after the check.
    async fn mark_silent_unless_moved(
        &self,
        kind: &'static str,
        at: StorePoint,
        check_sent: Instant,
    ) {
        runtime::sleep(SILENCE_DELAY).await;
        if self.sources.watch_points().is_waiting_at(kind, at, check_sent) {
            self.sources.mark_silent(kind);
        }
    }
}
