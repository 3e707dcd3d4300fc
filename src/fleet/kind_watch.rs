//! Follows one kind of objects in the store, through outages and lost history.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    fleet::{KindCache, Outage, Source, Sources},
    ids::Revision,
    platform::store::{Change, Changes, Listing, StoreError, StoredObject},
    runtime,
};

/// What a watch has learned.
#[derive(Debug)]
pub enum KindUpdate {
    /// All objects, after a start or a gap.
    Listed {
        /// The objects.
        objects: Vec<StoredObject>,
        /// Whether the store could not be reached or asked before this list.
        is_after_outage: bool,
        /// Longest time since any change in it; absent at the start of a process.
        max_age: Option<Duration>,
    },
    /// Changes, oldest first.
    Changed(Vec<Change>),
}

/// Follows one kind.
#[derive(Debug)]
pub struct KindWatch {
    sources: Sources,
    kind: &'static str,
    outage: Outage,
    /// Pause after a change, in which further ones gather.
    pause: Duration,
    cache: Option<Rc<KindCache>>,
}

/// How far the kind is known.
#[derive(Debug, Default)]
struct Progress {
    at: Revision,
    needs_list: bool,
    is_after_outage: bool,
    /// When everything was known last.
    known: Option<Instant>,
    /// Source of the latest answer.
    source: Option<Source>,
}

impl KindWatch {
    /// Makes a watch of `kind`.
    pub fn new(sources: Sources, kind: &'static str, outage: Outage) -> KindWatch {
        KindWatch { sources, kind, outage, pause: Duration::ZERO, cache: None }
    }

    /// Gathers changes for `pause` before it asks for more, where many come and none is urgent.
    pub fn gathering(self, pause: Duration) -> KindWatch {
        KindWatch { pause, ..self }
    }

    /// Keeps what the store tells for the processes that follow this one.
    pub fn keeping(self, cache: Rc<KindCache>) -> KindWatch {
        KindWatch { cache: Some(cache), ..self }
    }

    /// Hands every update to `apply` until the task is dropped.
    pub async fn run(self, mut apply: impl FnMut(KindUpdate)) {
        let mut progress = Progress { needs_list: true, ..Progress::default() };
        loop {
            let source = self.sources.choose(Instant::now());
            // After a gap the store may have dropped the history, which a waiting watch would not
            // tell. An entry host tells, and without that its changes have no gap.
            let is_back = source == Source::Store && progress.source != Some(Source::Store);
            let res = match progress.needs_list || is_back {
                true => self.list(source, &mut progress, &mut apply).await,
                false => self.watch(source, &mut progress, &mut apply).await,
            };
            match res {
                Ok(()) => self.sources.answered(source),
                Err(err) => self.fail(source, &err, &mut progress).await,
            }
        }
    }

    async fn list(
        &self,
        source: Source,
        progress: &mut Progress,
        apply: &mut impl FnMut(KindUpdate),
    ) -> Result<(), StoreError> {
        let Listing { objects, at } = self.sources.client(source).list(self.kind).await?;
        if at < progress.at {
            // An entry host that is behind; another one knows more.
            return Err(StoreError::HistoryGone);
        }
        let listing = Listing { objects, at };
        // The other watches of the process need not wait either, whatever the source.
        self.outage.end();
        self.keep(|it| it.list(self.kind, &listing));
        if progress.is_after_outage {
            let away_ms = progress.known.map_or(0, |it| it.elapsed().as_millis());
            log::info!("store: back kind={} away_ms={away_ms} source={source:?}", self.kind);
        }
        apply(KindUpdate::Listed {
            objects: listing.objects,
            is_after_outage: progress.is_after_outage,
            max_age: progress.known.map(|it| it.elapsed()),
        });
        let known = Some(Instant::now());
        *progress = Progress { at, known, source: Some(source), ..Progress::default() };
        Ok(())
    }

    async fn watch(
        &self,
        source: Source,
        progress: &mut Progress,
        apply: &mut impl FnMut(KindUpdate),
    ) -> Result<(), StoreError> {
        let client = self.sources.client(source);
        let watch = async { Some(client.watch(self.kind, progress.at, source.wait()).await) };
        let gap = async {
            self.outage.interrupted().await;
            None
        };
        let Some(res) = watch.or(gap).await else {
            self.lose();
            progress.source = None;
            progress.is_after_outage = true;
            return Ok(());
        };
        let changes: Changes = res?;
        self.keep(|it| it.change(self.kind, &changes));
        progress.at = changes.at;
        progress.known = Some(Instant::now());
        progress.source = Some(source);
        progress.is_after_outage = false;
        self.outage.end();
        if !changes.events.is_empty() {
            apply(KindUpdate::Changed(changes.events));
            runtime::sleep(self.pause).await;
        }
        Ok(())
    }

    /// Goes on from a failure: with another source if there is one, else after a pause.
    async fn fail(&self, source: Source, err: &StoreError, progress: &mut Progress) {
        if matches!(err, StoreError::HistoryGone) {
            log::info!(
                "store: history gone kind={} at={} source={source:?}",
                self.kind,
                progress.at
            );
            if progress.needs_list {
                self.sources.failed(source, Instant::now());
            }
            progress.needs_list = true;
            return;
        }
        log::warn!("store: call failed kind={} source={source:?} error=\"{err}\"", self.kind);
        self.sources.failed(source, Instant::now());
        self.lose();
        progress.source = None;
        if source != Source::Store {
            return;
        }
        // An outage may have removed entries that come back.
        progress.is_after_outage = true;
        if self.sources.choose(Instant::now()) == Source::Store {
            self.outage.wait().await;
        }
    }

    fn keep(&self, act: impl FnOnce(&KindCache)) {
        if let Some(cache) = &self.cache {
            act(cache);
        }
    }

    fn lose(&self) {
        self.keep(|it| it.lose(self.kind));
    }
}
