//! Runs several hosts of one pool in the test process, connected over real TCP.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod link_proxy;
#[path = "../peer_server/mod.rs"]
mod peer_server;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Task;
use crocustiller::{
    charter::{Charter, RolloutMode, RolloutSpec},
    digest::Digest,
    membership::{HostState, MemberRecord},
    node::Node,
    peer::{Document, DocumentName, PeerKey, PeerServer},
    rollout::WeightsTarget,
    runtime,
    settings::{
        BackendKind, BackendSettings, HostSettings, LimitSettings, ListenSettings, LogSettings,
        PlatformSettings, RoleSettings, SecretSettings, Settings, WeightsSettings,
    },
    weights::{WeightsProgress, WeightsStage},
};
use serde_bytes::ByteBuf;

use link_proxy::{LinkFault, LinkProxy};
use peer_server::start_peer_server;

/// The settings and rollout options that the hosts of a fleet share.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub n_hosts: usize,
    pub n_regions: usize,
    pub origin: SocketAddr,
    pub bytes_per_s: u64,
    pub memory_limit_bytes: u64,
    pub mode: RolloutMode,
    pub origin_copies: u32,
    /// Index of a host that uses a wrong peer key.
    pub wrong_key_host: Option<usize>,
}

/// One host of a fleet: its weights stage and its peer server.
pub struct FleetHost {
    pub node: Arc<Node>,
    pub stage: Arc<WeightsStage>,
    server: PeerServer,
    _run_task: Task<()>,
}

/// A group of hosts; a killed host leaves `None` at its index.
pub struct Fleet {
    pub options: FleetOptions,
    pub hosts: Vec<Option<FleetHost>>,
}

impl FleetOptions {
    pub fn new(n_hosts: usize, n_regions: usize, origin: SocketAddr) -> FleetOptions {
        FleetOptions {
            n_hosts,
            n_regions,
            origin,
            bytes_per_s: 1_000_000_000,
            memory_limit_bytes: 1 << 30,
            mode: RolloutMode::OriginFirst,
            origin_copies: 2,
            wrong_key_host: None,
        }
    }
}

impl Fleet {
    /// Starts the hosts and gives each of them the member records of all.
    pub async fn start(options: FleetOptions) -> Fleet {
        let mut hosts = Vec::new();
        for idx in 0..options.n_hosts {
            hosts.push(Some(start_host(&options, idx).await));
        }
        let fleet = Fleet { options, hosts };
        fleet.share_member_records();
        fleet
    }

    /// Starts one more host and shares its member record with the others.
    pub async fn add_host(&mut self) {
        let idx = self.hosts.len();
        self.hosts.push(Some(start_host(&self.options, idx).await));
        self.share_member_records();
    }

    /// Returns the hosts that were not killed.
    pub fn running(&self) -> impl Iterator<Item = &FleetHost> {
        self.hosts.iter().flatten()
    }

    /// Merges the member record of every running host into every other.
    pub fn share_member_records(&self) {
        let records: Vec<MemberRecord> =
            self.running().map(|it| (*it.node.membership.own()).clone()).collect();
        for host in self.running() {
            host.node.membership.merge(records.clone());
        }
    }

    /// Sets the weights targets of all running hosts.
    pub fn set_targets(&self, targets: &[WeightsTarget]) {
        for host in self.running() {
            host.stage.set_targets(targets.to_vec());
        }
    }

    /// Stops a host without announcing that it leaves, and closes the connections to it.
    pub async fn kill(&mut self, idx: usize) {
        let Some(host) = self.hosts[idx].take() else { return };
        host.stage.set_targets(Vec::new());
        host.server.close().await;
        for other in self.running() {
            other.node.peers.close_connections(host.node.membership.own().peer_address);
        }
    }

    /// Starts a proxy that applies `fault` to what a host sends, and announces its address as the
    /// host's peer address.
    pub async fn start_link_proxy(&self, idx: usize, fault: LinkFault) -> LinkProxy {
        let host = self.hosts[idx].as_ref().unwrap();
        let proxy = LinkProxy::start(host.server.address(), fault).await;
        host.node.membership.update_own(|it| it.peer_address = proxy.address);
        self.share_member_records();
        proxy
    }

    /// Waits until the running hosts together have `percent` of all their chunks of `target`.
    pub async fn wait_for_chunks(&self, target: &WeightsTarget, percent: u32) {
        loop {
            let all = self.progress(target);
            let n_stored: u32 = all.iter().map(|it| it.chunks_held).sum();
            let n_total: u32 = all.iter().map(|it| it.chunks_total).sum();
            if n_total > 0 && n_stored * 100 >= n_total * percent {
                return;
            }
            runtime::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Kills a host and starts it again without any chunks, then shares its new member record.
    pub async fn restart(&mut self, idx: usize) {
        self.kill(idx).await;
        self.hosts[idx] = Some(start_host(&self.options, idx).await);
        self.share_member_records();
    }

    /// Waits until every running host has verified `target`; returns `false` after `timeout`.
    pub async fn wait_verified(&self, target: &WeightsTarget, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        for host in self.running() {
            loop {
                let listener = host.stage.listen();
                if host.stage.verified(&target.manifest_digest).is_some() {
                    break;
                }
                let remaining = deadline.saturating_duration_since(Instant::now());
                if runtime::timeout(remaining, listener).await.is_err() {
                    return false;
                }
            }
        }
        true
    }

    /// Returns the digest of the weights that each running host would send to its engine, or `None`
    /// for a host that has not verified them.
    pub async fn content_digests(&self, target: &WeightsTarget) -> Vec<Option<Digest>> {
        let mut digests = Vec::new();
        for host in self.running() {
            let weights = host.stage.verified(&target.manifest_digest);
            let bytes = match weights {
                Some(it) => it.body().into_bytes().await.ok(),
                None => None,
            };
            digests.push(bytes.map(|it| Digest::of(&it)));
        }
        digests
    }

    /// Returns the progress of one target on every running host that has it as a target.
    pub fn progress(&self, target: &WeightsTarget) -> Vec<WeightsProgress> {
        let all = self.running().flat_map(|it| it.stage.progress());
        all.filter(|it| it.manifest_digest == target.manifest_digest).collect()
    }
}

async fn start_host(options: &FleetOptions, idx: usize) -> FleetHost {
    let node = Node::new(settings(options, idx));
    let stage = WeightsStage::new(node.clone());
    let server = start_peer_server(&node, &stage).await;
    node.membership.update_own(|it| {
        it.peer_address = server.address();
        it.state = HostState::Live;
    });
    node.documents.offer(charter_document(options)).unwrap();
    let run_task = runtime::spawn(stage.clone().run());
    FleetHost { node, stage, server, _run_task: run_task }
}

fn charter_document(options: &FleetOptions) -> Document {
    let rollout = RolloutSpec { mode: options.mode, origin_copies: options.origin_copies };
    let charter = Charter { number: 1, rollout, ..Charter::default() };
    let json = ByteBuf::from(serde_json::to_vec(&charter).unwrap());
    Document { name: DocumentName::Charter, number: 1, json }
}

fn settings(options: &FleetOptions, idx: usize) -> Settings {
    let any_address: SocketAddr = ([127, 0, 0, 1], 0).into();
    let region = idx % options.n_regions;
    let zone = idx / options.n_regions % 2;
    let secret: &[u8] = if options.wrong_key_host == Some(idx) { b"wrong" } else { b"fleet" };
    Settings {
        host: HostSettings {
            id: format!("host-{idx}"),
            role: RoleSettings::Backend,
            region: format!("region-{region}"),
            zone: format!("zone-{region}-{zone}"),
        },
        listen: ListenSettings { request: any_address, peer: any_address, operator: any_address },
        platform: PlatformSettings { addresses: Vec::new(), timeout_ms: Duration::from_secs(1) },
        join: Vec::new(),
        secrets: SecretSettings {
            peer_key: PeerKey::from_secret(secret),
            operator_token_digest: Digest::of(b"fleet"),
        },
        weights: WeightsSettings {
            origin: vec![options.origin],
            memory_limit_bytes: options.memory_limit_bytes,
            send_bytes_per_s: options.bytes_per_s,
            receive_bytes_per_s: options.bytes_per_s,
            upload_slots: 8,
            neighbours: 12,
            min_share_percent: 20,
        },
        backend: Some(BackendSettings {
            kind: BackendKind::Engine,
            name: "chat".to_owned(),
            address: any_address,
            checks_fencing: true,
            concurrency: 1,
            max_queued: 1,
        }),
        limits: LimitSettings {
            max_connections: 1024,
            max_body_bytes: 1 << 20,
            request_timeout_ms: Duration::from_secs(10),
            entry_hosts_max_age_s: Duration::from_secs(1),
            drain_timeout_ms: Duration::from_secs(1),
        },
        log: LogSettings { level: log::LevelFilter::Info },
    }
}
