//! The implementation of the calls that other processes send.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_bytes::ByteBuf;
use tarpc::context::Context;

use crate::{
    documents::DocumentStore,
    ids::{DocumentNumber, HostId},
    membership::{CharterReport, Gossip, HostReport, MemberRecord, Membership},
    peer::{
        link_counters::LinkClass,
        peer_pool::PeerPool,
        protocol::{
            ChunkRequest, ChunkResponse, Document, DocumentName, GossipExchange, GossipReply,
            HaveRequest, HaveResponse, Identity, ManifestRequest, Peer, ProbeResponse,
        },
    },
    runtime,
    weights::ChunkServer,
};

/// The timeout for the ping to a third host that a probe sends.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves calls from other processes with this process's documents, membership view and chunks.
#[derive(Clone, Debug)]
pub struct PeerService {
    /// The documents stored by this process.
    pub documents: Arc<DocumentStore>,
    /// The membership view of this process.
    pub membership: Arc<Membership>,
    /// Handles gossip messages.
    pub gossip: Arc<Gossip>,
    /// Serves manifests and chunks; an entry host has none.
    pub chunks: Arc<ChunkServer>,
    /// Connections to other processes, used for probes.
    pub peers: Arc<PeerPool>,
}

impl Peer for PeerService {
    async fn exchange(self, _: Context, exchange: GossipExchange) -> GossipReply {
        self.gossip.handle_exchange(exchange)
    }

    async fn members(self, _: Context) -> Vec<MemberRecord> {
        self.membership.records().iter().map(|it| (**it).clone()).collect()
    }

    async fn differing_members(self, _: Context, bucket_hashes: Vec<u64>) -> Vec<MemberRecord> {
        self.membership.differing(&bucket_hashes)
    }

    async fn document(self, _: Context, name: DocumentName) -> Option<Document> {
        self.documents.document(&name)
    }

    async fn offer(self, _: Context, document: Document) -> DocumentNumber {
        let name = document.name.clone();
        if let Err(err) = self.documents.offer(document) {
            log::warn!("peer: rejected an offered document error=\"{err}\"");
        }
        self.documents.document(&name).map_or(0, |it| it.number)
    }

    async fn announce(self, _: Context, record: MemberRecord) {
        self.membership.merge(vec![record]);
    }

    async fn ping(self, _: Context) -> Identity {
        let own = self.membership.own();
        Identity { host: own.host.clone(), incarnation: own.incarnation }
    }

    async fn probe(self, _: Context, host: HostId, address: SocketAddr) -> ProbeResponse {
        let ping =
            self.peers.call(address, LinkClass::Control, PROBE_TIMEOUT, |peer, ctx| async move {
                peer.ping(ctx).await
            });
        match runtime::timeout(PROBE_TIMEOUT, ping).await {
            Ok(Ok(identity)) if identity.host == host => ProbeResponse::Alive,
            _ => ProbeResponse::Silent,
        }
    }

    async fn report(self, _: Context, report: HostReport) {
        self.membership.reports().update(&report.record.host, report.charter_number);
        self.membership.merge(vec![report.record]);
    }

    async fn charter_reports(self, _: Context) -> Vec<CharterReport> {
        self.membership.reports().list()
    }

    async fn manifest(self, _: Context, request: ManifestRequest) -> Option<ByteBuf> {
        self.chunks.manifest(request).await
    }

    async fn have(self, _: Context, request: HaveRequest) -> Option<HaveResponse> {
        self.chunks.availability(request).await
    }

    async fn chunk(self, _: Context, request: ChunkRequest) -> ChunkResponse {
        self.chunks.chunk(request).await
    }
}
