//! Brings the engine to the target version: fetch, stage, check, order, and tell entry hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;
use futures_lite::FutureExt;

use crate::{
    fleet::{EngineNotice, PeerMessage},
    ids::WeightsVersion,
    platform::engine_api::{EngineError, EngineReport, SwitchMode},
    runtime,
    slot::{
        fallback_delay, piece_fetch,
        piece_ranks::address_hash,
        slot_state::{PoolFacts, SlotState},
        switch_delay, Shelf,
    },
    weights::rank::score,
};

/// Pause between two looks at an engine that serves its target.
const CALM_INTERVAL: Duration = Duration::from_millis(1000);
/// Pause between two looks at an engine that is to change.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Time that entry hosts get to stop sending before an engine is ordered to switch.
const NOTICE_TIME: Duration = Duration::from_millis(60);
/// Longest time for which an engine finishes what runs; the rest goes on at other engines.
const MAX_DRAIN: Duration = Duration::from_millis(1700);
/// Requests that are cut off without waiting for their end.
const DRAINED_REQUESTS: u32 = 1;
/// Times that entry hosts are told of a change.
const MAX_NOTICES: u32 = 2;
/// Time without a new piece after which a version can't be had for now.
const STALL_TIME: Duration = Duration::from_millis(700);
/// Versions whose pieces are fetched and kept.
pub(crate) const KEPT_VERSIONS: WeightsVersion = 2;

/// Drives the engine until the task is dropped.
pub(crate) struct Switcher {
    slot: Rc<SlotState>,
    fetches: BTreeMap<WeightsVersion, Task<()>>,
    /// What entry hosts were told last.
    told: Option<EngineNotice>,
    /// How often they were told that.
    n_told: u32,
    is_engine_up: bool,
}

impl Switcher {
    /// Makes a driver.
    pub(crate) fn new(slot: Rc<SlotState>) -> Switcher {
        Switcher { slot, fetches: BTreeMap::new(), told: None, n_told: 0, is_engine_up: false }
    }

    /// Looks at the engine again and again.
    pub(crate) async fn run(mut self) {
        loop {
            let listener = self.slot.changed.listen();
            let interval = self.look().await;
            listener.or(runtime::sleep(interval)).await;
            runtime::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn look(&mut self) -> Duration {
        let Some(pool) = self.slot.pool.borrow().clone() else { return BUSY_INTERVAL };
        let target = self.slot.versions.borrow().newest(&pool.model);
        self.fetch_if_due(&pool, target);
        let Some(report) = self.read_report().await else { return BUSY_INTERVAL };
        let serves = whole_version(&report, &pool);
        if report.is_busy {
            self.tell(&pool, &report, None).await;
            return BUSY_INTERVAL;
        }
        self.tell(&pool, &report, serves).await;
        if serves == Some(target) {
            return CALM_INTERVAL;
        }
        if let Some(shelf) = self.shelf_to_load(&pool, target, serves) {
            self.switch(&pool, serves, &shelf).await;
        }
        BUSY_INTERVAL
    }

    /// Reads the engine's state; logs when the engine stops or begins to answer.
    async fn read_report(&mut self) -> Option<EngineReport> {
        let res = self.slot.engine.report().await;
        if res.is_ok() != self.is_engine_up {
            self.is_engine_up = res.is_ok();
            match &res {
                Ok(report) => log::info!("slot: engine up started_ms={}", report.started_ms),
                Err(err) => log::info!("slot: engine does not report error=\"{err}\""),
            }
        }
        res.ok()
    }

    /// Fetches the target; the fetch of the version before it goes on.
    fn fetch_if_due(&mut self, pool: &PoolFacts, target: WeightsVersion) {
        if self.fetches.contains_key(&target) {
            return;
        }
        log::info!("weights: fetching model={} version={target}", pool.model);
        let oldest = (target + 1).saturating_sub(KEPT_VERSIONS);
        let may_be_staged = self.fetches.is_empty();
        self.fetches.retain(|it, _| *it >= oldest);
        self.slot.forget_before(oldest);
        let fetch =
            piece_fetch::fetch(self.slot.clone(), pool.model.clone(), target, may_be_staged);
        self.fetches.insert(target, runtime::spawn_local(fetch));
    }

    /// The weights to load now: those of the target, or an earlier version while it can't be had.
    fn shelf_to_load(
        &self,
        pool: &PoolFacts,
        target: WeightsVersion,
        serves: Option<WeightsVersion>,
    ) -> Option<Shelf> {
        let bound = self.slot.settings.bounds.version;
        let versions = self.slot.versions.borrow();
        let outdated = versions.outdated_since(&pool.model, serves.unwrap_or(0));
        let outdated_for = outdated.map_or(Duration::MAX, |it| it.elapsed());
        let is_turn = |delay: Duration| serves.is_none() || outdated_for >= delay;
        let (rank, n_engines) = self.rank();
        let shelves = self.slot.shelves.borrow();
        let newest = shelves.get(&target);
        if let Some(shelf) = newest.filter(|it| it.is_whole()) {
            return is_turn(switch_delay(rank, n_engines, bound)).then(|| shelf.clone());
        }
        // While the newest pieces still come, one switch is better than two.
        if newest.is_some_and(|it| it.idle_time() < STALL_TIME) {
            return None;
        }
        let oldest = versions.oldest_allowed(&pool.model, Instant::now());
        let is_better = |it: &&Shelf| it.version >= oldest && Some(it.version) > serves;
        let earlier = shelves.values().rev().find(|it| it.is_whole()).filter(is_better);
        earlier.filter(|_| is_turn(fallback_delay(rank, n_engines, bound))).cloned()
    }

    /// Place of this engine among those of its pool, and their number.
    fn rank(&self) -> (usize, usize) {
        let own = self.slot.settings.peers;
        let members = self.slot.members.borrow();
        let score_of = |it: &SocketAddr| score(u64::MAX, address_hash(it));
        let rank = members.keys().filter(|it| score_of(it) > score_of(&own)).count();
        (rank, members.len())
    }

    async fn switch(&mut self, pool: &PoolFacts, serves: Option<WeightsVersion>, shelf: &Shelf) {
        // Nothing else may be staged between the check and the order.
        let slot = self.slot.clone();
        let _staging = slot.staging.lock().await;
        if !self.stage_all(shelf).await {
            return;
        }
        let since = Instant::now();
        let Some(report) = self.drain(pool, serves).await else { return };
        let left = report.n_running + report.n_queued;
        let order = self.slot.engine.load_staged(
            &pool.model,
            shelf.version,
            SwitchMode::Cut,
            report.n_orders,
        );
        match order.await {
            Ok(outcome) => log::info!(
                "slot: ordered version={} outcome={outcome:?} cut={left} drained_ms={}",
                shelf.version,
                since.elapsed().as_millis()
            ),
            // The next report tells whether the order was accepted.
            Err(err) => {
                log::warn!("slot: order not answered version={} error=\"{err}\"", shelf.version);
            }
        }
    }

    /// Has entry hosts stop sending and waits until most of what runs has ended.
    async fn drain(
        &mut self,
        pool: &PoolFacts,
        serves: Option<WeightsVersion>,
    ) -> Option<EngineReport> {
        let since = Instant::now();
        loop {
            let report = self.read_report().await?;
            if serves.is_none() {
                return Some(report);
            }
            self.tell(pool, &report, None).await;
            let is_drained = report.n_running + report.n_queued <= DRAINED_REQUESTS;
            if since.elapsed() >= MAX_DRAIN || (is_drained && since.elapsed() >= NOTICE_TIME) {
                return Some(report);
            }
            runtime::sleep(BUSY_INTERVAL).await;
        }
    }

    /// Makes sure that every staged piece is right just before the order.
    async fn stage_all(&self, shelf: &Shelf) -> bool {
        for number in 0..shelf.manifest.n_pieces() {
            if let Err(err) = self.restage(shelf, number).await {
                log::warn!("weights: piece not staged number={number} error=\"{err}\"");
                return false;
            }
        }
        true
    }

    async fn restage(&self, shelf: &Shelf, number: u32) -> Result<(), EngineError> {
        let model = &shelf.model;
        if let Ok(bytes) = self.slot.engine.staged_piece(model, number).await {
            if shelf.manifest.matches(number, &bytes) {
                return Ok(());
            }
            log::info!("weights: staged piece is wrong number={number}");
        }
        let piece = shelf.get(number).unwrap_or_default();
        self.slot.engine.stage(model, number, &piece).await
    }

    /// Tells entry hosts what the engine serves, when that has changed, and once more in case a
    /// datagram was lost.
    async fn tell(
        &mut self,
        pool: &PoolFacts,
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
        if self.told.as_ref() != Some(&notice) {
            self.n_told = 0;
        }
        if self.n_told >= MAX_NOTICES {
            return;
        }
        self.n_told += 1;
        let targets = self.slot.entry_hosts.borrow().clone();
        self.slot.send(&targets, &PeerMessage::EngineNotice(notice.clone())).await;
        self.told = Some(notice);
    }
}

fn whole_version(report: &EngineReport, pool: &PoolFacts) -> Option<WeightsVersion> {
    let is_whole = |it: &&crate::routing::LoadedLayers| {
        it.model == pool.model && it.first_layer == 0 && it.end_layer >= pool.figures.n_layers
    };
    report.weights.iter().find(is_whole).map(|it| it.version)
}
