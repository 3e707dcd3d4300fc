//! State shared by all tasks of one fetch.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    ids::{HostId, RegionId},
    membership::MemberRecord,
    node::Node,
    peer::{ChunkRequest, ChunkResponse, HaveRequest, HaveResponse, LinkClass, PeerError},
    weights::{
        fetch_status::FetchStatus, peer_ejection::PeerEjection, ChunkBytes, ChunkInventory,
        ChunkStore, LinkBudget, OriginClient, VerifiedChunk,
    },
};

/// Time by which the timeout of a call exceeds the wait in the request.
const CALL_MARGIN: Duration = Duration::from_secs(20);

/// Handles shared by the tasks that fetch one manifest, and the requests that these tasks send.
#[derive(Clone, Debug)]
pub(crate) struct FetchContext {
    pub(crate) node: Arc<Node>,
    pub(crate) chunk_store: Arc<ChunkStore>,
    pub(crate) budget: Arc<LinkBudget>,
    pub(crate) origin: Arc<OriginClient>,
    pub(crate) peer_ejection: Arc<Mutex<PeerEjection>>,
    pub(crate) inventory: Arc<ChunkInventory>,
    pub(crate) status: Arc<FetchStatus>,
}

/// The sender of a chunk: the origin, or a peer in a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChunkSource {
    Origin,
    Peer(HostId, RegionId),
}

/// A chunk that was received and verified.
#[derive(Debug)]
pub(crate) struct FetchedChunk {
    pub(crate) chunk: VerifiedChunk,
    pub(crate) source: ChunkSource,
    /// Number of requests queued at the host that sent the chunk.
    pub(crate) queued: u32,
}

/// The reason why a request for a chunk failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchFailure {
    /// All upload slots of the neighbour are in use.
    Busy,
    /// The host does not have the chunk.
    Missing,
    /// The bytes failed verification.
    Corrupt,
    /// The call failed.
    Failed,
}

impl FetchContext {
    /// Requests a chunk from a host, which waits up to `wait` until it has the chunk.
    pub(crate) async fn request_chunk(
        &self,
        host: &MemberRecord,
        idx: u32,
        wait: Duration,
    ) -> Result<FetchedChunk, FetchFailure> {
        let request = ChunkRequest {
            from: self.node.settings.host.id.clone(),
            chunk_digest: self.inventory.manifest().chunks[idx as usize],
            wait_ms: wait.as_millis() as u32,
        };
        let call = self.node.peers.call(
            host.peer_address,
            LinkClass::Weights,
            wait + CALL_MARGIN,
            |peer, ctx| async move { peer.chunk(ctx, request).await },
        );
        match call.await {
            Ok(ChunkResponse::Chunk { bytes, queued }) => {
                let source = ChunkSource::Peer(host.host.clone(), host.region.clone());
                self.verify_chunk(bytes, idx, source, queued)
            }
            Ok(ChunkResponse::Busy) => Err(FetchFailure::Busy),
            Ok(ChunkResponse::Missing) => Err(FetchFailure::Missing),
            Err(err) => {
                log::debug!("weights: failed to fetch a chunk host={} error=\"{err}\"", host.host);
                Err(FetchFailure::Failed)
            }
        }
    }

    /// Requests a chunk from the origin.
    pub(crate) async fn request_from_origin(&self, idx: u32) -> Result<FetchedChunk, FetchFailure> {
        match self.origin.chunk(self.inventory.manifest(), idx).await {
            Ok(bytes) => self.verify_chunk(bytes, idx, ChunkSource::Origin, 0),
            Err(err) => {
                self.status.set_problem(Some(err.to_string()));
                log::debug!("weights: failed to fetch a chunk from the origin error=\"{err}\"");
                Err(FetchFailure::Failed)
            }
        }
    }

    /// Requests the list of chunks that a host has, without the first `known`.
    pub(crate) async fn request_availability(
        &self,
        address: SocketAddr,
        known: u32,
        wait: Duration,
    ) -> Result<Option<HaveResponse>, PeerError> {
        let request = HaveRequest {
            from: self.node.settings.host.id.clone(),
            manifest_digest: *self.inventory.digest(),
            known,
            wait_ms: wait.as_millis() as u32,
        };
        let peers = &self.node.peers;
        let call =
            peers.call(address, LinkClass::Weights, wait + CALL_MARGIN, |peer, ctx| async move {
                peer.have(ctx, request).await
            });
        call.await
    }

    fn verify_chunk(
        &self,
        bytes: ChunkBytes,
        idx: u32,
        source: ChunkSource,
        queued: u32,
    ) -> Result<FetchedChunk, FetchFailure> {
        self.status.record_received(&source, bytes.len() as u64, &self.node.settings.host.region);
        let wanted = &self.inventory.manifest().chunks[idx as usize];
        match VerifiedChunk::verify(bytes, wanted) {
            Ok(chunk) => Ok(FetchedChunk { chunk, source, queued }),
            Err(err) => {
                log::warn!(
                    "weights: chunk failed verification chunk={idx} source={source:?} error=\"{err}\""
                );
                self.status.update_counts(|it| it.bad_chunks += 1);
                self.handle_corruption(&source, err.to_string());
                Err(FetchFailure::Corrupt)
            }
        }
    }

    fn handle_corruption(&self, source: &ChunkSource, problem: String) {
        match source {
            ChunkSource::Origin => {
                self.origin.report_corruption();
                self.status.set_problem(Some(format!("the origin sends wrong bytes: {problem}")));
            }
            ChunkSource::Peer(host, _) => {
                let now = std::time::Instant::now();
                if self.peer_ejection.lock().unwrap().record_corrupt_chunk(host, now) {
                    log::warn!("weights: host ejected for corrupt chunks host={host}");
                }
            }
        }
    }
}
