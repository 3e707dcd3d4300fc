//! What all tasks of one fetch share.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    ids::{HostId, RegionId},
    membership::MemberRecord,
    node::Node,
    peer::{ChunkAnswer, ChunkRequest, HaveAnswer, HaveRequest, LinkClass, PeerError},
    weights::{
        fetch_log::FetchLog, strikes::Strikes, ChunkBytes, ChunkShelf, Holding, LinkBudget,
        OriginClient, VerifiedChunk,
    },
};

/// Time that a call may take beyond the wait that it asks for.
const CALL_MARGIN: Duration = Duration::from_secs(20);

/// Handles for fetching one manifest.
#[derive(Clone, Debug)]
pub(crate) struct FetchContext {
    pub(crate) node: Arc<Node>,
    pub(crate) shelf: Arc<ChunkShelf>,
    pub(crate) budget: Arc<LinkBudget>,
    pub(crate) origin: Arc<OriginClient>,
    pub(crate) strikes: Arc<Mutex<Strikes>>,
    pub(crate) holding: Arc<Holding>,
    pub(crate) log: Arc<FetchLog>,
}

/// Where a chunk came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChunkSource {
    Origin,
    Peer(HostId, RegionId),
}

/// A chunk that was fetched and checked.
#[derive(Debug)]
pub(crate) struct Fetched {
    pub(crate) chunk: VerifiedChunk,
    pub(crate) source: ChunkSource,
    /// Requests that wait at the host that sent the chunk.
    pub(crate) queued: u32,
}

/// Why a chunk did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchFailure {
    /// All upload slots of the neighbour are taken.
    Busy,
    /// The neighbour does not hold the chunk.
    Missing,
    /// The bytes were wrong.
    Corrupt,
    /// The call failed.
    Failed,
}

impl FetchContext {
    /// Asks a host for a chunk, which may come within `wait`.
    pub(crate) async fn ask(
        &self,
        host: &MemberRecord,
        idx: u32,
        wait: Duration,
    ) -> Result<Fetched, FetchFailure> {
        let request = ChunkRequest {
            from: self.node.settings.host.id.clone(),
            chunk_digest: self.holding.manifest().chunks[idx as usize],
            wait_ms: wait.as_millis() as u32,
        };
        let call = self.node.peers.call(
            host.peer_address,
            LinkClass::Weights,
            wait + CALL_MARGIN,
            |peer, ctx| async move { peer.chunk(ctx, request).await },
        );
        match call.await {
            Ok(ChunkAnswer::Chunk { bytes, queued }) => {
                let source = ChunkSource::Peer(host.host.clone(), host.region.clone());
                self.check(bytes, idx, source, queued)
            }
            Ok(ChunkAnswer::Busy) => Err(FetchFailure::Busy),
            Ok(ChunkAnswer::Missing) => Err(FetchFailure::Missing),
            Err(err) => {
                log::debug!("weights: chunk not received host={} error=\"{err}\"", host.host);
                Err(FetchFailure::Failed)
            }
        }
    }

    /// Asks the origin for a chunk.
    pub(crate) async fn ask_origin(&self, idx: u32) -> Result<Fetched, FetchFailure> {
        match self.origin.chunk(self.holding.manifest(), idx).await {
            Ok(bytes) => self.check(bytes, idx, ChunkSource::Origin, 0),
            Err(err) => {
                self.log.set_problem(Some(err.to_string()));
                log::debug!("weights: chunk not received from the origin error=\"{err}\"");
                Err(FetchFailure::Failed)
            }
        }
    }

    /// Asks which chunks a host holds beyond the first `known`.
    pub(crate) async fn ask_have(
        &self,
        address: SocketAddr,
        known: u32,
        wait: Duration,
    ) -> Result<Option<HaveAnswer>, PeerError> {
        let request = HaveRequest {
            from: self.node.settings.host.id.clone(),
            manifest_digest: *self.holding.digest(),
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

    fn check(
        &self,
        bytes: ChunkBytes,
        idx: u32,
        source: ChunkSource,
        queued: u32,
    ) -> Result<Fetched, FetchFailure> {
        self.log.received(&source, bytes.len() as u64, &self.node.settings.host.region);
        let wanted = &self.holding.manifest().chunks[idx as usize];
        match VerifiedChunk::verify(bytes, wanted) {
            Ok(chunk) => Ok(Fetched { chunk, source, queued }),
            Err(err) => {
                log::warn!("weights: wrong bytes chunk={idx} source={source:?} error=\"{err}\"");
                self.log.count(|it| it.bad_chunks += 1);
                self.blame(&source, err.to_string());
                Err(FetchFailure::Corrupt)
            }
        }
    }

    fn blame(&self, source: &ChunkSource, problem: String) {
        match source {
            ChunkSource::Origin => {
                self.origin.report_corruption();
                self.log.set_problem(Some(format!("the origin sends wrong bytes: {problem}")));
            }
            ChunkSource::Peer(host, _) => {
                let now = std::time::Instant::now();
                if self.strikes.lock().unwrap().add(host, now) {
                    log::warn!("weights: host rests, it sent wrong bytes again host={host}");
                }
            }
        }
    }
}
