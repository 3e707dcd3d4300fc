//! Brings the engine to the target version: fetch, stage, check, order, and tell entry hosts.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;
use futures_lite::FutureExt;

use crate::{
    fleet::{EngineNotice, PeerMessage},
    ids::WeightsVersion,
    platform::engine_api::{EngineReport, SwitchMode},
    runtime,
    slot::{
        piece_fetch,
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

/// Drives the engine until the task is dropped.
pub(crate) struct Switcher {
    slot: Rc<SlotState>,
    fetch: Option<RunningFetch>,
    /// What entry hosts were told last.
    told: Option<EngineNotice>,
    is_engine_up: bool,
}

struct RunningFetch {
    version: WeightsVersion,
    _task: Task<()>,
}

impl Switcher {
    /// Makes a driver.
    pub(crate) fn new(slot: Rc<SlotState>) -> Switcher {
        Switcher { slot, fetch: None, told: None, is_engine_up: false }
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
        if !self.is_ready(target) || !self.is_turn(&pool, serves) {
            return BUSY_INTERVAL;
        }
        self.switch(&pool, &report, target).await;
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

    fn fetch_if_due(&mut self, pool: &PoolFacts, target: WeightsVersion) {
        if self.fetch.as_ref().is_some_and(|it| it.version == target) {
            return;
        }
        log::info!("weights: fetching model={} version={target}", pool.model);
        *self.slot.shelf.borrow_mut() = None;
        self.slot.holders.borrow_mut().clear();
        let fetch =
            piece_fetch::fetch(self.slot.clone(), pool.model.clone(), target, self.fetch.is_none());
        self.fetch = Some(RunningFetch { version: target, _task: runtime::spawn_local(fetch) });
    }

    fn is_ready(&self, target: WeightsVersion) -> bool {
        let shelf = self.slot.shelf.borrow();
        shelf.as_ref().is_some_and(|it| it.version == target && it.is_whole())
    }

    /// Whether the engine may stop serving now.
    fn is_turn(&self, pool: &PoolFacts, serves: Option<WeightsVersion>) -> bool {
        let Some(version) = serves else { return true };
        let since = self.slot.versions.borrow().outdated_since(&pool.model, version);
        let Some(since) = since else { return true };
        let own = self.slot.settings.peers;
        let members = self.slot.members.borrow();
        let score_of = |it: &SocketAddr| score(u64::MAX, address_hash(it));
        let rank = members.keys().filter(|it| score_of(it) > score_of(&own)).count();
        since.elapsed() >= switch_delay(rank, members.len(), self.slot.settings.bounds.version)
    }

    async fn switch(&mut self, pool: &PoolFacts, report: &EngineReport, target: WeightsVersion) {
        let serves = whole_version(report, pool);
        if serves.is_some() {
            self.tell(pool, report, None).await;
            runtime::sleep(NOTICE_TIME).await;
        }
        if !self.stage_all(&pool.model, target).await {
            return;
        }
        let since = Instant::now();
        let order =
            self.slot.engine.load_staged(&pool.model, target, SwitchMode::Wait, report.n_orders);
        match order.await {
            Ok(outcome) => {
                let took_ms = since.elapsed().as_millis();
                log::info!("slot: ordered version={target} outcome={outcome:?} took_ms={took_ms}");
            }
            // The next report tells whether the order was accepted.
            Err(err) => log::warn!("slot: order not answered version={target} error=\"{err}\""),
        }
    }

    /// Makes sure that every staged piece is right just before the order.
    async fn stage_all(&self, model: &str, target: WeightsVersion) -> bool {
        let Some(shelf) = self.slot.shelf.borrow().clone() else { return false };
        if shelf.version != target {
            return false;
        }
        for number in 0..shelf.manifest.n_pieces() {
            if let Err(err) = self.restage(&shelf, model, number).await {
                log::warn!("weights: piece not staged number={number} error=\"{err}\"");
                return false;
            }
        }
        true
    }

    async fn restage(
        &self,
        shelf: &Shelf,
        model: &str,
        number: u32,
    ) -> Result<(), crate::platform::engine_api::EngineError> {
        if let Ok(bytes) = self.slot.engine.staged_piece(model, number).await {
            if shelf.manifest.matches(number, &bytes) {
                return Ok(());
            }
            log::info!("weights: staged piece is wrong number={number}");
        }
        let piece = shelf.get(number).unwrap_or_default();
        self.slot.engine.stage(model, number, &piece).await
    }

    /// Tells entry hosts what the engine serves, when that has changed.
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
        if self.told.as_ref() == Some(&notice) {
            return;
        }
        let targets = self.slot.entry_hosts.borrow().clone();
        self.slot.send(&targets, &PeerMessage::EngineNotice(notice.clone())).await;
        self.told = Some(notice);
    }
}

fn whole_version(report: &EngineReport, pool: &PoolFacts) -> Option<WeightsVersion> {
    let is_whole = |it: &&crate::routing::HeldWeights| {
        it.model == pool.model && it.first_layer == 0 && it.end_layer >= pool.figures.n_layers
    };
    report.weights.iter().find(is_whole).map(|it| it.version)
}
