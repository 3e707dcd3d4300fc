//! Follows one kind of objects in the store, through outages and lost history.

use std::time::{Duration, Instant};

use crate::{
    platform::store::{Change, Store, StoreError, StoredObject},
    runtime,
};

/// Time after which a watch without news is asked anew.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// First pause after a failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest pause between failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What a watch has learned.
#[derive(Debug)]
pub enum KindUpdate {
    /// All objects, after a start or a gap.
    Listed {
        /// The objects.
        objects: Vec<StoredObject>,
        /// Whether the store could not be reached or asked before this list.
        is_after_outage: bool,
    },
    /// Changes, oldest first.
    Changed(Vec<Change>),
}

/// Follows one kind.
#[derive(Debug)]
pub struct KindWatch {
    store: Store,
    kind: &'static str,
}

impl KindWatch {
    /// Makes a watch of `kind`.
    pub fn new(store: Store, kind: &'static str) -> KindWatch {
        KindWatch { store, kind }
    }

    /// Hands every update to `apply` until the task is dropped.
    pub async fn run(self, mut apply: impl FnMut(KindUpdate)) {
        let mut is_after_outage = false;
        loop {
            let listing = self.list(&mut is_after_outage).await;
            let mut at = listing.at;
            apply(KindUpdate::Listed { objects: listing.objects, is_after_outage });
            is_after_outage = false;
            let mut delay = FIRST_RETRY_DELAY;
            loop {
                match self.store.watch(self.kind, at, WATCH_WAIT).await {
                    Ok(changes) => {
                        delay = FIRST_RETRY_DELAY;
                        at = changes.at;
                        if !changes.events.is_empty() {
                            apply(KindUpdate::Changed(changes.events));
                        }
                    }
                    Err(StoreError::HistoryGone) => {
                        log::info!("store: history gone kind={} at={at}", self.kind);
                        break;
                    }
                    Err(err) => {
                        // An outage may have removed entries that come back, so list again.
                        log::warn!("store: watch failed kind={} error=\"{err}\"", self.kind);
                        is_after_outage = true;
                        pause(&mut delay).await;
                        break;
                    }
                }
            }
        }
    }

    async fn list(&self, is_after_outage: &mut bool) -> crate::platform::store::Listing {
        let mut delay = FIRST_RETRY_DELAY;
        let since = Instant::now();
        loop {
            match self.store.list(self.kind).await {
                Ok(listing) => {
                    if *is_after_outage {
                        let away_ms = since.elapsed().as_millis();
                        log::info!("store: back kind={} away_ms={away_ms}", self.kind);
                    }
                    return listing;
                }
                Err(err) => {
                    log::warn!("store: list failed kind={} error=\"{err}\"", self.kind);
                    *is_after_outage = true;
                    pause(&mut delay).await;
                }
            }
        }
    }
}

/// Waits with jitter and doubles the delay.
async fn pause(delay: &mut Duration) {
    runtime::sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
    *delay = (*delay * 2).min(MAX_RETRY_DELAY);
}
