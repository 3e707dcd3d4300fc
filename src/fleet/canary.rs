//! Notices that the store falls silent, which a waiting watch does not show.

use std::time::{Duration, Instant};

use crate::{
    fleet::{Outage, Source, Sources},
    runtime,
};

/// Asks the store a cheap question from time to time while it is followed directly; after a gap all
/// watches begin anew.
#[derive(Debug)]
pub struct Canary {
    sources: Sources,
    kind: &'static str,
    interval: Duration,
    outage: Outage,
}

impl Canary {
    /// Makes a canary that lists `kind` each `interval`.
    pub fn new(sources: Sources, kind: &'static str, interval: Duration, outage: Outage) -> Canary {
        Canary { sources, kind, interval, outage }
    }

    /// Asks until the task is dropped.
    pub async fn run(self) {
        let mut is_away = false;
        loop {
            runtime::sleep(self.interval.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
            let is_followed = self.sources.choose(Instant::now()) == Source::Store;
            if !is_followed && !self.sources.is_direct() {
                continue;
            }
            match self.sources.client(Source::Store).list_stale(self.kind).await {
                Ok(_) if is_away => {
                    is_away = false;
                    log::info!("store: answers again");
                    self.sources.answered(Source::Store);
                    self.outage.end();
                    if is_followed {
                        self.outage.interrupt();
                    }
                }
                Ok(_) => self.sources.answered(Source::Store),
                Err(err) if !is_away => {
                    is_away = true;
                    log::warn!("store: does not answer error=\"{err}\"");
                    self.sources.failed(Source::Store, Instant::now());
                    self.outage.interrupt();
                }
                Err(_) => {}
            }
        }
    }
}
