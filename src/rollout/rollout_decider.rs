//! Decides on the steps of all rollouts and writes them to the platform by conditional update.
//!
//! Every entry host runs a decider. The first host by rendezvous hash acts at once, and each
//! following host after a further delay. If several act, the conditional update succeeds for only
//! one of them.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use quick_error::quick_error;

use crate::{
    charter::{self, Charter, PoolSpec},
    ids::{DocumentNumber, HostId, PoolId},
    membership::{rank, HostRole, HostState, MemberRecord},
    node::Node,
    objects::{Object, PlatformError, Precondition},
    peer::{Document, DocumentName},
    rollout::{
        next_step::{next_step, PoolView},
        pool_document::{PoolDocument, RolloutStep, WeightsTarget},
    },
    runtime,
    weights::{self, ResolveError},
};

/// Longest pause between two checks of the pools.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Additional delay for each rank before a decider acts.
const DELAY_PER_RANK: Duration = Duration::from_secs(2);
/// Time after the start in which a decider takes no step, while its member table fills.
const START_DELAY: Duration = Duration::from_secs(3);

quick_error! {
    /// The reason why a rollout step was not taken.
    #[derive(Debug)]
    pub enum DecideError {
        /// The call to the platform failed or its update was refused.
        Platform(err: PlatformError) {
            source(err)
            from()
            display("{err}")
        }
        /// The version could not be resolved at the origin.
        Resolve(err: ResolveError) {
            source(err)
            from()
            display("{err}")
        }
        /// The object at the platform is not a valid pool document.
        Malformed(err: serde_json::Error) {
            source(err)
            from()
            display("the pool document at the platform is not valid; correct it: {err}")
        }
    }
}

/// A task that advances the rollouts of all pools from one entry host.
pub struct RolloutDecider {
    node: Arc<Node>,
    resolved: HashMap<PoolId, WeightsTarget>,
    pending: HashMap<PoolId, PendingStep>,
    started: Instant,
}

/// The time since which the step after the document with `number` has been pending.
#[derive(Clone, Copy, Debug)]
struct PendingStep {
    number: DocumentNumber,
    since: Instant,
}

impl RolloutDecider {
    /// Creates a decider; it takes no step before `run`.
    pub fn new(node: Arc<Node>) -> RolloutDecider {
        RolloutDecider {
            node,
            resolved: HashMap::new(),
            pending: HashMap::new(),
            started: Instant::now(),
        }
    }

    /// Takes the pending steps of all pools until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let changed = self.node.documents.listen();
            if let Some(charter) = self.node.documents.charter() {
                self.acknowledge(&charter);
                self.decide_all(&charter).await;
            }
            let _ = runtime::timeout(MAX_POLL_INTERVAL, changed).await;
        }
    }

    /// Acknowledges the next switch of each pool that is in the prepare step.
    fn acknowledge(&self, charter: &Charter) {
        let documents = charter.pools.keys().filter_map(|it| self.node.documents.pool(it));
        let preparing = documents.filter(|it| matches!(it.step, RolloutStep::Prepare { .. }));
        let preparing: Vec<_> = preparing.collect();
        self.node.membership.update_own(|own| {
            for pool in &preparing {
                own.weights.acknowledge(&pool.pool, pool.switch_number + 1);
            }
        });
    }

    async fn decide_all(&mut self, charter: &Charter) {
        for (pool, spec) in &charter.pools {
            if let Err(err) = self.decide(pool, spec).await {
                log::warn!("rollout: failed to take the next step pool={pool} error=\"{err}\"");
            }
        }
    }

    /// Takes the next step of one pool if it is pending and the delay of this host has passed.
    async fn decide(&mut self, pool: &str, spec: &PoolSpec) -> Result<(), DecideError> {
        if self.started.elapsed() < START_DELAY {
            return Ok(());
        }
        let Some(rank) = self.own_rank(pool) else { return Ok(()) };
        let local_document = self.node.documents.pool(pool);
        let needs_target =
            local_document.as_ref().and_then(|it| it.target.as_ref()).map(|it| &it.version)
                != Some(&spec.version);
        let number = local_document.as_ref().map_or(0, |it| it.number);
        if needs_target && !self.has_rank_delay_passed(pool, number, rank) {
            return Ok(());
        }
        let intended = self.intended_target(pool, spec, local_document.as_deref()).await?;
        let members = self.members();
        let view = PoolView { pool, spec, intended: &intended, members: &members };
        if next_step(view, local_document.as_deref()).is_none() {
            self.pending.remove(pool);
            return Ok(());
        }
        if !self.has_rank_delay_passed(pool, number, rank) {
            return Ok(());
        }
        self.take_step(view).await
    }

    /// Reads the pool document from the platform and writes the next one by conditional update.
    async fn take_step(&mut self, view: PoolView<'_>) -> Result<(), DecideError> {
        let name = object_name(view.pool);
        let object = self.node.platform.get(&name).await?;
        let current = parse_pool_document(object.as_ref())?;
        let next = match next_step(view, current.as_ref()) {
            Some(next) => next,
            None => {
                self.apply_and_push(current);
                return Ok(());
            }
        };
        let precondition =
            object.as_ref().map_or(Precondition::Absent, |it| Precondition::Revision(it.revision));
        let value = serde_json::to_vec(&next)?;
        self.node.platform.put(&name, &value, precondition).await?;
        log::info!(
            "rollout: took a step pool={} number={} switch={} step={:?}",
            next.pool,
            next.number,
            next.switch_number,
            next.step
        );
        self.apply_and_push(Some(next));
        Ok(())
    }

    /// Applies a pool document in this process and pushes it to others.
    fn apply_and_push(&self, pool: Option<PoolDocument>) {
        let Some(pool) = pool else { return };
        let Ok(json) = serde_json::to_vec(&pool) else { return };
        let name = DocumentName::Pool(pool.pool.clone());
        let document = Document { name, number: pool.number, json: json.into() };
        if let Err(err) = self.node.documents.offer(document.clone()) {
            log::warn!("rollout: failed to apply a pool document error=\"{err}\"");
        }
        let node = self.node.clone();
        runtime::spawn(async move { charter::push_document(&node, document).await }).detach();
    }

    async fn intended_target(
        &mut self,
        pool: &str,
        spec: &PoolSpec,
        local_document: Option<&PoolDocument>,
    ) -> Result<WeightsTarget, DecideError> {
        let targets = local_document.iter().flat_map(|it| it.target.iter().chain(&it.serving));
        let known = targets.chain(self.resolved.get(pool)).find(|it| it.version == spec.version);
        if let Some(target) = known {
            return Ok(target.clone());
        }
        let target = weights::resolve_target(&self.node, &spec.version).await?;
        self.resolved.insert(pool.to_owned(), target.clone());
        Ok(target)
    }

    /// Returns `true` if the delay of `rank` has passed since the step became pending.
    fn has_rank_delay_passed(&mut self, pool: &str, number: DocumentNumber, rank: usize) -> bool {
        let now = PendingStep { number, since: Instant::now() };
        let pending = self.pending.entry(pool.to_owned()).or_insert(now);
        if pending.number != number {
            *pending = now;
        }
        pending.since.elapsed() >= DELAY_PER_RANK * rank as u32
    }

    /// Returns the rank of this host among the live entry hosts by rendezvous hash of `pool`;
    /// `None` if this host is not one of them.
    fn own_rank(&self, pool: &str) -> Option<usize> {
        let own = &self.node.settings.host.id;
        let records = self.node.membership.records();
        let is_live_entry_host =
            |it: &&Arc<MemberRecord>| it.role == HostRole::Entry && it.state == HostState::Live;
        let hosts: Vec<HostId> =
            records.iter().filter(is_live_entry_host).map(|it| it.host.clone()).collect();
        let decision = format!("pools/{pool}");
        rank(&decision, &hosts).iter().position(|it| it == own)
    }

    fn members(&self) -> Vec<MemberRecord> {
        self.node.membership.records().iter().map(|it| (**it).clone()).collect()
    }
}

/// Returns the name of the platform object that stores the document of `pool`.
pub fn object_name(pool: &str) -> String {
    format!("pools/{pool}")
}

fn parse_pool_document(object: Option<&Object>) -> Result<Option<PoolDocument>, serde_json::Error> {
    object.map(|it| serde_json::from_slice(&it.value)).transpose()
}
