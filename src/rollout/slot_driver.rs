//! Brings one slot and its engine to the intent of the pool document.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    digest::Digest,
    engine::{EngineClient, EngineError, EngineState, LoadOrder},
    membership::HostState,
    node::Node,
    rollout::{
        pool_document::{PoolDocument, WeightsTarget},
        serving_state::ServingState,
        slot_intent::{may_prepare, slot_intent, SlotIntent},
    },
    runtime,
    weights::WeightsStage,
};

/// Longest pause between two looks at the documents.
const TICK: Duration = Duration::from_millis(500);
/// Pause between two questions to the engine about what it has loaded.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed order.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for requests in progress before the documents are read again.
const DRAIN_SLICE: Duration = Duration::from_millis(250);
/// Low bits of a fencing number, which count the orders under one pool document.
const ORDER_COUNT_BITS: u32 = 16;

/// Drives the engine behind one slot; the only sender of orders to it.
pub struct SlotDriver {
    node: Arc<Node>,
    weights: Arc<WeightsStage>,
    serving: Arc<ServingState>,
    engine: EngineClient,
    pool: String,
    n_orders: u64,
    loaded: Option<Digest>,
    checked_at: Option<Instant>,
}

impl SlotDriver {
    /// Prepares the driver of the engine of `pool`; nothing is ordered yet.
    pub fn new(
        node: Arc<Node>,
        weights: Arc<WeightsStage>,
        serving: Arc<ServingState>,
        engine: EngineClient,
        pool: &str,
    ) -> SlotDriver {
        SlotDriver {
            node,
            weights,
            serving,
            engine,
            pool: pool.to_owned(),
            n_orders: 0,
            loaded: None,
            checked_at: None,
        }
    }

    /// Follows the documents until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let documents = self.node.documents.listen();
            let weights = self.weights.listen();
            let members = self.node.membership.listen();
            if let Some(pool) = self.node.documents.pool(&self.pool) {
                self.follow(&pool).await;
            }
            let changed = async {
                documents.or(weights).or(members).await;
            };
            let _ = runtime::timeout(TICK, changed).await;
        }
    }

    async fn follow(&mut self, pool: &PoolDocument) {
        let intent = slot_intent(pool, &self.node.settings.host.id);
        self.weights.set_targets(intent.hold.clone());
        self.check_engine(pool).await;
        let wanted = intent.load.as_ref().map(|it| it.manifest_digest);
        if !self.may_serve() {
            self.serving.close();
        }
        if wanted.is_none() || self.loaded != wanted {
            self.serving.close_at(pool.switch_number);
        }
        if let Some(target) = intent.load.clone().filter(|_| self.loaded != wanted) {
            self.load(pool, &target).await;
        }
        if self.node.documents.pool(&self.pool).as_deref() != Some(pool) {
            return;
        }
        self.serve(pool, &intent);
        self.acknowledge(pool, &intent);
    }

    fn serve(&self, pool: &PoolDocument, intent: &SlotIntent) {
        if !intent.is_serving {
            self.serving.close_at(pool.switch_number);
        }
        let Some(target) = &intent.load else { return };
        if self.loaded != Some(target.manifest_digest) || !self.may_serve() {
            return;
        }
        match intent.prepare.filter(|_| !intent.is_serving) {
            Some(number) => self.serving.prepare(&target.version, number),
            None if intent.is_serving => self.serving.open(&target.version, pool.switch_number),
            None => {}
        }
    }

    fn acknowledge(&self, pool: &PoolDocument, intent: &SlotIntent) {
        let loaded = self.loaded;
        let prepare = intent.prepare.filter(|_| may_prepare(intent, loaded));
        self.node.membership.update_own(|it| {
            it.weights.loaded = loaded;
            it.weights.switch_number = pool.switch_number;
            if let Some(number) = prepare {
                it.weights.prepare(&pool.pool, number);
            }
        });
    }

    fn may_serve(&self) -> bool {
        self.node.membership.own().state != HostState::Leaving
    }

    /// Reads back what the engine has loaded, so that a restarted engine gets its order again.
    async fn check_engine(&mut self, pool: &PoolDocument) {
        if self.checked_at.is_some_and(|it| it.elapsed() < ENGINE_CHECK_INTERVAL) {
            return;
        }
        self.checked_at = Some(Instant::now());
        match self.engine.state().await {
            Ok(state) => self.loaded = self.recognise(pool, &state),
            Err(err) => {
                log::warn!("engine: state not read error=\"{err}\"");
                self.loaded = None;
            }
        }
    }

    /// The manifest digest of the weights that the engine reports, among those of `pool`.
    fn recognise(&self, pool: &PoolDocument, state: &EngineState) -> Option<Digest> {
        let targets = pool.serving.iter().chain(&pool.target);
        let mut verified = targets.filter_map(|it| self.weights.verified(&it.manifest_digest));
        let reported = state.content_digest?;
        let weights = verified.find(|it| {
            let manifest = it.manifest();
            manifest.content_digest == reported && state.version.as_ref() == Some(&manifest.version)
        })?;
        Some(Digest::of(&weights.manifest().to_json()))
    }

    async fn load(&mut self, pool: &PoolDocument, target: &WeightsTarget) {
        let Some(weights) = self.weights.verified(&target.manifest_digest) else { return };
        if self.serving.wait_until_idle(DRAIN_SLICE).await.is_err() {
            return;
        }
        if self.node.documents.pool(&self.pool).as_deref() != Some(pool) {
            return;
        }
        self.loaded = None;
        let order = self.order(pool, target, weights.manifest().content_digest);
        match self.order_load(&order).await {
            Ok(engine_digest) => match weights.loaded(engine_digest) {
                Ok(_) => self.loaded = Some(target.manifest_digest),
                Err(err) => log::warn!("engine: other weights loaded error=\"{err}\""),
            },
            Err(err) => {
                log::warn!("engine: load failed version={} error=\"{err}\"", target.version);
                runtime::sleep(ORDER_RETRY_DELAY).await;
            }
        }
        self.checked_at = Some(Instant::now());
    }

    fn order(&mut self, pool: &PoolDocument, target: &WeightsTarget, content: Digest) -> LoadOrder {
        self.n_orders += 1;
        let address = self.node.settings.listen.request;
        LoadOrder {
            version: target.version.clone(),
            url: format!("http://{address}/weights/{}", target.manifest_digest),
            content_digest: content,
            fencing: (pool.number << ORDER_COUNT_BITS) + self.n_orders,
        }
    }

    /// Orders, then asks what the engine really has, because it may have taken another's order.
    async fn order_load(&self, order: &LoadOrder) -> Result<Digest, EngineError> {
        self.engine.load(order).await?;
        let state = self.engine.state().await?;
        state.content_digest.ok_or(EngineError::NothingLoaded)
    }
}
