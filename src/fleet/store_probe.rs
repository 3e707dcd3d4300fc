//! Detects that the store no longer responds, which a waiting watch cannot detect.

use std::time::{Duration, Instant};

use crate::{
    fleet::{StoreRetry, StoreSource, StoreSources},
    runtime,
};

/// Lists one kind at regular intervals while this process watches the store directly or prefers to.
///
/// A long poll that waits for changes cannot tell an idle store from an unavailable one. If a list
/// fails, or succeeds again while the process watches the store, all watches of the process
/// restart. Its responses also tell when the store has come back from an older copy, which a waiting
/// watch doesn't.
#[derive(Debug)]
pub struct StoreProbe {
    sources: StoreSources,
    kind: &'static str,
    interval: Duration,
    retry: StoreRetry,
}

impl StoreProbe {
    /// Creates a probe that lists `kind` once per `interval` on average.
    pub fn new(
        sources: StoreSources,
        kind: &'static str,
        interval: Duration,
        retry: StoreRetry,
    ) -> StoreProbe {
        StoreProbe { sources, kind, interval, retry }
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
            match self.sources.client(StoreSource::Store).list_stale(self.kind).await {
                Ok(listing) if is_unavailable => {
                    is_unavailable = false;
                    self.sources.record_generation(listing.at.generation);
                    log::info!("store: the store responds again");
                    self.sources.mark_available(StoreSource::Store);
                    self.retry.reset();
                    if is_in_use {
                        self.retry.restart_watches();
                    }
                }
                Ok(listing) => {
                    self.sources.record_generation(listing.at.generation);
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
}
