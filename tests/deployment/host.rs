//! One host of a deployment.

use std::sync::Arc;

use crocustiller::{
    membership::HostState,
    net::{HttpServer, ServerLimits},
    node::Node,
    peer::PeerServer,
    request,
    rollout::ServingState,
    settings::Settings,
    weights::WeightsStage,
};

use super::{
    any_port,
    documents::{charter_document, pool_document, weights_digest},
    peer_server::start_peer_server,
};

/// An entry host or a slot that runs in the test process instead of a process of its own.
pub struct Host {
    pub node: Arc<Node>,
    pub serving: Arc<ServingState>,
    pub server: HttpServer,
    _peer_server: PeerServer,
}

impl Host {
    /// Starts a live host with `settings`, which has the charter and the pool document.
    pub async fn start(settings: Settings) -> Host {
        let node = Node::new(settings);
        let peer_server = start_peer_server(&node, &WeightsStage::new(node.clone())).await;
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

    /// Closes the listeners without notifying the other hosts, as if the process was killed.
    pub async fn kill(self) {
        self.server.close().await;
        self._peer_server.close().await;
    }
}
