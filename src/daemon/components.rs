//! The servers and background tasks of one process.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use async_executor::Task;

use crate::{
    daemon::daemon::StartError,
    engine::EngineClient,
    http1::ConnectionLimits,
    membership::{Detector, Gossip},
    net::{Handler, HttpServer, ServerLimits},
    node::Node,
    objects::DocumentWatch,
    operator::{self, OperatorContext},
    peer::{PeerServer, PeerService},
    report::ConvergenceWatch,
    request::{self, WeightsSource},
    rollout::{RolloutDecider, ServiceDriver, ServingState, SlotDriver},
    runtime,
    settings::{BackendKind, BackendSettings},
    weights::WeightsStage,
};

/// The servers and background tasks that run in a process.
pub(crate) struct Components {
    peer_server: PeerServer,
    request_server: HttpServer,
    operator_server: HttpServer,
    serving: Arc<ServingState>,
    tasks: Vec<Task<()>>,
}

impl Components {
    /// Listens on every address and starts the background tasks of the role.
    pub(crate) async fn start(
        node: Arc<Node>,
        leave: Sender<()>,
    ) -> Result<Components, StartError> {
        let serving = ServingState::new();
        let weights = WeightsStage::new(node.clone());
        let gossip = Arc::new(Gossip::new(
            node.documents.clone(),
            node.membership.clone(),
            node.peers.clone(),
            node.settings.join.clone(),
        ));
        let peer_server = bind_peer_server(&node, &gossip, &weights).await?;
        let handler = match &node.settings.backend {
            None => request::entry_handler(node.clone()),
            Some(_) => slot_handler(&node, &serving, &weights),
        };
        let request_server = bind_http_server(&node, "request", handler).await?;
        let request_history = node.request_history.clone();
        let context =
            Arc::new(OperatorContext { leave, request_history, weights: weights.clone() });
        let handler = operator::handler(node.clone(), context);
        let operator_server = bind_http_server(&node, "operator", handler).await?;
        let mut tasks = vec![
            runtime::spawn(gossip.run()),
            runtime::spawn(Detector::new(node.membership.clone(), node.peers.clone()).run()),
            runtime::spawn(DocumentWatch::run(node.clone())),
            runtime::spawn(weights.clone().run()),
        ];
        match &node.settings.backend {
            None => {
                tasks.push(runtime::spawn(ConvergenceWatch::run(node.clone())));
                tasks.push(runtime::spawn(RolloutDecider::new(node).run()));
            }
            Some(backend) => {
                tasks.push(spawn_backend_driver(&node, backend, weights, serving.clone()));
            }
        }
        Ok(Components { peer_server, request_server, operator_server, serving, tasks })
    }

    /// Waits until no request is in progress, and logs a warning if some remain.
    ///
    /// Waits at most `timeout` for admitted requests, then at most `timeout` for open responses.
    pub(crate) async fn wait_until_idle(&self, timeout: Duration) {
        let admitted = self.serving.wait_until_idle(timeout).await;
        let responses = self.request_server.wait_until_idle(timeout).await;
        if admitted.is_err() || responses.is_err() {
            log::warn!(
                "daemon: requests still in progress after the drain timeout admitted={} answers={}",
                self.serving.n_admitted(),
                self.request_server.n_exchanges()
            );
        }
    }

    /// Cancels the background tasks and stops listening.
    pub(crate) async fn close(self) {
        for task in self.tasks {
            task.cancel().await;
        }
        self.request_server.close().await;
        self.operator_server.close().await;
        self.peer_server.close().await;
    }
}

fn slot_handler(
    node: &Arc<Node>,
    serving: &Arc<ServingState>,
    weights: &Arc<WeightsStage>,
) -> Handler {
    let weights = weights.clone();
    let source: WeightsSource =
        Arc::new(move |manifest| weights.verified(manifest).map(|it| it.body()));
    request::slot_handler(node.clone(), serving.clone(), source)
}

async fn bind_peer_server(
    node: &Arc<Node>,
    gossip: &Arc<Gossip>,
    weights: &Arc<WeightsStage>,
) -> Result<PeerServer, StartError> {
    let service = PeerService {
        documents: node.documents.clone(),
        membership: node.membership.clone(),
        gossip: gossip.clone(),
        chunks: weights.chunk_server(),
        peers: node.peers.clone(),
    };
    let key = node.settings.secrets.peer_key.clone();
    let counters = node.counters.clone();
    PeerServer::bind(node.settings.listen.peer, key, counters, service)
        .await
        .map_err(|err| StartError::Listen("peer", err))
}

async fn bind_http_server(
    node: &Node,
    key: &'static str,
    handler: Handler,
) -> Result<HttpServer, StartError> {
    let limits = ConnectionLimits::of_this_process();
    let (address, max_connections) = match key {
        "request" => (node.settings.listen.request, limits.callers),
        _ => (node.settings.listen.operator, limits.directory),
    };
    let max_connections = max_connections.min(node.settings.limits.max_connections);
    let limits = ServerLimits { max_connections };
    HttpServer::bind_port(key, address, limits, handler)
        .await
        .map_err(|err| StartError::Listen(key, err))
}

fn spawn_backend_driver(
    node: &Arc<Node>,
    backend: &BackendSettings,
    weights: Arc<WeightsStage>,
    serving: Arc<ServingState>,
) -> Task<()> {
    match backend.kind {
        BackendKind::Engine => {
            let engine = EngineClient::new(backend.address, node.http.clone());
            let driver = SlotDriver::new(node.clone(), weights, serving, engine, &backend.name);
            runtime::spawn(driver.run())
        }
        BackendKind::Service => runtime::spawn(ServiceDriver::new(node.clone(), serving).run()),
    }
}
