//! The state of one neighbour during a fetch.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Sender;
use async_executor::Task;

use crate::{
    ids::HostId,
    membership::MemberRecord,
    peer::HaveResponse,
    runtime,
    weights::{
        chunk_picker::PeerView, deadlines, fetch_context::FetchContext, fetcher::FetchEvent,
    },
};

/// Longest wait at the neighbour for new chunks in one call.
const AVAILABILITY_WAIT: Duration = Duration::from_secs(10);
/// Delay after the first failed availability call; doubled with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after failures.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of requests in flight to one neighbour.
const MAX_REQUESTS: u32 = 3;

/// A neighbour, the chunks that it has, and how fast it responds.
///
/// A task polls it for new chunks; dropping the neighbour ends that task.
#[derive(Debug)]
pub(crate) struct Neighbour {
    pub(crate) record: Arc<MemberRecord>,
    pub(crate) has_chunk: Vec<bool>,
    pub(crate) n_known: u32,
    pub(crate) has_responded: bool,
    pub(crate) n_requests: u32,
    queued: u32,
    response_time: Option<Duration>,
    backoff_until: Option<Instant>,
    _poll_task: Task<()>,
}

impl Neighbour {
    pub(crate) fn new(
        record: Arc<MemberRecord>,
        context: &FetchContext,
        events: Sender<FetchEvent>,
    ) -> Neighbour {
        let poll_task = runtime::spawn(poll_availability(record.clone(), context.clone(), events));
        Neighbour {
            record,
            has_chunk: vec![false; context.inventory.manifest().chunks.len()],
            n_known: 0,
            has_responded: false,
            n_requests: 0,
            queued: 0,
            response_time: None,
            backoff_until: None,
            _poll_task: poll_task,
        }
    }

    /// Returns the state that the choice of the next chunk uses.
    pub(crate) fn view(&self, now: Instant) -> PeerView<'_> {
        let is_backing_off = self.backoff_until.is_some_and(|it| it > now);
        PeerView {
            has_chunk: &self.has_chunk,
            load: self.queued + self.n_requests,
            is_available: !is_backing_off && self.n_requests < MAX_REQUESTS,
        }
    }

    /// Adds the chunks that the neighbour reported as new.
    pub(crate) fn add_chunks(&mut self, response: &HaveResponse) {
        if response.total < self.n_known {
            self.has_chunk.fill(false);
        }
        for idx in &response.since {
            if let Some(has_chunk) = self.has_chunk.get_mut(*idx as usize) {
                *has_chunk = true;
            }
        }
        self.n_known = response.total;
    }

    /// Clears the list of the neighbour's chunks; its next response has the full list.
    pub(crate) fn forget_chunks(&mut self) {
        self.has_chunk.fill(false);
        self.n_known = 0;
    }

    /// Records how long a response took and how many requests are queued at the neighbour.
    pub(crate) fn record_response(&mut self, elapsed: Duration, queued: u32) {
        self.response_time = Some(deadlines::mean_response_time(self.response_time, elapsed));
        self.queued = queued;
    }

    /// Records that a response is late, and backs off for the elapsed time.
    ///
    /// The elapsed time becomes the response time if it is longer than the mean so far.
    pub(crate) fn record_late_response(&mut self, elapsed: Duration, now: Instant) {
        self.response_time = Some(self.response_time.map_or(elapsed, |it| it.max(elapsed)));
        self.back_off_until(now + elapsed);
    }

    /// Makes the neighbour unavailable for requests until `until`.
    pub(crate) fn back_off_until(&mut self, until: Instant) {
        self.backoff_until = Some(self.backoff_until.map_or(until, |it| it.max(until)));
    }

    /// Returns the delay after which a request to the neighbour is hedged.
    pub(crate) fn hedge_delay(&self, chunk_time: Duration) -> Duration {
        deadlines::hedge_delay(self.response_time, chunk_time)
    }

    /// Returns the neighbour's host id.
    pub(crate) fn host(&self) -> &HostId {
        &self.record.host
    }
}

/// Polls a neighbour for its chunks; each call waits at the neighbour until it has new ones.
async fn poll_availability(
    record: Arc<MemberRecord>,
    context: FetchContext,
    events: Sender<FetchEvent>,
) {
    let mut n_known = 0;
    let mut delay = FIRST_RETRY_DELAY;
    let mut wait = Duration::ZERO;
    loop {
        let response = context.request_availability(record.peer_address, n_known, wait).await;
        let is_reachable = response.is_ok();
        let response = response.ok().flatten();
        n_known = response.as_ref().map_or(0, |it| it.total);
        wait = AVAILABILITY_WAIT;
        let event = FetchEvent::Availability { host: record.host.clone(), response };
        if events.send(event).await.is_err() {
            return;
        }
        if is_reachable {
            delay = FIRST_RETRY_DELAY;
            continue;
        }
        runtime::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
