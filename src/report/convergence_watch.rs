//! Counts charters and versions that came into force in time on every host.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    charter::charter_status,
    ids::{DocumentNumber, PoolId},
    membership::{HostRole, HostState, MemberRecord},
    node::Node,
    report::{convergence::Convergence, level::Level},
    rollout::{PoolDocument, WeightsTarget},
    runtime,
};

/// Pause between two looks at the membership; the measured times are as exact.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the charter and the target of each pool from one entry host.
#[derive(Debug)]
pub struct ConvergenceWatch {
    node: Arc<Node>,
    started: Instant,
    charter: Convergence,
    pools: BTreeMap<PoolId, PoolConvergence>,
}

#[derive(Debug, Default)]
struct PoolConvergence {
    target: Option<WeightsTarget>,
    n_targets: u64,
    convergence: Convergence,
}

impl ConvergenceWatch {
    /// Looks until the task is dropped.
    pub async fn run(node: Arc<Node>) {
        let mut watch = ConvergenceWatch {
            node,
            started: Instant::now(),
            charter: Convergence::default(),
            pools: BTreeMap::new(),
        };
        loop {
            watch.look().await;
            runtime::sleep(LOOK_INTERVAL).await;
        }
    }

    async fn look(&mut self) {
        let Some(charter) = self.node.documents.charter() else { return };
        let now = self.started.elapsed();
        let live = self.node.membership.live();
        let limit = charter.service_levels.charter_in_force_s;
        let lowest = self.lowest_in_force(charter.number, &live).await;
        for took in self.charter.observe(now, charter.number, lowest, limit) {
            self.node.accounts.record_event(Level::CharterInForce, took, limit);
        }
        let limit = charter.service_levels.time_to_all_s;
        for pool in charter.pools.keys().filter_map(|it| self.node.documents.pool(it)) {
            let followed = self.pools.entry(pool.pool.clone()).or_default();
            for took in followed.observe(now, &pool, &live, limit) {
                self.node.accounts.record_event(Level::TimeToAll, took, limit);
            }
        }
    }
}

impl ConvergenceWatch {
    /// Lowest charter number on any live host; asks the entry hosts only while it is waited for.
    async fn lowest_in_force(
        &self,
        number: DocumentNumber,
        live: &[Arc<MemberRecord>],
    ) -> DocumentNumber {
        if !self.charter.is_waiting(number) {
            return number;
        }
        let status = charter_status(&self.node).await;
        let is_live = |host: &str| live.iter().any(|it| it.host == host);
        let behind = status.behind.iter().filter(|it| is_live(&it.host));
        behind.map(|it| it.charter_number).min().unwrap_or(number)
    }
}

impl PoolConvergence {
    fn observe(
        &mut self,
        now: Duration,
        pool: &PoolDocument,
        live: &[Arc<MemberRecord>],
        limit: Duration,
    ) -> Vec<Duration> {
        let wanted = pool.target.as_ref().or(pool.serving.as_ref());
        if self.target.as_ref() != wanted {
            self.target = wanted.cloned();
            self.n_targets += 1;
        }
        let Some(wanted) = wanted else { return Vec::new() };
        let is_everywhere = live
            .iter()
            .filter(|it| it.role == HostRole::Engine(pool.pool.clone()))
            .filter(|it| it.state == HostState::Live)
            .all(|it| it.weights.loaded == Some(wanted.manifest_digest));
        let lowest = if is_everywhere { self.n_targets } else { self.n_targets - 1 };
        self.convergence.observe(now, self.n_targets, lowest, limit)
    }
}
