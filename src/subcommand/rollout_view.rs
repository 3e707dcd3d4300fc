//! Progress of the rollout of one pool, summed over its hosts.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;

use crate::{
    ids::{PoolId, VersionId},
    operator::ProcessReport,
    report::MissingHost,
    rollout::{PoolDocument, WeightsTarget},
    subcommand::pools,
    weights::WeightsProgress,
};

/// The progress of a rollout at one time, as `rollout watch --json` prints it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RolloutView {
    /// The pool.
    pub(crate) pool: PoolId,
    /// Target version of the rollout.
    pub(crate) version: VersionId,
    /// Current step of the rollout.
    pub(crate) step: &'static str,
    /// The number of hosts in the pool.
    pub(crate) hosts: usize,
    /// The number of hosts that have stored and verified the complete version.
    pub(crate) staged: usize,
    /// The number of hosts whose engine has loaded the version.
    pub(crate) loaded: usize,
    /// Size of the weights; 0 until a host reports it.
    pub(crate) size_bytes: u64,
    /// The number of bytes stored, summed over all hosts.
    pub(crate) held_bytes: u64,
    /// Bytes received from the origin by all hosts, as a multiple of the size of the weights.
    pub(crate) origin_copies: f64,
    /// Time from the first host's start until the last host verified the version, or until now.
    pub(crate) elapsed_s: f64,
    /// Shortest time that the link rates allow; `None` if the origin's rate is not given.
    pub(crate) bound_s: Option<f64>,
    /// Ratio of the elapsed time to the bound.
    pub(crate) time_over_bound: Option<f64>,
    /// Hosts that did not respond.
    pub(crate) missing: Vec<MissingHost>,
}

/// The state of a pool and the responses of its hosts at one time.
#[derive(Debug)]
pub(crate) struct PoolSnapshot<'a> {
    /// The pool.
    pub(crate) pool: &'a PoolDocument,
    /// Target version of the rollout.
    pub(crate) target: &'a WeightsTarget,
    /// Reports of the hosts that responded.
    pub(crate) reports: &'a [ProcessReport],
    /// The number of hosts whose engine has loaded the version.
    pub(crate) loaded: usize,
    /// Hosts that did not respond.
    pub(crate) missing: Vec<MissingHost>,
    /// Rate of the origin, if the operator gave it.
    pub(crate) origin_bytes_per_s: Option<u64>,
}

impl RolloutView {
    /// Computes the progress from the responses of all hosts.
    pub(crate) fn new(snapshot: PoolSnapshot) -> RolloutView {
        let progress: Vec<&WeightsProgress> = snapshot
            .reports
            .iter()
            .flat_map(|it| &it.weights)
            .filter(|it| it.manifest_digest == snapshot.target.manifest_digest)
            .collect();
        let size_bytes = progress.iter().map(|it| it.size_bytes).max().unwrap_or(0);
        let hosts = snapshot.reports.len() + snapshot.missing.len();
        let staged = progress.iter().filter(|it| it.is_verified).count();
        let elapsed_s = elapsed_s(&progress, staged == hosts);
        let bound_s =
            snapshot.origin_bytes_per_s.map(|it| bound_s(snapshot.reports, hosts, size_bytes, it));
        let origin_bytes: u64 = progress.iter().map(|it| it.counts.origin_bytes).sum();
        RolloutView {
            pool: snapshot.pool.pool.clone(),
            version: snapshot.target.version.clone(),
            step: pools::step_text(&snapshot.pool.step),
            hosts,
            staged,
            loaded: snapshot.loaded,
            size_bytes,
            held_bytes: progress.iter().map(|it| held_bytes(it)).sum(),
            origin_copies: origin_bytes as f64 / size_bytes.max(1) as f64,
            elapsed_s,
            bound_s,
            time_over_bound: bound_s.filter(|it| *it > 0.0).map(|it| elapsed_s / it),
            missing: snapshot.missing,
        }
    }

    /// Returns `true` if every host of the pool has responded and loaded the version.
    pub(crate) fn is_complete(&self) -> bool {
        self.hosts > 0 && self.loaded == self.hosts && self.missing.is_empty()
    }
}

fn held_bytes(progress: &WeightsProgress) -> u64 {
    let total = u64::from(progress.chunks_total).max(1);
    progress.size_bytes * u64::from(progress.chunks_held) / total
}

fn elapsed_s(progress: &[&WeightsProgress], is_staged: bool) -> f64 {
    let Some(start) = progress.iter().map(|it| it.started_unix_ms).min() else { return 0.0 };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let last_verified = progress.iter().filter_map(|it| it.verified_unix_ms).max();
    let end = last_verified.filter(|_| is_staged).unwrap_or(now.as_millis() as u64);
    end.saturating_sub(start) as f64 / 1000.0
}

/// Returns the shortest time in which all hosts can receive the weights.
///
/// It is S · max(1/d, 1/o, N/(o + N·u)) for weights of size S, an origin that sends at rate o, and
/// N hosts that send at rate u and receive at rate d.
fn bound_s(reports: &[ProcessReport], hosts: usize, size_bytes: u64, origin: u64) -> f64 {
    let send = reports.iter().map(|it| it.send_bytes_per_s).max().unwrap_or(1) as f64;
    let receive = reports.iter().map(|it| it.receive_bytes_per_s).max().unwrap_or(1) as f64;
    let (hosts, origin) = (hosts as f64, origin as f64);
    let slowest = (1.0 / receive).max(1.0 / origin).max(hosts / (origin + hosts * send));
    size_bytes as f64 * slowest
}
