//! Tasks that fetch one chunk each.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Sender;
use async_executor::Task;

use crate::{
    ids::HostId,
    membership::MemberRecord,
    runtime,
    weights::{
        fetch_context::{FetchContext, FetchFailure, FetchedChunk},
        fetcher::FetchEvent,
    },
};

/// Wait in a request for a chunk that the host may have already; any wait above 0 makes the host
/// send a stored chunk even if all upload slots are in use.
const STORED_CHUNK_WAIT: Duration = Duration::from_millis(1);

/// The kind of source that a job requests its chunk from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    /// A neighbour that has the chunk.
    Neighbour(HostId),
    /// The origin, after the likely holders.
    Origin,
    /// The origin, for one more copy near the end of the fetch.
    Endgame,
    /// Hosts that relay the chunk from another region.
    Relay,
}

/// The identifier of a job within one fetch.
pub(crate) type JobId = u64;

/// A running request for one chunk; dropping it cancels the request.
#[derive(Debug)]
pub(crate) struct FetchJob {
    pub(crate) id: JobId,
    pub(crate) chunk: u32,
    pub(crate) kind: JobKind,
    pub(crate) started: Instant,
    /// Whether the request was hedged because it was late, or is itself the second request.
    pub(crate) is_hedged: bool,
    _task: Task<()>,
}

/// The hosts that a job sends requests to, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobHosts {
    /// Hosts that have the chunk if they fetched it in time: those of better rank and, for a late
    /// joiner, some of lower rank.
    pub(crate) likely_holders: Vec<Arc<MemberRecord>>,
    /// The best hosts by origin rank, which fetch the chunk from the origin, and a random host of
    /// another region.
    pub(crate) sources: Vec<Arc<MemberRecord>>,
    /// Time for which the first source may wait for the chunk, and each host may take to send it.
    pub(crate) wait: Duration,
}

impl FetchJob {
    /// Starts a request to a neighbour.
    pub(crate) fn neighbour(
        id: JobId,
        chunk: u32,
        record: Arc<MemberRecord>,
        context: FetchContext,
        events: Sender<FetchEvent>,
    ) -> FetchJob {
        let kind = JobKind::Neighbour(record.host.clone());
        let request = async move { context.request_chunk(&record, chunk, Duration::ZERO).await };
        FetchJob::start(id, chunk, kind, request, events)
    }

    /// Starts requests to the likely holders, then to the origin.
    pub(crate) fn origin(
        id: JobId,
        chunk: u32,
        kind: JobKind,
        hosts: JobHosts,
        context: FetchContext,
        events: Sender<FetchEvent>,
    ) -> FetchJob {
        let request = async move {
            if let Some(fetched) = request_from_likely_holders(&context, chunk, &hosts).await {
                return Ok(fetched);
            }
            context.request_from_origin(chunk).await
        };
        FetchJob::start(id, chunk, kind, request, events)
    }

    /// Starts requests to the likely holders, then to hosts of other regions.
    pub(crate) fn relay(
        id: JobId,
        chunk: u32,
        hosts: JobHosts,
        context: FetchContext,
        events: Sender<FetchEvent>,
    ) -> FetchJob {
        let request = async move {
            if let Some(fetched) = request_from_likely_holders(&context, chunk, &hosts).await {
                return Ok(fetched);
            }
            // Only the first source may wait for the chunk; the others either have it or not.
            let mut wait = hosts.wait;
            for host in &hosts.sources {
                // The timeout adds time for the transfer to the wait.
                let request =
                    runtime::timeout(wait + hosts.wait, context.request_chunk(host, chunk, wait));
                if let Ok(Ok(fetched)) = request.await {
                    return Ok(fetched);
                }
                wait = STORED_CHUNK_WAIT;
            }
            Err(FetchFailure::Missing)
        };
        FetchJob::start(id, chunk, JobKind::Relay, request, events)
    }

    fn start(
        id: JobId,
        chunk: u32,
        kind: JobKind,
        job: impl std::future::Future<Output = Result<FetchedChunk, FetchFailure>> + Send + 'static,
        events: Sender<FetchEvent>,
    ) -> FetchJob {
        let started = Instant::now();
        let task = runtime::spawn(async move {
            let res = job.await;
            let done = FetchEvent::Done { id, chunk, res, elapsed: started.elapsed() };
            // The send fails only if the fetch has ended.
            let _ = events.send(done).await;
        });
        FetchJob { id, chunk, kind, started, is_hedged: false, _task: task }
    }
}

/// Requests the chunk from likely holders, which are often not neighbours.
async fn request_from_likely_holders(
    context: &FetchContext,
    chunk: u32,
    hosts: &JobHosts,
) -> Option<FetchedChunk> {
    for host in &hosts.likely_holders {
        let request = context.request_chunk(host, chunk, STORED_CHUNK_WAIT);
        if let Ok(Ok(fetched)) = runtime::timeout(hosts.wait, request).await {
            return Some(fetched);
        }
    }
    None
}
