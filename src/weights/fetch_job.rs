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
        fetch_context::{FetchContext, FetchFailure, Fetched},
        fetcher::FetchEvent,
    },
};

/// Shortest wait that a host grants, so that a held chunk is sent even when all slots are taken.
const HELD_WAIT: Duration = Duration::from_millis(1);

/// What a job asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    /// A neighbour that holds the chunk.
    Neighbour(HostId),
    /// The origin, after the hosts of better rank.
    Origin,
    /// The origin, for a further copy at the end.
    Endgame,
    /// A host of another region.
    Relay,
}

/// Names a job of one fetch.
pub(crate) type JobId = u64;

/// A running request for one chunk; dropping it cancels the request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) chunk: u32,
    pub(crate) kind: JobKind,
    pub(crate) started: Instant,
    /// Whether a second request was sent because this one is late.
    pub(crate) is_hedged: bool,
    _task: Task<()>,
}

/// Hosts that a job asks before it goes farther.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobHosts {
    /// Hosts of better rank that hold the chunk if they did their duty.
    pub(crate) before: Vec<Arc<MemberRecord>>,
    /// Hosts in other regions, by rank, that take the chunk from the origin.
    pub(crate) sources: Vec<Arc<MemberRecord>>,
    /// Time that the first source is given to get the chunk, and each host to send it.
    pub(crate) wait: Duration,
}

impl Job {
    /// Asks a neighbour.
    pub(crate) fn neighbour(
        id: JobId,
        chunk: u32,
        record: Arc<MemberRecord>,
        context: FetchContext,
        events: Sender<FetchEvent>,
    ) -> Job {
        let kind = JobKind::Neighbour(record.host.clone());
        let ask = async move { context.ask(&record, chunk, Duration::ZERO).await };
        Job::start(id, chunk, kind, ask, events)
    }

    /// Asks the origin.
    pub(crate) fn origin(
        id: JobId,
        chunk: u32,
        kind: JobKind,
        hosts: JobHosts,
        context: FetchContext,
        events: Sender<FetchEvent>,
    ) -> Job {
        let ask = async move {
            if let Some(fetched) = ask_held(&context, chunk, &hosts).await {
                return Ok(fetched);
            }
            context.ask_origin(chunk).await
        };
        Job::start(id, chunk, kind, ask, events)
    }

    /// Asks hosts of other regions.
    pub(crate) fn relay(
        id: JobId,
        chunk: u32,
        hosts: JobHosts,
        context: FetchContext,
        events: Sender<FetchEvent>,
    ) -> Job {
        let ask = async move {
            if let Some(fetched) = ask_held(&context, chunk, &hosts).await {
                return Ok(fetched);
            }
            // Only the first source is waited for; the others hold the chunk or they do not.
            let mut wait = hosts.wait;
            for host in &hosts.sources {
                // The time of the transfer comes on top of the wait.
                let ask = runtime::timeout(wait + hosts.wait, context.ask(host, chunk, wait));
                if let Ok(Ok(fetched)) = ask.await {
                    return Ok(fetched);
                }
                wait = HELD_WAIT;
            }
            Err(FetchFailure::Missing)
        };
        Job::start(id, chunk, JobKind::Relay, ask, events)
    }

    fn start(
        id: JobId,
        chunk: u32,
        kind: JobKind,
        ask: impl std::future::Future<Output = Result<Fetched, FetchFailure>> + Send + 'static,
        events: Sender<FetchEvent>,
    ) -> Job {
        let started = Instant::now();
        let task = runtime::spawn(async move {
            let res = ask.await;
            let done = FetchEvent::Done { id, chunk, res, elapsed: started.elapsed() };
            // The fetch is over when nobody listens.
            let _ = events.send(done).await;
        });
        Job { id, chunk, kind, started, is_hedged: false, _task: task }
    }
}

/// Asks the hosts of better rank, which may hold the chunk unknown to the neighbours.
async fn ask_held(context: &FetchContext, chunk: u32, hosts: &JobHosts) -> Option<Fetched> {
    for host in &hosts.before {
        let ask = context.ask(host, chunk, HELD_WAIT);
        if let Ok(Ok(fetched)) = runtime::timeout(hosts.wait, ask).await {
            return Some(fetched);
        }
    }
    None
}
