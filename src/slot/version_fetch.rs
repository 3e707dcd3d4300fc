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
        manifest_distributor::ManifestDistributor,
        origin_schedule::OriginSchedule,
        piece_server::{piece_path, STATUS_BUSY},
        slot_state::{PieceHolders, SlotState},
        PiecePlan, PieceRequest, PieceSource, PieceStore,
    },
};

/// The number of pieces that are fetched at once.
const N_WORKERS: usize = 3;
/// Timeout of a request for a piece from another slot.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which no request is sent to a peer that failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(700);
/// Time for which a slot counts as alive after its last message.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which no request is sent to a slot that refused one as busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);
/// Interval at which an idle worker checks for a piece to request.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay between two attempts to read the engine's staging area.
const STAGING_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval between two queries for the pieces that others have.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Longest response of another slot.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The number of consecutive digest mismatches from which on each failure also rereads the
/// manifest.
const MAX_DIGEST_MISMATCHES: u32 = 2;

/// The state of the fetch of one version, which its workers share.
struct VersionFetch {
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    started: Instant,
    client: Client,
    origin_schedule: OriginSchedule,
    manifest_distributor: ManifestDistributor,
    in_flight: RefCell<BTreeSet<u32>>,
    busy_peers: RefCell<BTreeSet<SocketAddr>>,
    n_mismatches: RefCell<u32>,
    /// Whether the pieces in the staging area have been read.
    is_staging_read: Cell<bool>,
}

/// Fetches a version into its piece store, which is complete when the future ends.
///
/// `may_be_staged` is set for the first fetch of the process: the engine's staging area may already
/// have pieces.
pub(crate) async fn fetch(
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    may_be_staged: bool,
) {
    let fetch = Rc::new(VersionFetch {
        manifest_distributor: ManifestDistributor::new(slot.clone(), &model, version),
        origin_schedule: OriginSchedule::new(slot.clone(), &model, version),
        slot,
        model,
        version,
        started: Instant::now(),
        client: Client::default(),
        in_flight: RefCell::default(),
        busy_peers: RefCell::default(),
        n_mismatches: RefCell::default(),
        is_staging_read: Cell::new(!may_be_staged),
    });
    let query_task = {
        let fetch = fetch.clone();
        runtime::spawn_local(async move { fetch.query_peers().await })
    };
    let has_joined_late = fetch.manifest_distributor.obtain().await;
    fetch.origin_schedule.start(has_joined_late);
    let staging_task = {
        let fetch = fetch.clone();
        runtime::spawn_local(async move { fetch.read_staged_pieces().await })
    };
    let workers: Vec<Task<()>> = (0..N_WORKERS)
        .map(|_| {
            let fetch = fetch.clone();
            runtime::spawn_local(async move { fetch.run_worker().await })
        })
        .collect();
    for worker in workers {
        worker.await;
    }
    drop(query_task);
    drop(staging_task);
    let took_ms = fetch.started.elapsed().as_millis();
    log::info!(
        "weights: fetched a complete version model={} version={} took_ms={took_ms}",
        fetch.model,
        version
    );
}

impl VersionFetch {
    /// Queries other slots at intervals for the pieces that they have, as announcements may be lost
    /// on a full link.
    async fn query_peers(&self) {
        loop {
            let mut targets = self.slot.neighbours.borrow().clone();
            targets.extend(self.origin_fetchers_to_query());
            self.slot.announce(self.version, &targets, true).await;
            self.origin_schedule.renew_claims().await;
            runtime::sleep(QUERY_INTERVAL).await;
        }
    }

    /// Returns the origin fetchers of the missing pieces for which this slot is first or second in
    /// rank in its zone.
    fn origin_fetchers_to_query(&self) -> BTreeSet<SocketAddr> {
        let own = self.slot.settings.peers;
        let zone = &self.slot.settings.host.zone;
        let ranks = self.slot.ranks.borrow();
        let piece_stores = self.slot.piece_stores.borrow();
        let Some(piece_store) = piece_stores.get(&self.version) else { return BTreeSet::new() };
        let missing =
            (0..piece_store.manifest.n_pieces()).filter(|it| piece_store.get(*it).is_none());
        let to_copy = missing.filter(|it| ranks.zone_rank(*it, zone, own) <= 1);
        to_copy.filter_map(|it| ranks.origin_fetcher(it)).collect()
    }

    /// Reads the pieces that are already in the engine's staging area, once the engine responds.
    async fn read_staged_pieces(&self) {
        if self.is_staging_read.get() {
            return;
        }
        let staged = loop {
            match self.slot.engine.list_staged_pieces(&self.model).await {
                Ok(staged) => break staged,
                Err(err) => {
                    log::debug!("weights: failed to list the staged pieces error=\"{err}\"")
                }
            }
            runtime::sleep(STAGING_RETRY_DELAY).await;
        };
        let mut n_stored = 0;
        for number in staged {
            match self.slot.engine.read_staged_piece(&self.model, number).await {
                Ok(bytes) => n_stored += u32::from(self.put(number, bytes)),
                Err(err) => log::warn!("weights: failed to read a staged piece error=\"{err}\""),
            }
        }
        log::info!("weights: reused staged pieces n={n_stored} version={}", self.version);
        self.is_staging_read.set(true);
        self.slot.changed.notify(usize::MAX);
    }

    fn put(&self, number: u32, bytes: Vec<u8>) -> bool {
        let mut piece_stores = self.slot.piece_stores.borrow_mut();
        piece_stores.get_mut(&self.version).is_some_and(|it| it.put(number, bytes))
    }

    /// Fetches one piece after the other until the piece store is complete.
    async fn run_worker(&self) {
        while !self.is_complete() {
            let listener = self.slot.changed.listen();
            let Some(request) = self.choose_request() else {
                let poll = runtime::sleep(POLL_INTERVAL);
                listener.or(poll).await;
                continue;
            };
            self.in_flight.borrow_mut().insert(request.number);
            if let PieceSource::Peer(peer) = request.source {
                self.busy_peers.borrow_mut().insert(peer);
            }
            let res = self.read_piece(request).await;
            if let PieceSource::Peer(peer) = request.source {
                self.busy_peers.borrow_mut().remove(&peer);
            }
            self.in_flight.borrow_mut().remove(&request.number);
            self.handle_result(request, res).await;
        }
    }

    fn is_complete(&self) -> bool {
        self.slot.piece_stores.borrow().get(&self.version).is_some_and(PieceStore::is_complete)
    }

    /// Removes a slot that failed from the holders; if it is alive, its next message adds it again.
    fn remove_holder(&self, peer: SocketAddr) {
        self.slot.last_received.borrow_mut().remove(&peer);
        if let Some(holders) = self.slot.holders.borrow_mut().get_mut(&self.version) {
            holders.remove(&peer);
        }
    }

    fn piece(&self, number: u32) -> Option<Rc<Vec<u8>>> {
        self.slot.piece_stores.borrow().get(&self.version)?.get(number)
    }

    fn choose_request(&self) -> Option<PieceRequest> {
        let piece_stores = self.slot.piece_stores.borrow();
        let piece_store = piece_stores.get(&self.version)?;
        let in_flight = self.in_flight.borrow();
        let is_wanted = |it: &u32| piece_store.get(*it).is_none() && !in_flight.contains(it);
        let wanted: Vec<u32> = (0..piece_store.manifest.n_pieces()).filter(is_wanted).collect();
        let now = Instant::now();
        let backoffs = self.slot.peer_backoffs.borrow();
        let backing_off = backoffs.iter().filter(|it| *it.1 > now).map(|it| *it.0);
        let unavailable = self.busy_peers.borrow().iter().copied().chain(backing_off).collect();
        let no_holders = PieceHolders::new();
        let all_holders = self.slot.holders.borrow();
        let holders = all_holders.get(&self.version).unwrap_or(&no_holders);
        let plan = PiecePlan {
            own: self.slot.settings.peers,
            zone: &self.slot.settings.host.zone,
            ranks: &self.slot.ranks.borrow(),
            holders,
            unavailable: &unavailable,
            wanted: &wanted,
            claimed: &self.slot.claimed_pieces(self.version, now),
            healthy_members: &self.slot.healthy_members_since(now - LIVENESS_TIMEOUT),
            elapsed: self.origin_schedule.elapsed(),
            pacing_interval: self.origin_schedule.pacing_interval(),
            is_origin_available: self.is_staging_read.get()
                && self.origin_schedule.is_available(now),
        };
        plan.next_request(&mut fastrand::Rng::new())
    }

    async fn read_piece(&self, request: PieceRequest) -> Result<Vec<u8>, EngineError> {
        match request.source {
            PieceSource::Peer(peer) => {
                let path = piece_path(&self.model, self.version, request.number);
                let call = Call::get(&path, PEER_TIMEOUT, MAX_RESPONSE_BYTES);
                let response = self.client.call(peer, &call).await?;
                match response.head.status {
                    200 => Ok(response.body),
                    status => Err(EngineError::Refused(status)),
                }
            }
            PieceSource::Origin => self.origin_schedule.fetch_piece(request.number).await,
        }
    }

    /// Stores, announces and stages a piece that matches the manifest, or backs off from a source
    /// that failed.
    async fn handle_result(&self, request: PieceRequest, res: Result<Vec<u8>, EngineError>) {
        let number = request.number;
        if let (PieceSource::Peer(peer), Err(EngineError::Refused(STATUS_BUSY))) =
            (request.source, &res)
        {
            self.slot.peer_backoffs.borrow_mut().insert(peer, Instant::now() + BUSY_BACKOFF);
            return;
        }
        let problem = match res {
            Ok(bytes) => {
                let n_bytes = bytes.len();
                if self.put(number, bytes) {
                    *self.n_mismatches.borrow_mut() = 0;
                    if request.source == PieceSource::Origin {
                        self.origin_schedule.record_success();
                        let after_ms = self.started.elapsed().as_millis();
                        log::info!(
                            "weights: fetched piece={number} from=origin version={} \
                             bytes={n_bytes} after_ms={after_ms}",
                            self.version
                        );
                    }
                    return self.announce_and_stage(request).await;
                }
                *self.n_mismatches.borrow_mut() += 1;
                "the piece does not match the manifest".to_owned()
            }
            Err(err) => {
                if request.source == PieceSource::Origin {
                    self.origin_schedule.report_unreachable().await;
                }
                err.to_string()
            }
        };
        log::info!(
            "weights: failed to fetch piece={number} source={:?} version={} error=\"{problem}\"",
            request.source,
            self.version
        );
        let until = Instant::now() + FAILURE_BACKOFF;
        match request.source {
            PieceSource::Origin => self.origin_schedule.record_failure(),
            PieceSource::Peer(peer) => {
                self.slot.peer_backoffs.borrow_mut().insert(peer, until);
                self.remove_holder(peer);
            }
        }
        if *self.n_mismatches.borrow() >= MAX_DIGEST_MISMATCHES {
            self.manifest_distributor.refresh().await;
        }
    }

    async fn announce_and_stage(&self, request: PieceRequest) {
        let targets = match request.source {
            PieceSource::Origin => self.slot.other_members(),
            PieceSource::Peer(_) => self.slot.neighbours.borrow().clone(),
        };
        self.slot.announce(self.version, &targets, false).await;
        self.slot.changed.notify(usize::MAX);
        // The staging area has room for one version, which must be the target.
        if self.slot.target().is_some_and(|it| it.1 != self.version) {
            return;
        }
        let Some(piece) = self.piece(request.number) else { return };
        let Some(_staging) = self.slot.staging_lock.try_lock() else { return };
        if let Err(err) = self.slot.engine.stage_piece(&self.model, request.number, &piece).await {
            log::warn!(
                "weights: failed to stage a piece number={} error=\"{err}\"",
                request.number
            );
        }
    }
}
