//! Entry hosts and slots that run in the test process and communicate over TCP, with stand-ins for
//! the engines, the services and the platform.

#![allow(dead_code, reason = "not every test uses all of it")]

mod caller_response;
pub mod documents;
#[path = "../fault_proxy/mod.rs"]
pub mod fault_proxy;
mod host;
mod options;
#[path = "../peer_server/mod.rs"]
mod peer_server;
mod settings;

use std::net::SocketAddr;

use async_net::TcpStream;
use crocustiller::{
    membership::MemberRecord,
    peer::Document,
    settings::{BackendKind, BackendSettings},
};
use crocustiller_standins::{EngineStandin, PlatformStandin, ServiceStandin};
use documents::weights_digest;
use fault_proxy::FaultProxy;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use settings::{backend_settings, settings};

pub use caller_response::CallerResponse;
pub use host::Host;
pub use options::DeploymentOptions;

/// The token of customer `a`; that of `b` is `token-b` and so on.
pub const TOKEN: &str = "token-a";
/// The maximum length of a request body that the hosts of a deployment accept.
pub const MAX_BODY_BYTES: usize = 64 << 10;

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
        CallerResponse::of_post(address, token, path, body, headers).await
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
        Host::start(settings(options, id, backend, self.platform_proxy.address())).await
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

/// Returns the loopback address with port 0, for a free port.
pub fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}
