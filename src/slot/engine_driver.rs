//! Brings the engine to the target version: fetches and stages the pieces, checks them, orders the
//! engine to load them and notifies the entry hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;
use futures_lite::FutureExt;

use crate::{
    clock,
    fleet::{EngineNotice, PeerMessage},
    ids::WeightsVersion,
    platform::engine_api::{EngineError, EngineReport, SwitchMode},
    runtime,
    slot::{
        fallback_delay,
        piece_ranks::address_hash,
        slot_state::{OwnPool, SlotState},
        switch_delay, version_fetch, PieceStore,
    },
    weights::rank::score,
};

/// Poll interval of an engine that serves its target version.
const STEADY_POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// Poll interval of an engine that does not serve its target version.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between the notice to entry hosts, which then stop sending, and the order to
/// switch.
const NOTICE_TIME: Duration = Duration::from_millis(60);
/// Longest time to drain an engine; the requests that still run are aborted and must be resumed at
/// other engines.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(1700);
/// Maximum age of the check of the staged pieces at the order to load them. The process may have
/// been suspended in between, and staged pieces may turn bad.
const MAX_CHECK_AGE: Duration = Duration::from_millis(2500);
/// The number of unfinished requests at which an engine counts as drained; they are aborted.
const MAX_CUT_REQUESTS: u32 = 1;
/// The number of times that each notice is sent to entry hosts, as a datagram may be lost.
const MAX_NOTICES: u32 = 2;
/// Time without a new piece after which an incomplete version counts as unavailable.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The number of newest versions whose pieces are fetched and kept.
pub(crate) const N_KEPT_VERSIONS: WeightsVersion = 2;

/// Polls the engine and orders it to load the newest available version.
///
/// It spreads the switches of a pool over time, so that enough engines serve requests meanwhile.
pub(crate) struct EngineDriver {
    slot: Rc<SlotState>,
    fetches: BTreeMap<WeightsVersion, Task<()>>,
    /// The last notice sent to entry hosts.
    last_notice: Option<EngineNotice>,
    /// The number of times that `last_notice` was sent.
    n_notices: u32,
    is_engine_up: bool,
}

impl EngineDriver {
    /// Creates a driver that has not polled the engine yet.
    pub(crate) fn new(slot: Rc<SlotState>) -> EngineDriver {
        EngineDriver {
            slot,
            fetches: BTreeMap::new(),
            last_notice: None,
            n_notices: 0,
            is_engine_up: false,
        }
    }

    /// Polls the engine at intervals, and after each change of the slot's state, until the task is
    /// dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let listener = self.slot.changed.listen();
            let interval = self.poll_engine().await;
            listener.or(runtime::sleep(interval)).await;
            runtime::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn poll_engine(&mut self) -> Duration {
        let Some(pool) = self.slot.pool.borrow().clone() else { return SWITCH_POLL_INTERVAL };
        let target = self.slot.versions.borrow().newest(&pool.model);
        self.start_fetch(&pool, target);
        let Some(report) = self.read_report().await else { return SWITCH_POLL_INTERVAL };
        let serves = complete_version(&report, &pool);
        if report.is_busy {
            self.notify_entry_hosts(&pool, &report, None).await;
            return SWITCH_POLL_INTERVAL;
        }
        self.notify_entry_hosts(&pool, &report, serves).await;
        if serves == Some(target) {
            return STEADY_POLL_INTERVAL;
        }
        if let Some(piece_store) = self.choose_pieces(&pool, target, serves) {
            self.switch(&pool, serves, &piece_store).await;
        }
        SWITCH_POLL_INTERVAL
    }

    /// Reads the engine's report; logs when the engine starts or stops responding.
    async fn read_report(&mut self) -> Option<EngineReport> {
        let res = self.slot.engine.read_report().await;
        if res.is_ok() != self.is_engine_up {
            self.is_engine_up = res.is_ok();
            match &res {
                Ok(report) => {
                    log::info!("slot: the engine responds started_ms={}", report.started_ms)
                }
                Err(err) => log::info!("slot: the engine does not respond error=\"{err}\""),
            }
        }
        res.ok()
    }

    /// Starts to fetch the target version, unless that has been started; the fetch of the version
    /// before it continues.
    fn start_fetch(&mut self, pool: &OwnPool, target: WeightsVersion) {
        if self.fetches.contains_key(&target) {
            return;
        }
        log::info!("weights: started to fetch a version model={} version={target}", pool.model);
        let oldest = target.saturating_sub(N_KEPT_VERSIONS - 1);
        let may_be_staged = self.fetches.is_empty();
        self.fetches.retain(|it, _| *it >= oldest);
        self.slot.remove_versions_before(oldest);
        let fetch =
            version_fetch::fetch(self.slot.clone(), pool.model.clone(), target, may_be_staged);
        self.fetches.insert(target, runtime::spawn_local(fetch));
    }

    /// Returns the pieces of the version to load now: the target version, or an earlier one while
    /// the target is unavailable. Returns `None` if the engine should not switch now.
    fn choose_pieces(
        &self,
        pool: &OwnPool,
        target: WeightsVersion,
        serves: Option<WeightsVersion>,
    ) -> Option<PieceStore> {
        let bound = self.slot.settings.bounds.version;
        let versions = self.slot.versions.borrow();
        let outdated = versions.outdated_since(&pool.model, serves.unwrap_or(0));
        let outdated_for = outdated.map_or(Duration::MAX, clock::elapsed);
        let may_switch_after = |delay: Duration| serves.is_none() || outdated_for >= delay;
        let (rank, n_engines) = self.rank();
        let piece_stores = self.slot.piece_stores.borrow();
        let newest = piece_stores.get(&target);
        if let Some(piece_store) = newest.filter(|it| it.is_complete()) {
            return may_switch_after(switch_delay(rank, n_engines, bound))
                .then(|| piece_store.clone());
        }
        let oldest = versions.oldest_allowed(&pool.model, clock::now());
        // While pieces of the newest version still arrive, wait for them, as one switch costs less
        // than two. An engine that may not serve loses nothing by an additional switch.
        let may_serve = serves.is_some_and(|it| it >= oldest);
        if may_serve && newest.is_some_and(|it| it.idle_time() < STALL_TIMEOUT) {
            return None;
        }
        let is_acceptable = |it: &&PieceStore| it.version >= oldest && Some(it.version) > serves;
        let earlier = piece_stores.values().rev().find(|it| it.is_complete()).filter(is_acceptable);
        earlier.filter(|_| may_switch_after(fallback_delay(rank, n_engines, bound))).cloned()
    }

    /// Returns the rank of this engine in its pool, and the number of engines in the pool.
    fn rank(&self) -> (usize, usize) {
        let own = self.slot.settings.peers;
        let members = self.slot.members.borrow();
        let score_of = |it: &SocketAddr| score(u64::MAX, address_hash(it));
        let rank = members.keys().filter(|it| score_of(it) > score_of(&own)).count();
        (rank, members.len())
    }

    async fn switch(
        &mut self,
        pool: &OwnPool,
        serves: Option<WeightsVersion>,
        piece_store: &PieceStore,
    ) {
        // Nothing else may be staged between the check of the pieces and the order to load them.
        let slot = self.slot.clone();
        let _staging = slot.staging_lock.lock().await;
        let checked = clock::now();
        if !self.stage_all(piece_store).await {
            return;
        }
        let started = Instant::now();
        let Some(report) = self.drain(pool, serves).await else { return };
        if clock::elapsed(checked) > MAX_CHECK_AGE {
            log::info!("slot: the check of the staged pieces is too old, checking again");
            return;
        }
        let n_unfinished = report.n_unfinished();
        let order = self.slot.engine.load_staged(
            &pool.model,
            piece_store.version,
            SwitchMode::Abort,
            report.n_orders,
        );
        match order.await {
            Ok(outcome) => log::info!(
                "slot: ordered the engine to load version={} outcome={outcome:?} \
                 cut={n_unfinished} drained_ms={}",
                piece_store.version,
                started.elapsed().as_millis()
            ),
            // The engine may have accepted the order; its next report shows whether it did.
            Err(err) => {
                log::warn!(
                    "slot: no confirmation of the order to load weights version={} error=\"{err}\"",
                    piece_store.version
                );
            }
        }
    }

    /// Notifies entry hosts to stop sending requests and waits until most of the running ones have
    /// ended.
    ///
    /// Returns the engine's last report, or `None` if the engine does not respond.
    async fn drain(
        &mut self,
        pool: &OwnPool,
        serves: Option<WeightsVersion>,
    ) -> Option<EngineReport> {
        let started = Instant::now();
        loop {
            let report = self.read_report().await?;
            if serves.is_none() {
                return Some(report);
            }
            self.notify_entry_hosts(pool, &report, None).await;
            let is_drained = report.n_unfinished() <= MAX_CUT_REQUESTS;
            if started.elapsed() >= MAX_DRAIN_TIME
                || (is_drained && started.elapsed() >= NOTICE_TIME)
            {
                return Some(report);
            }
            runtime::sleep(SWITCH_POLL_INTERVAL).await;
        }
    }

    /// Stages every piece that is not staged correctly, just before the order to load them; returns
    /// `false` if that fails.
    async fn stage_all(&self, piece_store: &PieceStore) -> bool {
        for number in 0..piece_store.manifest.n_pieces() {
            if let Err(err) = self.ensure_staged(piece_store, number).await {
                log::warn!("weights: failed to stage a piece number={number} error=\"{err}\"");
                return false;
            }
        }
        true
    }

    async fn ensure_staged(
        &self,
        piece_store: &PieceStore,
        number: u32,
    ) -> Result<(), EngineError> {
        let model = &piece_store.model;
        if let Ok(bytes) = self.slot.engine.read_staged_piece(model, number).await {
            if piece_store.manifest.matches(number, &bytes) {
                return Ok(());
            }
            log::info!("weights: replacing a staged piece with a wrong digest number={number}");
        }
        let piece = piece_store.get(number).unwrap_or_default();
        self.slot.engine.stage_piece(model, number, &piece).await
    }

    /// Notifies entry hosts of the version that the engine serves when it has changed, and once
    /// more in case a datagram was lost.
    async fn notify_entry_hosts(
        &mut self,
        pool: &OwnPool,
        report: &EngineReport,
        serves: Option<WeightsVersion>,
    ) {
        let notice = EngineNotice {
            engine: self.slot.engine_settings.address,
            started_ms: report.started_ms,
            n_orders: report.n_orders,
            model: pool.model.clone(),
            serves,
        };
        if self.last_notice.as_ref() != Some(&notice) {
            self.n_notices = 0;
        }
        if self.n_notices >= MAX_NOTICES {
            return;
        }
        self.n_notices += 1;
        let targets = self.slot.entry_hosts.borrow().clone();
        self.slot.send(&targets, &PeerMessage::EngineNotice(notice.clone())).await;
        self.last_notice = Some(notice);
    }
}

fn complete_version(report: &EngineReport, pool: &OwnPool) -> Option<WeightsVersion> {
    let is_complete = |it: &&crate::routing::LoadedLayers| {
        it.model == pool.model && it.first_layer == 0 && it.end_layer >= pool.engine_spec.n_layers
    };
    report.weights.iter().find(is_complete).map(|it| it.version)
}
