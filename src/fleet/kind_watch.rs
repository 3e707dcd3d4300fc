//! Watches one kind of objects in the store, and recovers from outages and lost change history.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use metrics::counter;

use crate::{
    clock,
    fleet::{KindCache, ListPacing, StallDetector, StoreRetry, StoreSource, StoreSources},
    ids::Revision,
    metric_names,
    platform::{
        store::{Change, Changes, StoreError, StoredObject},
        StorePoint,
    },
    runtime,
};

/// An update of the objects of one kind.
#[derive(Debug)]
pub enum KindUpdate {
    /// All objects, after a start or a gap.
    Listed {
        /// The objects.
        objects: Vec<StoredObject>,
        /// Objects up to this revision may be from an older copy, that is, older than what this
        /// process knows of them; 0 if the store never came back from one.
        restored_until: Revision,
        /// Maximum age of the changes since the last update; `None` at the start of a process.
        max_age: Option<Duration>,
    },
    /// Changes since the last update.
    Changed {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// Maximum age of the changes.
        max_age: Duration,
    },
}

/// A watch of one kind of objects.
///
/// It lists all objects once, then waits for changes. It lists again when changes may have been
/// missed, and uses another source if the current one fails.
#[derive(Debug)]
pub struct KindWatch {
    sources: StoreSources,
    kind: &'static str,
    retry: StoreRetry,
    /// Delay after a change, so that the next response contains several changes.
    batch_delay: Duration,
    cache: Option<Rc<KindCache>>,
    stalls: Option<Rc<RefCell<StallDetector>>>,
}

/// The state of a watch between two calls.
#[derive(Debug, Default)]
struct Progress {
    at: StorePoint,
    needs_list: bool,
    /// Objects up to this revision may be from an older copy.
    restored_until: Revision,
    /// Earliest time at which the watch may have been up to date last.
    last_up_to_date: Option<Instant>,
    /// Time by which the source may have lagged behind the store then.
    max_lag: Duration,
    /// Source of the latest successful response.
    source: Option<StoreSource>,
    pacing: ListPacing,
}

impl KindWatch {
    /// Creates a watch of `kind`.
    pub fn new(sources: StoreSources, kind: &'static str, retry: StoreRetry) -> KindWatch {
        let batch_delay = Duration::ZERO;
        KindWatch { sources, kind, retry, batch_delay, cache: None, stalls: None }
    }

    /// Waits for `batch_delay` after each change before the next request. Use this for kinds that
    /// change often and whose changes are not urgent.
    pub fn with_batch_delay(self, batch_delay: Duration) -> KindWatch {
        KindWatch { batch_delay, ..self }
    }

    /// Copies all updates to `cache`, which other processes watch.
    pub fn with_cache(self, cache: Rc<KindCache>) -> KindWatch {
        KindWatch { cache: Some(cache), ..self }
    }

    /// Adds the stalls of this process to the age of changes.
    pub fn with_stall_detector(self, stalls: Rc<RefCell<StallDetector>>) -> KindWatch {
        KindWatch { stalls: Some(stalls), ..self }
    }

    /// Calls `apply` with every update until the task is dropped.
    pub async fn run(self, mut apply: impl FnMut(KindUpdate)) {
        let mut progress = Progress { needs_list: true, ..Progress::default() };
        loop {
            let source = self.sources.choose(Instant::now());
            // After an outage the store may have dropped the change history, which a waiting watch
            // would not detect, so list again. An entry host reports dropped history, and otherwise
            // its changes have no gap.
            let returns_to_store =
                source == StoreSource::Store && progress.source != Some(StoreSource::Store);
            // The store gives revisions out again after it came back from an older copy, so a watch
            // from one of before would miss changes.
            let is_outdated = progress.at.generation < self.sources.generation();
            let res = match progress.needs_list || returns_to_store || is_outdated {
                true => self.list(source, &mut progress, &mut apply).await,
                false => self.watch(source, &mut progress, &mut apply).await,
            };
            match res {
                Ok(()) => self.sources.mark_available(source),
                Err(err) => self.handle_failure(source, &err, &mut progress).await,
            }
        }
    }

    async fn list(
        &self,
        source: StoreSource,
        progress: &mut Progress,
        apply: &mut impl FnMut(KindUpdate),
    ) -> Result<(), StoreError> {
        runtime::sleep(progress.pacing.delay(Instant::now())).await;
        let sent = clock::now();
        let listing = self.sources.client(source).list(self.kind).await?;
        let at = listing.at;
        self.sources.record_generation(at.generation);
        // `StoreRetry` paces the lists that fail.
        progress.pacing.record(Instant::now());
        counter!(metric_names::STORE_LISTS, "kind" => self.kind).increment(1);
        if self.is_behind(source, at, progress.at) {
            return Err(StoreError::Behind);
        }
        let has_returned = at.generation > progress.at.generation || at < progress.at;
        if has_returned && progress.last_up_to_date.is_some() {
            // An older copy lacks the entries that were written after it was taken.
            self.sources.record_return();
            progress.restored_until = at.revision;
        }
        // Let the other watches of the process retry too, whichever source responded.
        self.retry.reset();
        self.update_cache(|it| it.replace(self.kind, &listing));
        let outage = progress.last_up_to_date.map(clock::elapsed);
        if let Some(outage) = outage.filter(|_| progress.source.is_none() || has_returned) {
            let outage_ms = outage.as_millis();
            log::info!(
                "store: listed again after an outage kind={} away_ms={outage_ms} source={source:?}",
                self.kind
            );
        }
        apply(KindUpdate::Listed {
            objects: listing.objects,
            restored_until: progress.restored_until,
            max_age: progress.last_up_to_date.map(|it| self.max_change_age(it, progress.max_lag)),
        });
        self.sources.record_watch(source, self.kind, at);
        *progress = Progress {
            at,
            last_up_to_date: Some(clock::now() - self.max_delay(sent)),
            max_lag: source.max_lag(),
            source: Some(source),
            pacing: progress.pacing,
            restored_until: progress.restored_until,
            ..Progress::default()
        };
        Ok(())
    }

    async fn watch(
        &self,
        source: StoreSource,
        progress: &mut Progress,
        apply: &mut impl FnMut(KindUpdate),
    ) -> Result<(), StoreError> {
        let client = self.sources.client(source);
        let sent = clock::now();
        self.sources.record_wait(source, self.kind);
        let watch =
            async { Some(client.watch(self.kind, progress.at, source.watch_timeout()).await) };
        let restart = async {
            self.retry.wait_for_restart().await;
            None
        };
        let is_outdated = async {
            self.sources.wait_for_generation_after(progress.at.generation).await;
            Some(Err(StoreError::HistoryLost))
        };
        let is_silent = async {
            self.sources.wait_until_silent(self.kind).await;
            Some(Err(StoreError::WatchSilent))
        };
        let Some(res) = watch.or(restart).or(is_outdated).or(is_silent).await else {
            self.mark_cache_stale();
            progress.source = None;
            return Ok(());
        };
        let mut changes: Changes = res?;
        self.sources.record_generation(changes.at.generation);
        if changes.at.generation != progress.at.generation {
            return Err(StoreError::HistoryLost);
        }
        changes.retain_newest();
        // If the response before waited in this process, this one has changes as old as its wait.
        changes.max_age += self.max_delay(progress.last_up_to_date.unwrap_or(sent));
        self.update_cache(|it| it.apply(self.kind, &changes));
        progress.at = changes.at;
        self.sources.record_watch(source, self.kind, changes.at);
        progress.last_up_to_date = Some(clock::now() - self.max_delay(sent));
        progress.max_lag = source.max_lag();
        progress.source = Some(source);
        self.retry.reset();
        if !changes.events.is_empty() {
            apply(KindUpdate::Changed { changes: changes.events, max_age: changes.max_age });
            runtime::sleep(self.batch_delay).await;
        }
        Ok(())
    }

    /// Handles a failed call: marks the source as unavailable, or requests a new list if the change
    /// history was lost. Waits before the next call if there is no other source.
    async fn handle_failure(&self, source: StoreSource, err: &StoreError, progress: &mut Progress) {
        if matches!(err, StoreError::HistoryLost) {
            log::info!(
                "store: lost the change history, listing again kind={} at={} source={source:?}",
                self.kind,
                progress.at
            );
            // A list that failed between two pages counts too.
            if progress.needs_list {
                progress.pacing.record(Instant::now());
            }
            progress.needs_list = true;
            return;
        }
        self.sources.remove_watch(self.kind);
        if matches!(err, StoreError::WatchSilent) {
            log::warn!(
                "store: a watch is silent, listing again kind={} at={} waited_ms={}",
                self.kind,
                progress.at,
                progress.last_up_to_date.map_or(0, |it| clock::elapsed(it).as_millis())
            );
            progress.needs_list = true;
            return;
        }
        if matches!(err, StoreError::Behind) {
            log::info!(
                "store: the source is behind kind={} at={} source={source:?}",
                self.kind,
                progress.at
            );
            self.sources.mark_unavailable(source, Instant::now());
            progress.needs_list = true;
            return;
        }
        log::warn!(
            "store: failed to list or watch objects kind={} source={source:?} error=\"{err}\"",
            self.kind
        );
        self.sources.mark_unavailable(source, Instant::now());
        self.mark_cache_stale();
        progress.source = None;
        let is_alone = self.sources.choose(Instant::now()) == StoreSource::Store;
        if source == StoreSource::Store && is_alone {
            self.retry.wait().await;
        }
    }

    /// Returns `true` if a list is older than what this process knows. The store's own list is older
    /// only if its generation is.
    fn is_behind(&self, source: StoreSource, listed: StorePoint, known: StorePoint) -> bool {
        let is_earlier = source != StoreSource::Store && listed < known;
        is_earlier || listed.generation < self.sources.generation()
    }

    /// Returns the greatest age of a change in a list, if the watch was last up to date at
    /// `last_up_to_date` with a source that lagged by `max_lag`.
    fn max_change_age(&self, last_up_to_date: Instant, max_lag: Duration) -> Duration {
        let age = clock::elapsed(last_up_to_date) + max_lag;
        match self.max_delay(last_up_to_date).is_zero() {
            true => self.sources.contact().max_change_age(age, Instant::now()),
            // A process that did not run can't tell this from an outage of the store.
            false => age,
        }
    }

    /// Returns the longest time for which a message that was sent after `earliest` and is read now
    /// may have waited in this process.
    fn max_delay(&self, earliest: Instant) -> Duration {
        let Some(stalls) = &self.stalls else { return Duration::ZERO };
        let now = clock::now();
        stalls.borrow_mut().max_delay(now).min(now.duration_since(earliest))
    }

    fn update_cache(&self, act: impl FnOnce(&KindCache)) {
        if let Some(cache) = &self.cache {
            act(cache);
        }
    }

    fn mark_cache_stale(&self) {
        self.update_cache(|it| it.mark_stale(self.kind));
    }
}
