//! Runs the control stages of many processes in the test process, connected over real TCP.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Task;
use crocustiller::{
    charter::{self, PatchOutcome, PatchRequest},
    digest::Digest,
    membership::{Detector, Gossip, HostState},
    node::Node,
    objects::DocumentWatch,
    peer::{PeerKey, PeerServer, PeerService},
    runtime,
    settings::{
        BackendKind, BackendSettings, HostSettings, LimitSettings, ListenSettings, LogSettings,
        PlatformSettings, RoleSettings, SecretSettings, Settings, WeightsSettings,
    },
    weights::ChunkServer,
};
use crocustiller_standins::PlatformStandin;
use serde_json::Value;

/// Number of entry hosts of a cluster; they are the processes with the lowest indices.
pub const N_ENTRY_HOSTS: usize = 5;
/// Number of regions of a cluster.
const N_REGIONS: usize = 3;
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The control stages of one process: gossip, failure detector, document watch, peer server.
pub struct Process {
    pub node: Arc<Node>,
    address: SocketAddr,
    server: Option<PeerServer>,
    tasks: Vec<Task<()>>,
}

/// A group of processes that share one platform stand-in.
pub struct Cluster {
    pub platform: PlatformStandin,
    pub processes: Vec<Process>,
    join_addresses: Vec<SocketAddr>,
}

impl Cluster {
    /// Starts `n_processes`, which join through the entry hosts started before them.
    pub async fn start(n_processes: usize) -> Cluster {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let mut cluster = Cluster { platform, processes: Vec::new(), join_addresses: Vec::new() };
        for idx in 0..n_processes {
            cluster.add(&format!("host-{idx}"), idx).await;
        }
        cluster
    }

    /// Starts one more process; `idx` determines its role, region and availability zone.
    pub async fn add(&mut self, id: &str, idx: usize) {
        let settings = settings(id, idx, self.platform.address(), self.join_addresses.clone());
        let process = Process::start(settings).await;
        if idx < N_ENTRY_HOSTS {
            self.join_addresses.push(process.address);
        }
        self.processes.push(process);
    }

    /// Starts one more process that joins through the addresses in `join` only.
    pub async fn add_joining(&mut self, id: &str, idx: usize, join: Vec<SocketAddr>) {
        let settings = settings(id, idx, self.platform.address(), join);
        self.processes.push(Process::start(settings).await);
    }

    /// Returns the node of one process.
    pub fn node(&self, idx: usize) -> &Arc<Node> {
        &self.processes[idx].node
    }

    /// Patches the charter through one process, with a deadline of 10 s.
    pub async fn patch(
        &self,
        idx: usize,
        id: &str,
        base_number: u64,
        patch: Value,
    ) -> PatchOutcome {
        let deadline = Instant::now() + Duration::from_secs(10);
        let request = PatchRequest { id: id.to_owned(), base_number, patch, deadline };
        charter::patch(self.node(idx), request).await
    }

    /// Returns the time until charter `number` or a later one is in force on every running process,
    /// or `None` after `timeout`.
    pub async fn wait_charter(&self, number: u64, timeout: Duration) -> Option<Duration> {
        self.wait(timeout, |it| it.node.documents.charter_number() >= number).await
    }

    /// Returns the time until every running process sees `n_hosts` live hosts, or `None` after
    /// `timeout`.
    pub async fn wait_members(&self, n_hosts: usize, timeout: Duration) -> Option<Duration> {
        self.wait(timeout, |it| it.node.membership.live().len() == n_hosts).await
    }

    /// Returns the time until `condition` is true for every running process, or `None` after
    /// `timeout`.
    pub async fn wait(
        &self,
        timeout: Duration,
        condition: impl Fn(&Process) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if self.processes.iter().filter(|it| it.is_running()).all(&condition) {
                return Some(started.elapsed());
            }
            runtime::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Stops all processes and the platform.
    pub async fn close(self) {
        for process in self.processes {
            process.close().await;
        }
        self.platform.close().await;
    }
}

impl Process {
    async fn start(settings: Settings) -> Process {
        let node = Node::new(settings);
        let mut process = Process { node, address: any_address(), server: None, tasks: Vec::new() };
        process.resume().await;
        let address = process.address;
        process.node.membership.update_own(|it| {
            it.peer_address = address;
            it.state = HostState::Live;
        });
        process
    }

    /// Returns `true` if the peer server of the process runs.
    pub fn is_running(&self) -> bool {
        self.server.is_some()
    }

    /// Starts the stages; after `stop` they continue with the state that the process had before.
    pub async fn resume(&mut self) {
        let node = &self.node;
        let gossip = Arc::new(Gossip::new(
            node.documents.clone(),
            node.membership.clone(),
            node.peers.clone(),
            node.settings.join.clone(),
        ));
        let service = PeerService {
            documents: node.documents.clone(),
            membership: node.membership.clone(),
            gossip: gossip.clone(),
            chunks: Arc::new(ChunkServer::default()),
            peers: node.peers.clone(),
        };
        let key = node.settings.secrets.peer_key.clone();
        let server =
            PeerServer::bind(self.address, key, node.counters.clone(), service).await.unwrap();
        self.address = server.address();
        self.server = Some(server);
        let detector = Detector::new(node.membership.clone(), node.peers.clone());
        self.tasks = vec![
            runtime::spawn(gossip.run()),
            runtime::spawn(detector.run()),
            runtime::spawn(DocumentWatch::run(node.clone())),
        ];
    }

    /// Stops the stages without announcing that the process leaves; the process keeps its state.
    pub async fn stop(&mut self) {
        for task in self.tasks.drain(..) {
            task.cancel().await;
        }
        if let Some(server) = self.server.take() {
            server.close().await;
        }
    }

    /// Stops the stages and drops the process.
    pub async fn close(mut self) {
        self.stop().await;
    }
}

/// Returns the loopback address with port 0, which binds a free port.
pub fn any_address() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Returns the settings of a process that serves no requests and fetches no weights.
pub fn settings(id: &str, idx: usize, platform: SocketAddr, join: Vec<SocketAddr>) -> Settings {
    let is_entry = idx < N_ENTRY_HOSTS;
    let role = if is_entry { RoleSettings::Entry } else { RoleSettings::Backend };
    let backend = BackendSettings {
        kind: BackendKind::Engine,
        name: "chat".to_owned(),
        address: any_address(),
        checks_fencing: false,
        concurrency: 1,
        max_queued: 1,
    };
    Settings {
        host: HostSettings {
            id: id.to_owned(),
            role,
            region: format!("region-{}", idx % N_REGIONS),
            zone: format!("zone-{}", idx % (2 * N_REGIONS)),
        },
        listen: ListenSettings {
            request: any_address(),
            peer: any_address(),
            operator: any_address(),
        },
        platform: PlatformSettings {
            addresses: vec![platform],
            timeout_ms: Duration::from_secs(2),
        },
        join,
        secrets: SecretSettings {
            peer_key: PeerKey::from_secret(b"cluster test"),
            operator_token_digest: Digest::of(b"operator"),
        },
        weights: WeightsSettings {
            origin: vec![any_address()],
            memory_limit_bytes: 1 << 20,
            send_bytes_per_s: 1 << 20,
            receive_bytes_per_s: 1 << 20,
            upload_slots: 1,
            neighbours: 1,
            min_share_percent: 20,
        },
        backend: (!is_entry).then_some(backend),
        limits: LimitSettings {
            max_connections: 64,
            max_body_bytes: 1 << 20,
            request_timeout_ms: Duration::from_secs(10),
            entry_hosts_max_age_s: Duration::from_secs(10),
            drain_timeout_ms: Duration::from_secs(10),
        },
        log: LogSettings { level: log::LevelFilter::Info },
    }
}
