//! Bounds the number of requests that run at a slot's backend server at once.
//!
//! The other requests wait in a fair queue.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_channel::Sender;
use http_types::StatusCode;

use crate::{
    ids::CustomerId,
    request::{
        failure::Failure,
        fair_queue::{FairQueue, PushOutcome, StartedRequest, Ticket},
    },
};

/// Weight of the newest sample in the exponential moving average of the time per token.
const EWMA_WEIGHT: f64 = 0.1;

/// The properties of a request that determine when it may run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedWork<'a> {
    /// Customer of the request.
    pub(crate) customer: &'a str,
    /// Weight of the customer in the charter.
    pub(crate) weight: u32,
    /// Estimated cost of the request in tokens.
    pub(crate) cost_tokens: u64,
    /// Whether no other request may run at the same time.
    pub(crate) is_exclusive: bool,
    /// Deadline of the sender.
    pub(crate) deadline: Instant,
}

/// The load of a slot, as reported to entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueLoad {
    /// Number of queued requests.
    pub(crate) n_queued: usize,
    /// Number of requests that run at the backend server.
    pub(crate) n_running: usize,
    /// Expected wait of a new request.
    pub(crate) wait_ms: Duration,
}

/// Admits requests to a backend server in the order of the fair queue, up to its concurrency.
///
/// It keeps the backend server from overload: requests are refused or evicted when the queue is
/// full, and refused when their deadline can't be met.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimiter {
    state: Mutex<LimiterState>,
    concurrency: usize,
    created: Instant,
}

#[derive(Debug)]
struct LimiterState {
    queue: FairQueue,
    waiters: HashMap<Ticket, Waiter>,
    /// The exclusive request that runs next: it left the queue and waits until all others ended.
    next_exclusive: Option<ExclusiveWaiter>,
    is_exclusive_running: bool,
    seconds_per_token: f64,
}

#[derive(Debug)]
struct Waiter {
    sender: Sender<QueueOutcome>,
    is_exclusive: bool,
}

#[derive(Debug)]
struct ExclusiveWaiter {
    waiter: Waiter,
    started: StartedRequest,
}

#[derive(Debug)]
enum QueueOutcome {
    Admitted(ConcurrencyPermit),
    Evicted,
}

impl ConcurrencyLimiter {
    /// Creates a limiter that runs `concurrency` requests at once.
    ///
    /// A request enters the queue even if it can run at once, so the queue has room for
    /// `max_queued + concurrency` requests.
    pub(crate) fn new(concurrency: usize, max_queued: usize) -> Arc<ConcurrencyLimiter> {
        let state = LimiterState {
            queue: FairQueue::new(max_queued + concurrency, concurrency),
            waiters: HashMap::new(),
            next_exclusive: None,
            is_exclusive_running: false,
            seconds_per_token: 0.0,
        };
        Arc::new(ConcurrencyLimiter {
            state: Mutex::new(state),
            concurrency,
            created: Instant::now(),
        })
    }

    /// Waits until `work` may run; a failure has the verdict not-run.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        work: QueuedWork<'_>,
    ) -> Result<ConcurrencyPermit, Failure> {
        let (ticket, receiver) = self.enqueue(work)?;
        let mut queue_guard = QueueGuard { limiter: self, ticket: Some(ticket) };
        self.dispatch();
        let time_left = self.latest_start(work).saturating_duration_since(Instant::now());
        let outcome = crate::runtime::timeout(time_left, receiver.recv()).await;
        match outcome {
            Ok(Ok(QueueOutcome::Admitted(permit))) => {
                queue_guard.ticket = None;
                Ok(permit)
            }
            Ok(Ok(QueueOutcome::Evicted) | Err(_)) => {
                queue_guard.ticket = None;
                Err(queue_full(self.load().wait_ms))
            }
            Err(_) => Err(deadline_unreachable(self.load().wait_ms)),
        }
    }

    /// Returns the current load.
    pub(crate) fn load(&self) -> QueueLoad {
        let state = self.state.lock().unwrap();
        QueueLoad {
            n_queued: state.queue.len(),
            n_running: state.queue.n_running(),
            wait_ms: self.expected_wait(&state, state.queue.total_tokens()),
        }
    }

    /// Returns the instant after which a start would miss the deadline.
    fn latest_start(&self, work: QueuedWork<'_>) -> Instant {
        let service = self.state.lock().unwrap().service_time(work.cost_tokens);
        work.deadline.checked_sub(service).unwrap_or(work.deadline)
    }

    fn enqueue(
        &self,
        work: QueuedWork<'_>,
    ) -> Result<(Ticket, async_channel::Receiver<QueueOutcome>), Failure> {
        let mut state = self.state.lock().unwrap();
        let ahead = state.queue.tokens_ahead(work.customer, work.weight);
        let is_waiting = state.queue.n_running() >= self.concurrency;
        let wait = self.expected_wait(&state, ahead);
        let service = state.service_time(work.cost_tokens);
        if is_waiting && Instant::now() + wait + service > work.deadline {
            return Err(deadline_unreachable(wait));
        }
        let now = self.created.elapsed();
        let (sender, receiver) = async_channel::bounded(1);
        let mut evicted = None;
        let ticket = match state.queue.push(work.customer, work.weight, work.cost_tokens, now) {
            PushOutcome::Queued(ticket) => ticket,
            PushOutcome::Displaced { ticket, evicted: evicted_ticket } => {
                evicted = state.waiters.remove(&evicted_ticket);
                ticket
            }
            PushOutcome::Full => return Err(queue_full(wait)),
        };
        state.waiters.insert(ticket, Waiter { sender, is_exclusive: work.is_exclusive });
        drop(state);
        if let Some(waiter) = evicted {
            let _ = waiter.sender.try_send(QueueOutcome::Evicted);
        }
        Ok((ticket, receiver))
    }

    /// Admits all requests that may run now.
    fn dispatch(self: &Arc<Self>) {
        loop {
            let mut state = self.state.lock().unwrap();
            let Some((waiter, started)) = state.next_waiter(self.created.elapsed()) else { return };
            state.is_exclusive_running = waiter.is_exclusive;
            drop(state);
            let permit = ConcurrencyPermit {
                limiter: self.clone(),
                customer: started.customer,
                is_exclusive: waiter.is_exclusive,
                started: Instant::now(),
                cost_tokens: 0,
            };
            let _ = waiter.sender.try_send(QueueOutcome::Admitted(permit));
        }
    }

    fn release(self: &Arc<Self>, permit: &ConcurrencyPermit) {
        let mut state = self.state.lock().unwrap();
        state.queue.finish(&permit.customer, self.created.elapsed());
        if permit.is_exclusive {
            state.is_exclusive_running = false;
        }
        if permit.cost_tokens > 0 {
            let sample = permit.started.elapsed().as_secs_f64() / permit.cost_tokens as f64;
            let previous = state.seconds_per_token;
            let mean =
                if previous == 0.0 { sample } else { previous + EWMA_WEIGHT * (sample - previous) };
            state.seconds_per_token = mean;
        }
        drop(state);
        self.dispatch();
    }

    fn cancel(self: &Arc<Self>, ticket: Ticket) {
        let mut state = self.state.lock().unwrap();
        state.queue.remove(ticket);
        state.waiters.remove(&ticket);
        if let Some(exclusive) = state.next_exclusive.take_if(|it| it.started.ticket == ticket) {
            state.queue.finish(&exclusive.started.customer, self.created.elapsed());
        }
        drop(state);
        self.dispatch();
    }

    fn expected_wait(&self, state: &LimiterState, tokens_ahead: u64) -> Duration {
        let seconds = tokens_ahead as f64 * state.seconds_per_token / self.concurrency as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

impl LimiterState {
    /// Returns the time that the backend server is expected to need for a request.
    fn service_time(&self, cost_tokens: u64) -> Duration {
        let seconds = cost_tokens as f64 * self.seconds_per_token;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the next waiter that may run now.
    ///
    /// An exclusive request counts as running while it waits for the others to end; no other
    /// request starts in the meantime.
    fn next_waiter(&mut self, now: Duration) -> Option<(Waiter, StartedRequest)> {
        if self.is_exclusive_running {
            return None;
        }
        if let Some(exclusive) = self.next_exclusive.take() {
            if self.queue.n_running() > 1 {
                self.next_exclusive = Some(exclusive);
                return None;
            }
            return Some((exclusive.waiter, exclusive.started));
        }
        loop {
            let started = self.queue.pop(now)?;
            let Some(waiter) = self.waiters.remove(&started.ticket) else {
                self.queue.finish(&started.customer, now);
                continue;
            };
            if waiter.is_exclusive && self.queue.n_running() > 1 {
                self.next_exclusive = Some(ExclusiveWaiter { waiter, started });
                return None;
            }
            return Some((waiter, started));
        }
    }
}

/// A permit to run at the backend server; dropping it admits the next request.
#[derive(Debug)]
pub(crate) struct ConcurrencyPermit {
    limiter: Arc<ConcurrencyLimiter>,
    customer: CustomerId,
    is_exclusive: bool,
    started: Instant,
    cost_tokens: u64,
}

impl ConcurrencyPermit {
    /// Includes the request in the average time per token, as a request of `cost_tokens`.
    ///
    /// The time measured is that from admission until the permit is dropped. Without this call the
    /// request does not count in the average.
    pub(crate) fn record_cost(&mut self, cost_tokens: u64) {
        self.cost_tokens = cost_tokens;
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        let limiter = self.limiter.clone();
        limiter.release(self);
    }
}

/// Removes a request from the queue when its sender stops waiting.
struct QueueGuard<'a> {
    limiter: &'a Arc<ConcurrencyLimiter>,
    ticket: Option<Ticket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.limiter.cancel(ticket);
        }
    }
}

fn queue_full(wait: Duration) -> Failure {
    let message = "the host's queue is full; retry after the time in Retry-After";
    Failure::not_run(StatusCode::TooManyRequests, message).with_retry_after(wait)
}

fn deadline_unreachable(wait: Duration) -> Failure {
    let message =
        "the deadline can't be met; retry after the time in Retry-After or set a later deadline";
    Failure::not_run(StatusCode::TooManyRequests, message).with_retry_after(wait)
}
