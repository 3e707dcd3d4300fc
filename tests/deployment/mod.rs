//! Entry hosts and slots that run in the test process and communicate over TCP, with stand-ins for
//! the engines, the services and the platform.

#![allow(dead_code, reason = "not every test uses all of it")]

#[path = "../fault_proxy/mod.rs"]
pub mod fault_proxy;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_net::TcpStream;
use crocustiller::{
    charter::{Charter, CustomerSpec, PoolSpec, ServiceSpec},
    digest::Digest,
    membership::{Gossip, HostState, MemberRecord},
    net::{HttpClient, HttpServer, ServerLimits},
    node::Node,
    peer::{Document, DocumentName, PeerKey, PeerServer, PeerService},
    request,
    rollout::{PoolDocument, RolloutStep, ServingState, WeightsTarget},
    settings::{
        BackendKind, BackendSettings, HostSettings, LimitSettings, ListenSettings, LogSettings,
        PlatformSettings, RoleSettings, SecretSettings, Settings, WeightsSettings,
    },
    verdict::Verdict,
    weights::WeightsStage,
};
use crocustiller_standins::{EngineStandin, PlatformStandin, ServiceStandin};
use fault_proxy::FaultProxy;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response, Url};
use serde_bytes::ByteBuf;

/// The token of customer `a`; that of `b` is `token-b` and so on.
pub const TOKEN: &str = "token-a";
/// The maximum length of a request body that the hosts of a deployment accept.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// The size and the limits of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    pub n_entry_hosts: usize,
    pub n_engines: usize,
    pub n_services: usize,
    pub concurrency: u32,
    pub max_queued: u32,
    pub max_age_s: u64,
    pub timeout_ms: u64,
}

impl Default for DeploymentOptions {
    fn default() -> DeploymentOptions {
        DeploymentOptions {
            n_entry_hosts: 1,
            n_engines: 2,
            n_services: 0,
            concurrency: 4,
            max_queued: 100,
            max_age_s: 1,
            timeout_ms: 20_000,
        }
    }
}

/// An entry host or a slot that runs in the test process instead of a process of its own.
pub struct Host {
    pub node: Arc<Node>,
    pub serving: Arc<ServingState>,
    pub server: HttpServer,
    _peer_server: PeerServer,
}

/// All hosts of a test, the stand-ins behind them and the proxies between them.
///
/// A test sends requests to the entry hosts and injects faults into stand-ins and proxies.
pub struct Deployment {
    pub platform: PlatformStandin,
    pub entry_hosts: Vec<Host>,
    pub engine_slots: Vec<Host>,
    pub engines: Vec<EngineStandin>,
    pub service_slots: Vec<Host>,
    pub services: Vec<ServiceStandin>,
    /// Proxy between all hosts and the platform.
    pub platform_proxy: FaultProxy,
    /// Proxies between the entry hosts and each slot of a service.
    pub slot_proxies: Vec<FaultProxy>,
    /// Proxies between each slot of a service and its service.
    pub service_proxies: Vec<FaultProxy>,
}

/// A response that a caller received.
#[derive(Debug)]
pub struct CallerResponse {
    /// The HTTP status; 0 if the request failed without a complete response.
    pub status: u16,
    pub verdict: Option<Verdict>,
    /// The response with its headers.
    pub head: Response,
    /// The body, or the error if the request failed without a complete response.
    pub body: String,
}

impl Deployment {
    /// Starts all hosts and stand-ins; all hosts are live and have the records of all others.
    pub async fn start(options: DeploymentOptions) -> Deployment {
        let platform = PlatformStandin::start(any_port()).await.unwrap();
        let platform_proxy = FaultProxy::start(platform.address()).await.unwrap();
        let mut deployment = Deployment {
            platform_proxy,
            slot_proxies: Vec::new(),
            service_proxies: Vec::new(),
            platform,
            entry_hosts: Vec::new(),
            engine_slots: Vec::new(),
            engines: Vec::new(),
            service_slots: Vec::new(),
            services: Vec::new(),
        };
        for idx in 0..options.n_entry_hosts {
            let host = deployment.start_host(&options, &format!("entry-{idx}"), None).await;
            deployment.entry_hosts.push(host);
        }
        for idx in 0..options.n_engines {
            let engine = EngineStandin::start(any_port()).await.unwrap();
            engine.preload("v1", weights_digest());
            let backend = backend_settings(&options, BackendKind::Engine, "chat", engine.address());
            let host =
                deployment.start_host(&options, &format!("engine-{idx}"), Some(backend)).await;
            host.serving.open("v1", 1);
            deployment.engines.push(engine);
            deployment.engine_slots.push(host);
        }
        for idx in 0..options.n_services {
            let service = ServiceStandin::start(any_port()).await.unwrap();
            let proxy = FaultProxy::start(service.address()).await.unwrap();
            let backend =
                backend_settings(&options, BackendKind::Service, "ledger", proxy.address());
            deployment.service_proxies.push(proxy);
            let host =
                deployment.start_host(&options, &format!("service-{idx}"), Some(backend)).await;
            let proxy = FaultProxy::start(host.server.address()).await.unwrap();
            host.node.membership.update_own(|it| it.request_address = proxy.address());
            deployment.slot_proxies.push(proxy);
            host.serving.open("", 0);
            deployment.services.push(service);
            deployment.service_slots.push(host);
        }
        deployment.share_member_records();
        deployment
    }

    /// Merges the member records of all hosts into the membership of each host.
    pub fn share_member_records(&self) {
        let records: Vec<MemberRecord> =
            self.hosts().map(|it| (*it.node.membership.own()).clone()).collect();
        for host in self.hosts() {
            host.node.membership.merge(records.clone());
        }
    }

    /// Returns all hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.entry_hosts.iter().chain(&self.engine_slots).chain(&self.service_slots)
    }

    /// Offers `document` to all hosts.
    pub fn offer(&self, document: Document) {
        for host in self.hosts() {
            host.node.documents.offer(document.clone()).unwrap();
        }
    }

    /// Sends a chat request of customer `a` to the first entry host.
    pub async fn chat(&self, body: &str, headers: &[(&str, &str)]) -> CallerResponse {
        self.chat_at(0, TOKEN, body, headers).await
    }

    /// Sends a chat request to an entry host.
    pub async fn chat_at(
        &self,
        entry_idx: usize,
        token: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> CallerResponse {
        self.send(entry_idx, token, "/v1/chat/completions", body, headers).await
    }

    /// Calls the service `ledger` through an entry host, with `key` as the idempotency key.
    pub async fn reserve(&self, entry_idx: usize, key: &str, body: &str) -> CallerResponse {
        let path = "/v1/services/ledger/reservations";
        self.send(entry_idx, TOKEN, path, body, &[("Idempotency-Key", key)]).await
    }

    /// Sends a POST request to an entry host, with a timeout of 60 s.
    pub async fn send(
        &self,
        entry_idx: usize,
        token: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> CallerResponse {
        let address = self.entry_hosts[entry_idx].server.address();
        let url = Url::parse(&format!("http://{address}{path}")).unwrap();
        let mut request = Request::new(Method::Post, url);
        request.set_body(body);
        request.insert_header("Authorization", format!("Bearer {token}"));
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        let timeout = Duration::from_secs(60);
        let fetched = HttpClient::new().fetch(address, request, timeout, 64 << 20).await;
        match fetched {
            Ok((head, body)) => CallerResponse {
                status: head.status().into(),
                verdict: head.header("X-Verdict").map(|it| Verdict::from_header(it.as_str())),
                body: String::from_utf8(body).unwrap(),
                head,
            },
            Err(err) => CallerResponse {
                status: 0,
                verdict: None,
                head: Response::new(500),
                body: err.to_string(),
            },
        }
    }

    /// Sends `bytes` unchanged to the first entry host and reads until it closes the connection.
    pub async fn send_raw(&self, bytes: &[u8]) -> String {
        let address = self.entry_hosts[0].server.address();
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Returns the number of requests that reached the engines.
    pub fn n_engine_requests(&self) -> u64 {
        self.engines.iter().map(|it| it.counts().requests).sum()
    }

    /// Returns how often the services ran the call with the idempotency key `key`.
    pub fn n_runs(&self, key: &str) -> u32 {
        let runs_at = |it: &ServiceStandin| it.counts().runs.get(key).copied().unwrap_or(0);
        self.services.iter().map(runs_at).sum()
    }

    async fn start_host(
        &self,
        options: &DeploymentOptions,
        id: &str,
        backend: Option<BackendSettings>,
    ) -> Host {
        let node = Node::new(settings(options, id, backend, self.platform_proxy.address()));
        let peer_server = start_peer_server(&node).await;
        let serving = ServingState::new();
        let handler = match node.settings.backend {
            None => request::entry_handler(node.clone()),
            Some(_) => request::slot_handler(node.clone(), serving.clone(), Arc::new(|_| None)),
        };
        let limits = ServerLimits { max_connections: 1000 };
        let server = HttpServer::bind(any_port(), limits, handler).await.unwrap();
        node.membership.update_own(|it| {
            it.peer_address = peer_server.address();
            it.request_address = server.address();
            it.state = HostState::Live;
            it.weights.loaded = Some(weights_digest());
            it.weights.switch_number = 1;
        });
        node.documents.offer(charter_document()).unwrap();
        node.documents.offer(pool_document(1, 1)).unwrap();
        Host { node, serving, server, _peer_server: peer_server }
    }
}

impl Host {
    /// Closes the listeners without notifying the other hosts, as if the process was killed.
    pub async fn kill(self) {
        self.server.close().await;
        self._peer_server.close().await;
    }
}

impl CallerResponse {
    /// Returns the generated text, or an empty string if the body has none.
    pub fn generated_text(&self) -> String {
        let json: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        json["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// Returns the body of a chat request for a complete response.
pub fn prompt(text: &str) -> String {
    let message = serde_json::json!({"role": "user", "content": text});
    serde_json::json!({"model": "chat", "messages": [message], "max_tokens": 4}).to_string()
}

/// Returns the body of a chat request for a streamed response.
pub fn streamed_prompt(text: &str, n_tokens: u32) -> String {
    let message = serde_json::json!({"role": "user", "content": text});
    let body = serde_json::json!({
        "model": "chat", "messages": [message], "max_tokens": n_tokens, "stream": true,
    });
    body.to_string()
}

/// Returns the document of the pool `chat` with the version `v1` at `switch_number`.
pub fn pool_document(number: u64, switch_number: u64) -> Document {
    let target = WeightsTarget { version: "v1".to_owned(), manifest_digest: weights_digest() };
    let pool = PoolDocument {
        number,
        pool: "chat".to_owned(),
        serving: Some(target.clone()),
        target: Some(target),
        switch_number,
        step: RolloutStep::Steady,
    };
    let json = ByteBuf::from(serde_json::to_vec(&pool).unwrap());
    Document { name: DocumentName::Pool("chat".to_owned()), number, json }
}

/// Returns the loopback address with port 0, for a free port.
pub fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Returns the manifest digest of `v1`, the only version of the weights.
pub fn weights_digest() -> Digest {
    Digest::of(b"v1")
}

fn charter_document() -> Document {
    let customer = |name: &str| {
        let token_digest = Digest::of(format!("token-{name}").as_bytes());
        (name.to_owned(), CustomerSpec { weight: 1, token_digest, max_in_progress: 1000 })
    };
    let names = ["a", "b", "c", "d"];
    let pool = PoolSpec {
        version: "v1".to_owned(),
        customers: names[..3].iter().map(|it| it.to_string()).collect(),
        hosts: Vec::new(),
        min_serving_percent: 70,
    };
    let service = ServiceSpec {
        repeatable: false,
        customers: Vec::new(),
        claim_shards: 4,
        claim_window_s: Duration::from_secs(3600),
    };
    let charter = Charter {
        number: 1,
        pools: [("chat".to_owned(), pool)].into(),
        services: [("ledger".to_owned(), service)].into(),
        customers: names.into_iter().map(customer).collect(),
        ..Charter::default()
    };
    let json = ByteBuf::from(serde_json::to_vec(&charter).unwrap());
    Document { name: DocumentName::Charter, number: 1, json }
}

async fn start_peer_server(node: &Arc<Node>) -> PeerServer {
    let gossip = Gossip::new(
        node.documents.clone(),
        node.membership.clone(),
        node.peers.clone(),
        Vec::new(),
    );
    let service = PeerService {
        documents: node.documents.clone(),
        membership: node.membership.clone(),
        gossip: Arc::new(gossip),
        chunks: WeightsStage::new(node.clone()).chunk_server(),
        peers: node.peers.clone(),
    };
    let key = node.settings.secrets.peer_key.clone();
    PeerServer::bind(any_port(), key, node.counters.clone(), service).await.unwrap()
}

fn backend_settings(
    options: &DeploymentOptions,
    kind: BackendKind,
    name: &str,
    address: SocketAddr,
) -> BackendSettings {
    BackendSettings {
        kind,
        name: name.to_owned(),
        address,
        checks_fencing: true,
        concurrency: options.concurrency,
        max_queued: options.max_queued,
    }
}

fn settings(
    options: &DeploymentOptions,
    id: &str,
    backend: Option<BackendSettings>,
    platform: SocketAddr,
) -> Settings {
    let role = if backend.is_some() { RoleSettings::Backend } else { RoleSettings::Entry };
    Settings {
        host: HostSettings {
            id: id.to_owned(),
            role,
            region: "region".to_owned(),
            zone: "zone".to_owned(),
        },
        listen: ListenSettings { request: any_port(), peer: any_port(), operator: any_port() },
        platform: PlatformSettings {
            addresses: vec![platform],
            timeout_ms: Duration::from_secs(1),
        },
        join: Vec::new(),
        secrets: SecretSettings {
            peer_key: PeerKey::from_secret(b"deployment"),
            operator_token_digest: Digest::of(b"operator"),
        },
        weights: WeightsSettings {
            origin: vec![any_port()],
            memory_limit_bytes: 1 << 20,
            send_bytes_per_s: 1 << 30,
            receive_bytes_per_s: 1 << 30,
            upload_slots: 1,
            neighbours: 1,
            min_share_percent: 20,
        },
        backend,
        limits: LimitSettings {
            max_connections: 1000,
            max_body_bytes: MAX_BODY_BYTES,
            request_timeout_ms: Duration::from_millis(options.timeout_ms),
            entry_hosts_max_age_s: Duration::from_secs(options.max_age_s),
            drain_timeout_ms: Duration::from_secs(30),
        },
        log: LogSettings { level: log::LevelFilter::Info },
    }
}
