//! Fetches the manifest and the pieces of one version.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;
use futures_lite::FutureExt;

use crate::{
    http1::{Call, Client},
    ids::WeightsVersion,
    platform::engine_api::EngineError,
    runtime,
    slot::{
        manifest_spread::ManifestSpread,
        origin_turns::OriginTurns,
        piece_server::{piece_path, STATUS_BUSY},
        slot_state::{Holders, SlotState},
        Fetch, PiecePlan, Shelf, Source,
    },
};

/// Pieces on their way at once.
const N_WORKERS: usize = 3;
/// Time limit of a piece from another slot.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which a source that failed is not asked.
const REST: Duration = Duration::from_millis(700);
/// Time for which a slot counts as alive after a message.
const ALIVE_TIME: Duration = Duration::from_millis(1200);
/// Time for which a slot that sends to others is not asked.
const BUSY_REST: Duration = Duration::from_millis(50);
/// Pause between two looks at what to fetch.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two tries to get a manifest.
const MANIFEST_RETRY: Duration = Duration::from_millis(150);
/// Pause between two questions for what others hold.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Longest answer of another slot.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Pieces in a row that don't match, from which on the manifest is read anew each time.
const MAX_MISMATCHES: u32 = 2;

/// The fetch of one version.
struct PieceFetch {
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    started: Instant,
    client: Client,
    origin: OriginTurns,
    manifests: ManifestSpread,
    on_their_way: RefCell<BTreeSet<u32>>,
    busy_peers: RefCell<BTreeSet<SocketAddr>>,
    n_mismatches: RefCell<u32>,
    /// Whether what lies in the staging area is known.
    is_staging_read: Cell<bool>,
}

/// Fetches a version into the shelf; the shelf is whole when the future ends.
///
/// Pieces `may_be_staged` in the engine already when this is the first fetch of the process.
pub(crate) async fn fetch(
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    may_be_staged: bool,
) {
    let fetch = Rc::new(PieceFetch {
        manifests: ManifestSpread::new(slot.clone(), &model, version),
        origin: OriginTurns::new(slot.clone(), &model, version),
        slot,
        model,
        version,
        started: Instant::now(),
        client: Client::default(),
        on_their_way: RefCell::default(),
        busy_peers: RefCell::default(),
        n_mismatches: RefCell::default(),
        is_staging_read: Cell::new(!may_be_staged),
    });
    let asks = {
        let fetch = fetch.clone();
        runtime::spawn_local(async move { fetch.ask_regularly().await })
    };
    let has_come_late = fetch.manifests.load().await;
    fetch.origin.begin(has_come_late);
    let staged = {
        let fetch = fetch.clone();
        runtime::spawn_local(async move { fetch.take_staged().await })
    };
    let workers: Vec<Task<()>> = (0..N_WORKERS)
        .map(|_| {
            let fetch = fetch.clone();
            runtime::spawn_local(async move { fetch.work().await })
        })
        .collect();
    for worker in workers {
        worker.await;
    }
    drop(asks);
    drop(staged);
    let took_ms = fetch.started.elapsed().as_millis();
    log::info!("weights: whole model={} version={} took_ms={took_ms}", fetch.model, version);
}

impl PieceFetch {
    /// Asks what others hold; announcements may be lost on a full link.
    async fn ask_regularly(&self) {
        loop {
            let mut targets = self.slot.near_members();
            targets.extend(self.roots_to_ask());
            self.slot.announce(self.version, &targets, true).await;
            self.origin.renew_claims().await;
            runtime::sleep(ASK_INTERVAL).await;
        }
    }

    /// Slots of other zones that were to fetch what this slot is to bring into its own zone.
    fn roots_to_ask(&self) -> BTreeSet<SocketAddr> {
        let own = self.slot.settings.peers;
        let zone = &self.slot.settings.host.zone;
        let ranks = self.slot.ranks.borrow();
        let shelves = self.slot.shelves.borrow();
        let Some(shelf) = shelves.get(&self.version) else { return BTreeSet::new() };
        let missing = (0..shelf.manifest.n_pieces()).filter(|it| shelf.get(*it).is_none());
        let to_import = missing.filter(|it| ranks.zone_rank(*it, zone, own) <= 1);
        to_import.filter_map(|it| ranks.root(it)).collect()
    }

    /// Takes what lies in the engine's staging area already, once the engine answers.
    async fn take_staged(&self) {
        if self.is_staging_read.get() {
            return;
        }
        let staged = loop {
            match self.slot.engine.staged(&self.model).await {
                Ok(staged) => break staged,
                Err(err) => log::debug!("weights: staging area not read error=\"{err}\""),
            }
            runtime::sleep(MANIFEST_RETRY).await;
        };
        let mut n_taken = 0;
        for number in staged {
            match self.slot.engine.staged_piece(&self.model, number).await {
                Ok(bytes) => n_taken += u32::from(self.put(number, bytes)),
                Err(err) => log::warn!("weights: staged piece not read error=\"{err}\""),
            }
        }
        log::info!("weights: staged pieces taken n={n_taken} version={}", self.version);
        self.is_staging_read.set(true);
        self.slot.changed.notify(usize::MAX);
    }

    fn put(&self, number: u32, bytes: Vec<u8>) -> bool {
        let mut shelves = self.slot.shelves.borrow_mut();
        shelves.get_mut(&self.version).is_some_and(|it| it.put(number, bytes))
    }

    /// Fetches one piece after the other until the shelf is whole.
    async fn work(&self) {
        while !self.is_whole() {
            let listener = self.slot.changed.listen();
            let Some(fetch) = self.choose() else {
                let look = runtime::sleep(LOOK_INTERVAL);
                listener.or(look).await;
                continue;
            };
            self.on_their_way.borrow_mut().insert(fetch.number);
            if let Source::Peer(peer) = fetch.source {
                self.busy_peers.borrow_mut().insert(peer);
            }
            let res = self.read_piece(fetch).await;
            if let Source::Peer(peer) = fetch.source {
                self.busy_peers.borrow_mut().remove(&peer);
            }
            self.on_their_way.borrow_mut().remove(&fetch.number);
            self.take(fetch, res).await;
        }
    }

    fn is_whole(&self) -> bool {
        self.slot.shelves.borrow().get(&self.version).is_some_and(Shelf::is_whole)
    }

    /// Waits for nothing from a slot that failed; if it lives, it tells again what it holds.
    fn forget_holder(&self, peer: SocketAddr) {
        self.slot.heard.borrow_mut().remove(&peer);
        if let Some(holders) = self.slot.holders.borrow_mut().get_mut(&self.version) {
            holders.remove(&peer);
        }
    }

    fn piece(&self, number: u32) -> Option<Rc<Vec<u8>>> {
        self.slot.shelves.borrow().get(&self.version)?.get(number)
    }

    /// What others hold of this version.
    fn holders(&self) -> Holders {
        self.slot.holders.borrow().get(&self.version).cloned().unwrap_or_default()
    }

    fn choose(&self) -> Option<Fetch> {
        let shelves = self.slot.shelves.borrow();
        let shelf = shelves.get(&self.version)?;
        let on_their_way = self.on_their_way.borrow();
        let is_wanted = |it: &u32| shelf.get(*it).is_none() && !on_their_way.contains(it);
        let wanted: Vec<u32> = (0..shelf.manifest.n_pieces()).filter(is_wanted).collect();
        let now = Instant::now();
        let rests = self.slot.rests.borrow();
        let busy = self.busy_peers.borrow();
        let mut holders = self.holders();
        for (address, holder) in &mut holders {
            let rests = rests.get(address).is_some_and(|it| *it > now);
            holder.is_available = !rests && !busy.contains(address);
        }
        let plan = PiecePlan {
            own: self.slot.settings.peers,
            zone: &self.slot.settings.host.zone,
            ranks: &self.slot.ranks.borrow(),
            holders: &holders,
            wanted: &wanted,
            claimed: &self.slot.claimed(self.version, now),
            able: &self.slot.able_since(now - ALIVE_TIME),
            elapsed: self.origin.elapsed(),
            origin_pace: self.origin.pace(),
            is_origin_available: self.is_staging_read.get() && self.origin.is_available(now),
        };
        plan.next(&mut fastrand::Rng::new())
    }

    async fn read_piece(&self, fetch: Fetch) -> Result<Vec<u8>, EngineError> {
        match fetch.source {
            Source::Peer(peer) => {
                let path = piece_path(&self.model, self.version, fetch.number);
                let call = Call::get(&path, PEER_TIMEOUT, MAX_ANSWER_BYTES);
                let answer = self.client.call(peer, &call).await?;
                match answer.head.status {
                    200 => Ok(answer.body),
                    status => Err(EngineError::Refused(status)),
                }
            }
            Source::Origin => self.origin.read(fetch.number).await,
        }
    }

    /// Keeps a piece that matches, tells others and stages it; rests a source that failed.
    async fn take(&self, fetch: Fetch, res: Result<Vec<u8>, EngineError>) {
        let number = fetch.number;
        if let (Source::Peer(peer), Err(EngineError::Refused(STATUS_BUSY))) = (fetch.source, &res) {
            self.slot.rests.borrow_mut().insert(peer, Instant::now() + BUSY_REST);
            return;
        }
        let problem = match res {
            Ok(bytes) => {
                let n_bytes = bytes.len();
                if self.put(number, bytes) {
                    *self.n_mismatches.borrow_mut() = 0;
                    if fetch.source == Source::Origin {
                        self.origin.answered();
                        let after_ms = self.started.elapsed().as_millis();
                        log::info!(
                            "weights: piece={number} from=origin version={} bytes={n_bytes} \
                             after_ms={after_ms}",
                            self.version
                        );
                    }
                    return self.share(fetch).await;
                }
                *self.n_mismatches.borrow_mut() += 1;
                "a piece that doesn't match".to_owned()
            }
            Err(err) => {
                if fetch.source == Source::Origin {
                    self.origin.pass_turns_on().await;
                }
                err.to_string()
            }
        };
        log::info!(
            "weights: piece={number} source={:?} version={} failed error=\"{problem}\"",
            fetch.source,
            self.version
        );
        let until = Instant::now() + REST;
        match fetch.source {
            Source::Origin => self.origin.failed(),
            Source::Peer(peer) => {
                self.slot.rests.borrow_mut().insert(peer, until);
                self.forget_holder(peer);
            }
        }
        if *self.n_mismatches.borrow() >= MAX_MISMATCHES {
            self.manifests.check().await;
        }
    }

    async fn share(&self, fetch: Fetch) {
        let targets = match fetch.source {
            Source::Origin => self.slot.other_members(),
            Source::Peer(_) => self.slot.near_members(),
        };
        self.slot.announce(self.version, &targets, false).await;
        self.slot.changed.notify(usize::MAX);
        // The staging area has room for one version, which is to be the newest.
        if self.slot.target().is_some_and(|it| it.1 != self.version) {
            return;
        }
        let Some(piece) = self.piece(fetch.number) else { return };
        let Some(_staging) = self.slot.staging.try_lock() else { return };
        if let Err(err) = self.slot.engine.stage(&self.model, fetch.number, &piece).await {
            log::warn!("weights: piece not staged number={} error=\"{err}\"", fetch.number);
        }
    }
}
