//! Drives one slot and its engine to the state that the pool document requires.

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
        slot_intent::{may_acknowledge, slot_intent, SlotIntent},
    },
    runtime,
    weights::WeightsStage,
};

/// Longest pause between two checks of the documents.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the driver reads from the engine which weights it has loaded.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before the driver retries a failed load order.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for requests in progress to finish before the documents are read again.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of low bits of a fencing number that count load orders; the higher bits are the number
/// of the pool document.
const ORDER_COUNT_BITS: u32 = 16;

/// A task that loads weights into the engine of one slot and opens or closes the slot.
///
/// It is the only part of the process that sends load orders to the engine.
pub struct SlotDriver {
    node: Arc<Node>,
    weights: Arc<WeightsStage>,
    serving: Arc<ServingState>,
    engine: EngineClient,
    pool: String,
    n_orders: u64,
    loaded: Option<Digest>,
    engine_checked_at: Option<Instant>,
}

impl SlotDriver {
    /// Creates a driver for an engine of `pool`; it sends no load order before `run`.
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
            engine_checked_at: None,
        }
    }

    /// Applies each change of the documents until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let documents = self.node.documents.listen();
            let weights = self.weights.listen();
            let members = self.node.membership.listen();
            if let Some(pool) = self.node.documents.pool(&self.pool) {
                self.apply_document(&pool).await;
            }
            let changed = async {
                documents.or(weights).or(members).await;
            };
            let _ = runtime::timeout(MAX_POLL_INTERVAL, changed).await;
        }
    }

    async fn apply_document(&mut self, pool: &PoolDocument) {
        let intent = slot_intent(pool, &self.node.settings.host.id);
        self.weights.set_targets(intent.keep.clone());
        self.check_engine(pool).await;
        let desired = intent.load.as_ref().map(|it| it.manifest_digest);
        if !self.may_serve() {
            self.serving.close();
        }
        if desired.is_none() || self.loaded != desired {
            self.serving.close_at(pool.switch_number);
        }
        if let Some(target) = intent.load.clone().filter(|_| self.loaded != desired) {
            self.load(pool, &target).await;
        }
        if self.node.documents.pool(&self.pool).as_deref() != Some(pool) {
            return;
        }
        self.update_serving(pool, &intent);
        self.acknowledge(pool, &intent);
    }

    fn update_serving(&self, pool: &PoolDocument, intent: &SlotIntent) {
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
        let prepare = intent.prepare.filter(|_| may_acknowledge(intent, loaded));
        self.node.membership.update_own(|it| {
            it.weights.loaded = loaded;
            it.weights.switch_number = pool.switch_number;
            if let Some(number) = prepare {
                it.weights.acknowledge(&pool.pool, number);
            }
        });
    }

    fn may_serve(&self) -> bool {
        self.node.membership.own().state != HostState::Leaving
    }

    /// Reads which weights the engine has loaded, so that a restarted engine gets a new load order.
    async fn check_engine(&mut self, pool: &PoolDocument) {
        if self.engine_checked_at.is_some_and(|it| it.elapsed() < ENGINE_CHECK_INTERVAL) {
            return;
        }
        self.engine_checked_at = Some(Instant::now());
        match self.engine.state().await {
            Ok(state) => self.loaded = self.match_reported_weights(pool, &state),
            Err(err) => {
                log::warn!("engine: failed to read the loaded weights error=\"{err}\"");
                self.loaded = None;
            }
        }
    }

    /// Returns the manifest digest of the weights that the engine reports, if they are verified
    /// weights of `pool`.
    fn match_reported_weights(&self, pool: &PoolDocument, state: &EngineState) -> Option<Digest> {
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
        if self.serving.wait_until_idle(DRAIN_CHECK_INTERVAL).await.is_err() {
            return;
        }
        if self.node.documents.pool(&self.pool).as_deref() != Some(pool) {
            return;
        }
        self.loaded = None;
        let order = self.next_order(pool, target, weights.manifest().content_digest);
        match self.order_load(&order).await {
            Ok(engine_digest) => match weights.confirm_loaded(engine_digest) {
                Ok(_) => self.loaded = Some(target.manifest_digest),
                Err(err) => log::warn!(
                    "engine: the loaded weights differ from the ordered ones error=\"{err}\""
                ),
            },
            Err(err) => {
                log::warn!(
                    "engine: failed to load weights version={} error=\"{err}\"",
                    target.version
                );
                runtime::sleep(ORDER_RETRY_DELAY).await;
            }
        }
        self.engine_checked_at = Some(Instant::now());
    }

    fn next_order(
        &mut self,
        pool: &PoolDocument,
        target: &WeightsTarget,
        content: Digest,
    ) -> LoadOrder {
        self.n_orders += 1;
        let address = self.node.settings.listen.request;
        LoadOrder {
            version: target.version.clone(),
            url: format!("http://{address}/weights/{}", target.manifest_digest),
            content_digest: content,
            fencing: (pool.number << ORDER_COUNT_BITS) + self.n_orders,
        }
    }

    /// Sends a load order, then returns the digest of the weights that the engine has loaded.
    ///
    /// The digest is read back because the engine may have executed an order of another sender.
    async fn order_load(&self, order: &LoadOrder) -> Result<Digest, EngineError> {
        self.engine.load(order).await?;
        let state = self.engine.state().await?;
        state.content_digest.ok_or(EngineError::NothingLoaded)
    }
}
