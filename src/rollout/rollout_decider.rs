//! Takes the steps of every pool's rollout on an entry host, by conditional update.
//!
//! Every entry host runs a decider. The first by rendezvous hash acts at once, the next ones after
//! a delay; the conditional update lets one of them win.

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

/// Pause between two looks at the pools when nothing changes.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after which the next decider by rank acts.
const DELAY_PER_RANK: Duration = Duration::from_secs(2);
/// Time after its start in which a decider only learns who takes part.
const START_DELAY: Duration = Duration::from_secs(3);

quick_error! {
    /// Why a step was not taken.
    #[derive(Debug)]
    pub enum DecideError {
        /// The platform did not take the update.
        Platform(err: PlatformError) {
            source(err)
            from()
            display("{err}")
        }
        /// The version could not be read from the origin.
        Resolve(err: ResolveError) {
            source(err)
            from()
            display("{err}")
        }
        /// The object at the platform is not a pool document.
        Malformed(err: serde_json::Error) {
            source(err)
            from()
            display("the pool document can't be read: {err}")
        }
    }
}

/// Decider of one entry host.
pub struct RolloutDecider {
    node: Arc<Node>,
    resolved: HashMap<PoolId, WeightsTarget>,
    pending: HashMap<PoolId, PendingStep>,
    started: Instant,
}

/// Since when a step has been due after the document with `number`.
#[derive(Clone, Copy, Debug)]
struct PendingStep {
    number: DocumentNumber,
    since: Instant,
}

impl RolloutDecider {
    /// Prepares the decider.
    pub fn new(node: Arc<Node>) -> RolloutDecider {
        RolloutDecider {
            node,
            resolved: HashMap::new(),
            pending: HashMap::new(),
            started: Instant::now(),
        }
    }

    /// Decides until the task is dropped.
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

    /// Acknowledges the coming switch of each pool.
    fn acknowledge(&self, charter: &Charter) {
        let documents = charter.pools.keys().filter_map(|it| self.node.documents.pool(it));
        let preparing = documents.filter(|it| matches!(it.step, RolloutStep::Prepare { .. }));
        let preparing: Vec<_> = preparing.collect();
        self.node.membership.update_own(|own| {
            for pool in &preparing {
                own.weights.prepare(&pool.pool, pool.switch_number + 1);
            }
        });
    }

    async fn decide_all(&mut self, charter: &Charter) {
        for (pool, spec) in &charter.pools {
            if let Err(err) = self.decide(pool, spec).await {
                log::warn!("rollout: step not taken pool={pool} error=\"{err}\"");
            }
        }
    }

    async fn decide(&mut self, pool: &str, spec: &PoolSpec) -> Result<(), DecideError> {
        if self.started.elapsed() < START_DELAY {
            return Ok(());
        }
        let Some(rank) = self.own_rank(pool) else { return Ok(()) };
        let local = self.node.documents.pool(pool);
        let needs_target = local.as_ref().and_then(|it| it.target.as_ref()).map(|it| &it.version)
            != Some(&spec.version);
        let number = local.as_ref().map_or(0, |it| it.number);
        if needs_target && !self.has_rank_delay_passed(pool, number, rank) {
            return Ok(());
        }
        let intended = self.intended_target(pool, spec, local.as_deref()).await?;
        let members = self.members();
        let view = PoolView { pool, spec, intended: &intended, members: &members };
        if next_step(view, local.as_deref()).is_none() {
            self.pending.remove(pool);
            return Ok(());
        }
        if !self.has_rank_delay_passed(pool, number, rank) {
            return Ok(());
        }
        self.take_step(view).await
    }

    /// Reads the platform's document, decides on it and writes the result conditionally.
    async fn take_step(&mut self, view: PoolView<'_>) -> Result<(), DecideError> {
        let name = object_name(view.pool);
        let object = self.node.platform.get(&name).await?;
        let current = parse_pool_document(object.as_ref())?;
        let next = match next_step(view, current.as_ref()) {
            Some(next) => next,
            None => {
                self.offer(current);
                return Ok(());
            }
        };
        let precondition =
            object.as_ref().map_or(Precondition::Absent, |it| Precondition::Revision(it.revision));
        let value = serde_json::to_vec(&next)?;
        self.node.platform.put(&name, &value, precondition).await?;
        log::info!(
            "rollout: step taken pool={} number={} switch={} step={:?}",
            next.pool,
            next.number,
            next.switch_number,
            next.step
        );
        self.offer(Some(next));
        Ok(())
    }

    fn offer(&self, pool: Option<PoolDocument>) {
        let Some(pool) = pool else { return };
        let Ok(json) = serde_json::to_vec(&pool) else { return };
        let name = DocumentName::Pool(pool.pool.clone());
        let document = Document { name, number: pool.number, json: json.into() };
        if let Err(err) = self.node.documents.offer(document.clone()) {
            log::warn!("rollout: document refused error=\"{err}\"");
        }
        let node = self.node.clone();
        runtime::spawn(async move { charter::push_document(&node, document).await }).detach();
    }

    async fn intended_target(
        &mut self,
        pool: &str,
        spec: &PoolSpec,
        local: Option<&PoolDocument>,
    ) -> Result<WeightsTarget, DecideError> {
        let targets = local.iter().flat_map(|it| it.target.iter().chain(&it.serving));
        let known = targets.chain(self.resolved.get(pool)).find(|it| it.version == spec.version);
        if let Some(target) = known {
            return Ok(target.clone());
        }
        let target = weights::resolve_target(&self.node, &spec.version).await?;
        self.resolved.insert(pool.to_owned(), target.clone());
        Ok(target)
    }

    /// Whether the delay of this decider's rank has passed since the step was first due.
    fn has_rank_delay_passed(&mut self, pool: &str, number: DocumentNumber, rank: usize) -> bool {
        let now = PendingStep { number, since: Instant::now() };
        let pending = self.pending.entry(pool.to_owned()).or_insert(now);
        if pending.number != number {
            *pending = now;
        }
        pending.since.elapsed() >= DELAY_PER_RANK * rank as u32
    }

    /// Position of this host among the live entry hosts that decide about `pool`.
    fn own_rank(&self, pool: &str) -> Option<usize> {
        let own = &self.node.settings.host.id;
        let records = self.node.membership.records();
        let is_entry =
            |it: &&Arc<MemberRecord>| it.role == HostRole::Entry && it.state == HostState::Live;
        let hosts: Vec<HostId> =
            records.iter().filter(is_entry).map(|it| it.host.clone()).collect();
        let decision = format!("pools/{pool}");
        rank(&decision, &hosts).iter().position(|it| it == own)
    }

    fn members(&self) -> Vec<MemberRecord> {
        self.node.membership.records().iter().map(|it| (**it).clone()).collect()
    }
}

/// Name of a pool's object at the platform.
pub fn object_name(pool: &str) -> String {
    format!("pools/{pool}")
}

fn parse_pool_document(object: Option<&Object>) -> Result<Option<PoolDocument>, serde_json::Error> {
    object.map(|it| serde_json::from_slice(&it.value)).transpose()
}
