//! Notices that the store falls silent, which a waiting watch does not show.

use std::time::Duration;

use crate::{fleet::Outage, platform::store::Store, runtime};

/// Asks the store a cheap question from time to time; after a gap all watches begin anew.
#[derive(Debug)]
pub struct Canary {
    store: Store,
    kind: &'static str,
    interval: Duration,
    outage: Outage,
}

impl Canary {
    /// Makes a canary that lists `kind` each `interval`.
    pub fn new(store: Store, kind: &'static str, interval: Duration, outage: Outage) -> Canary {
        Canary { store, kind, interval, outage }
    }

    /// Asks until the task is dropped.
    pub async fn run(self) {
        let mut is_away = false;
        loop {
            runtime::sleep(self.interval.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
            match self.store.list_stale(self.kind).await {
                Ok(_) if is_away => {
                    is_away = false;
                    log::info!("store: answers again");
                    self.outage.interrupt();
                }
                Ok(_) => {}
                Err(err) if !is_away => {
                    is_away = true;
                    log::warn!("store: does not answer error=\"{err}\"");
                }
                Err(_) => {}
            }
        }
    }
}
