//! Remote procedure calls between the processes of a deployment.
//!
//! The calls use tarpc over TCP connections that are authenticated with a shared key.

mod counted_stream;
mod handshake;
mod link_counters;
mod peer_pool;
mod peer_server;
mod peer_service;
mod protocol;

pub use crate::peer::{
    handshake::{HandshakeError, PeerKey},
    link_counters::{LinkClass, LinkCounters},
    peer_pool::{PeerError, PeerPool},
    peer_server::PeerServer,
    peer_service::PeerService,
    protocol::{
        ChunkRequest, ChunkResponse, Document, DocumentDigest, DocumentName, GossipExchange,
        GossipReply, HaveRequest, HaveResponse, Identity, ManifestRequest, Peer, PeerClient,
        ProbeResponse,
    },
};
