//! The peer server of a host that runs in the test process.

use std::sync::Arc;

use crocustiller::{
    membership::Gossip,
    node::Node,
    peer::{PeerServer, PeerService},
    weights::WeightsStage,
};

/// Starts to serve peers at the address in the host's settings.
pub async fn start_peer_server(node: &Arc<Node>, stage: &Arc<WeightsStage>) -> PeerServer {
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
        chunks: stage.chunk_server(),
        peers: node.peers.clone(),
    };
    let key = node.settings.secrets.peer_key.clone();
    let listen = node.settings.listen.peer;
    PeerServer::bind(listen, key, node.counters.clone(), service).await.unwrap()
}
