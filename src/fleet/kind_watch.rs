//! Follows one kind of objects in the store, through outages and lost history.

use std::time::{Duration, Instant};

use futures_lite::FutureExt;

use crate::{
    fleet::Outage,
    platform::store::{Change, Store, StoreError, StoredObject},
    runtime,
};

/// Time after which a watch without news is asked anew.
const WATCH_WAIT: Duration = Duration::from_secs(15);
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
    outage: Outage,
    /// Pause after a change, in which further ones gather.
    pause: Duration,
}

impl KindWatch {
    /// Makes a watch of `kind`.
    pub fn new(store: Store, kind: &'static str, outage: Outage) -> KindWatch {
        KindWatch { store, kind, outage, pause: Duration::ZERO }
    }

    /// Gathers changes for `pause` before it asks for more, where many come and none is urgent.
    pub fn gathering(self, pause: Duration) -> KindWatch {
        KindWatch { pause, ..self }
    }

    /// Hands every update to `apply` until the task is dropped.
    pub async fn run(self, mut apply: impl FnMut(KindUpdate)) {
        let mut is_after_outage = false;
        loop {
            let listing = self.list(&mut is_after_outage).await;
            let mut at = listing.at;
            apply(KindUpdate::Listed { objects: listing.objects, is_after_outage });
            is_after_outage = false;
            loop {
                let watch = async { Some(self.store.watch(self.kind, at, WATCH_WAIT).await) };
                let gap = async {
                    self.outage.interrupted().await;
                    None
                };
                let Some(res) = watch.or(gap).await else {
                    is_after_outage = true;
                    break;
                };
                match res {
                    Ok(changes) => {
                        at = changes.at;
                        if !changes.events.is_empty() {
                            apply(KindUpdate::Changed(changes.events));
                            runtime::sleep(self.pause).await;
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
                        self.outage.wait().await;
                        break;
                    }
                }
            }
        }
    }

    async fn list(&self, is_after_outage: &mut bool) -> crate::platform::store::Listing {
        let since = Instant::now();
        loop {
            match self.store.list(self.kind).await {
                Ok(listing) => {
                    self.outage.end();
                    if *is_after_outage {
                        let away_ms = since.elapsed().as_millis();
                        log::info!("store: back kind={} away_ms={away_ms}", self.kind);
                    }
                    return listing;
                }
                Err(err) => {
                    log::warn!("store: list failed kind={} error=\"{err}\"", self.kind);
                    *is_after_outage = true;
                    self.outage.wait().await;
                }
            }
        }
    }
}
