//! The report that `/v1/process` returns about a process.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DocumentNumber, HostId, PoolId, RegionId, SwitchNumber, ZoneId},
    membership::{HostRole, HostState},
    node::Node,
    operator::operator_context::OperatorContext,
    peer::{LinkClass, LinkCounters},
    weights::WeightsProgress,
};

/// The clock ticks per second in `/proc/self/stat`, where the kernel's interface fixes them at 100.
const TICKS_PER_S: f64 = 100.0;

/// The counters and the state of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessReport {
    /// The host.
    pub host: HostId,
    /// The role of the host.
    pub role: HostRole,
    /// The region of the host.
    pub region: RegionId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The lifecycle state of the host.
    pub state: HostState,
    /// The number of the charter in force; 0 without a charter.
    pub charter_number: DocumentNumber,
    /// The switch number of each pool in the charter that has a rollout state.
    pub switch_numbers: BTreeMap<PoolId, SwitchNumber>,
    /// The CPU time that the process has used since its start, in user and kernel mode.
    pub cpu_seconds: f64,
    /// The resident memory of the process.
    pub rss_bytes: u64,
    /// The peak resident memory since the start of the process.
    pub peak_rss_bytes: u64,
    /// The bytes exchanged with other processes.
    pub links: LinkReport,
    /// The number of connections that the process has open to other processes.
    pub peer_connections: usize,
    /// The send rate of the host's network link, from the settings.
    pub send_bytes_per_s: u64,
    /// The receive rate of the host's network link, from the settings.
    pub receive_bytes_per_s: u64,
    /// The fetch progress of each version of the weights; empty on an entry host.
    pub weights: Vec<WeightsProgress>,
}

/// The bytes exchanged with other processes, per link class.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LinkReport {
    /// The bytes of gossip, documents and probes that were sent.
    pub control_sent_bytes: u64,
    /// The bytes of gossip, documents and probes that were received.
    pub control_received_bytes: u64,
    /// The bytes of weights that were sent.
    pub weights_sent_bytes: u64,
    /// The bytes of weights that were received.
    pub weights_received_bytes: u64,
}

impl ProcessReport {
    /// Collects the report of the running process.
    pub(crate) fn collect(node: &Node, context: &OperatorContext) -> ProcessReport {
        let own = node.membership.own();
        ProcessReport {
            host: own.host.clone(),
            role: own.role.clone(),
            region: own.region.clone(),
            zone: own.zone.clone(),
            state: own.state,
            charter_number: node.documents.charter_number(),
            switch_numbers: switch_numbers(node),
            cpu_seconds: cpu_seconds(),
            rss_bytes: status_bytes("VmRSS:"),
            peak_rss_bytes: status_bytes("VmHWM:"),
            links: LinkReport::collect(&node.counters),
            peer_connections: node.peers.n_connections(),
            send_bytes_per_s: node.settings.weights.send_bytes_per_s,
            receive_bytes_per_s: node.settings.weights.receive_bytes_per_s,
            weights: context.weights.progress(),
        }
    }
}

impl LinkReport {
    fn collect(counters: &LinkCounters) -> LinkReport {
        LinkReport {
            control_sent_bytes: counters.sent_bytes(LinkClass::Control),
            control_received_bytes: counters.received_bytes(LinkClass::Control),
            weights_sent_bytes: counters.sent_bytes(LinkClass::Weights),
            weights_received_bytes: counters.received_bytes(LinkClass::Weights),
        }
    }
}

fn switch_numbers(node: &Node) -> BTreeMap<PoolId, SwitchNumber> {
    let Some(charter) = node.documents.charter() else { return BTreeMap::new() };
    let pools = charter.pools.keys().filter_map(|it| node.documents.pool(it));
    pools.map(|it| (it.pool.clone(), it.switch_number)).collect()
}

/// Returns the CPU time that the process has used, from `/proc/self/stat`.
///
/// The line has the command name in parentheses, which may contain spaces. Of the fields after it,
/// user and kernel time have the indexes 11 and 12.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|it| it.parse::<u64>().ok()).sum();
    ticks as f64 / TICKS_PER_S
}

fn status_bytes(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(name)).unwrap_or("");
    let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0);
    kib * 1024
}
