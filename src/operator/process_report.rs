//! What `/v1/process` tells about one process.

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

/// Clock ticks a second in `/proc/self/stat`; fixed by the kernel's interface.
const TICKS_PER_S: f64 = 100.0;

/// Counters and state of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessReport {
    /// The host.
    pub host: HostId,
    /// What its process does.
    pub role: HostRole,
    /// Region of the host.
    pub region: RegionId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Life cycle of the host.
    pub state: HostState,
    /// Charter number in force; 0 without a charter.
    pub charter_number: DocumentNumber,
    /// Switch number of each pool known.
    pub switch_numbers: BTreeMap<PoolId, SwitchNumber>,
    /// Processor time used since the start, in user and kernel mode.
    pub cpu_seconds: f64,
    /// Memory in use.
    pub rss_bytes: u64,
    /// Greatest memory in use since the start.
    pub peak_rss_bytes: u64,
    /// Bytes exchanged with other processes.
    pub links: LinkReport,
    /// Connections opened to other processes.
    pub peer_connections: usize,
    /// Send rate of the machine's link, from the settings.
    pub send_bytes_per_s: u64,
    /// Receive rate of the machine's link, from the settings.
    pub receive_bytes_per_s: u64,
    /// How far each version of weights has come; empty on an entry host.
    pub weights: Vec<WeightsProgress>,
}

/// Bytes exchanged with other processes, by class.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LinkReport {
    /// Gossip, documents and probes sent.
    pub control_sent_bytes: u64,
    /// Gossip, documents and probes received.
    pub control_received_bytes: u64,
    /// Weights sent.
    pub weights_sent_bytes: u64,
    /// Weights received.
    pub weights_received_bytes: u64,
}

impl ProcessReport {
    /// Reads the counters of the running process.
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

/// The fields after the command's name, which may hold spaces, are user and kernel time at 11 and 12.
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
