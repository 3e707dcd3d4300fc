//! Counts the charters and versions that reached every live host within their time limits.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    charter::{self, Charter},
    ids::{HostId, PoolId},
    membership::{self, HostRole, HostState, MemberRecord},
    node::Node,
    report::{convergence::Convergence, level::Level},
    rollout::{PoolDocument, WeightsTarget},
    runtime,
};

/// Pause between two polls of the membership; measured times are exact to this interval.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Measures how long new charters and new targets of pools take to reach all live hosts.
///
/// It runs on an entry host and counts each result against the service levels of the charter.
#[derive(Debug)]
pub struct ConvergenceWatch {
    node: Arc<Node>,
    started: Instant,
    charter: Convergence,
    pools: BTreeMap<PoolId, PoolConvergence>,
}

/// Convergence of one pool's target; targets are numbered in the order in which they appear.
#[derive(Debug, Default)]
struct PoolConvergence {
    target: Option<WeightsTarget>,
    n_targets: u64,
    convergence: Convergence,
}

impl ConvergenceWatch {
    /// Measures until the task is dropped.
    pub async fn run(node: Arc<Node>) {
        let mut watch = ConvergenceWatch {
            node,
            started: Instant::now(),
            charter: Convergence::default(),
            pools: BTreeMap::new(),
        };
        loop {
            watch.poll().await;
            runtime::sleep(POLL_INTERVAL).await;
        }
    }

    async fn poll(&mut self) {
        let Some(charter) = self.node.documents.charter() else { return };
        if self.should_measure_charter() && self.charter.is_waiting(charter.number) {
            self.poll_charter(&charter).await;
        }
        let now = self.started.elapsed();
        let live = self.node.membership.live();
        let limit = charter.service_levels.time_to_all_s;
        for pool in charter.pools.keys().filter_map(|it| self.node.documents.pool(it)) {
            let convergence = self.pools.entry(pool.pool.clone()).or_default();
            for duration in convergence.observe(now, &pool, &live, limit) {
                self.node.request_history.record_event(Level::TimeToAll, duration, limit);
            }
        }
    }

    /// Returns `true` if this entry host measures charters.
    ///
    /// Only one does, because it requests the status of all others: if every entry host did, the
    /// number of calls would grow with the square of the number of entry hosts.
    fn should_measure_charter(&self) -> bool {
        let live = self.node.membership.live();
        let entry_hosts = live.iter().filter(|it| it.role == HostRole::Entry);
        let ids: Vec<HostId> = entry_hosts.map(|it| it.host.clone()).collect();
        membership::rank("convergence/charter", &ids).first() == Some(&self.node.settings.host.id)
    }

    /// Requests the charter status of the entry hosts and counts the charters that are in force
    /// everywhere.
    ///
    /// This is done only while a charter is pending, because it sends requests to other hosts.
    async fn poll_charter(&mut self, charter: &Charter) {
        let status = charter::charter_status(&self.node).await;
        let live = self.node.membership.live();
        let numbers = live.iter().map(|it| status.number_on(&it.host));
        let lowest_in_force = numbers.min().unwrap_or(status.number);
        let limit = charter.service_levels.charter_in_force_s;
        let now = self.started.elapsed();
        for duration in self.charter.observe(now, charter.number, lowest_in_force, limit) {
            self.node.request_history.record_event(Level::CharterInForce, duration, limit);
        }
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
        let intended = pool.target.as_ref().or(pool.serving.as_ref());
        if self.target.as_ref() != intended {
            self.target = intended.cloned();
            self.n_targets += 1;
        }
        let Some(intended) = intended else { return Vec::new() };
        let is_loaded_everywhere = live
            .iter()
            .filter(|it| it.role == HostRole::Engine(pool.pool.clone()))
            .filter(|it| it.state == HostState::Live)
            .all(|it| it.weights.loaded == Some(intended.manifest_digest));
        let lowest_in_force =
            if is_loaded_everywhere { self.n_targets } else { self.n_targets - 1 };
        self.convergence.observe(now, self.n_targets, lowest_in_force, limit)
    }
}
