//! The only way to the backend server of a slot: a bounded number of requests at once, fairly.

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
        fair_queue::{Enqueued, FairQueue, Started, Ticket},
    },
};

/// Weight of the newest measurement in the running mean of the time a token takes.
const NEWEST_WEIGHT: f64 = 0.1;

/// Work that wants to pass the gate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work<'a> {
    /// Whose request it is.
    pub(crate) customer: &'a str,
    /// The customer's weight in the charter.
    pub(crate) weight: u32,
    /// Estimated work in tokens.
    pub(crate) cost_tokens: u64,
    /// Whether nothing else may run beside it.
    pub(crate) is_alone: bool,
    /// Instant until which the sender waits.
    pub(crate) deadline: Instant,
}

/// Load of a slot, as entry hosts are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GateLoad {
    /// Requests that wait.
    pub(crate) n_queued: usize,
    /// Requests at the backend server.
    pub(crate) n_running: usize,
    /// Wait that a new request must expect.
    pub(crate) wait_ms: Duration,
}

/// Lets requests pass in the order of the fair queue.
#[derive(Debug)]
pub(crate) struct SlotGate {
    state: Mutex<GateState>,
    concurrency: usize,
    opened: Instant,
}

#[derive(Debug)]
struct GateState {
    queue: FairQueue,
    waiters: HashMap<Ticket, Waiter>,
    /// A request that has its place but waits until it is alone.
    next_alone: Option<Alone>,
    is_alone_running: bool,
    seconds_per_token: f64,
}

#[derive(Debug)]
struct Waiter {
    sender: Sender<Grant>,
    is_alone: bool,
}

#[derive(Debug)]
struct Alone {
    waiter: Waiter,
    started: Started,
}

#[derive(Debug)]
enum Grant {
    Pass(GatePass),
    Evicted,
}

impl SlotGate {
    /// A gate that lets `concurrency` requests run at once while `max_queued` wait.
    pub(crate) fn new(concurrency: usize, max_queued: usize) -> Arc<SlotGate> {
        let state = GateState {
            queue: FairQueue::new(max_queued + concurrency, concurrency),
            waiters: HashMap::new(),
            next_alone: None,
            is_alone_running: false,
            seconds_per_token: 0.0,
        };
        Arc::new(SlotGate { state: Mutex::new(state), concurrency, opened: Instant::now() })
    }

    /// Waits for the turn of `work`; a failure says that it did not run.
    pub(crate) async fn enter(self: &Arc<Self>, work: Work<'_>) -> Result<GatePass, Failure> {
        let (ticket, receiver) = self.enqueue(work)?;
        let mut place = QueuePlace { gate: self, ticket: Some(ticket) };
        self.dispatch();
        let left = self.latest_start(work).saturating_duration_since(Instant::now());
        let grant = crate::runtime::timeout(left, receiver.recv()).await;
        match grant {
            Ok(Ok(Grant::Pass(pass))) => {
                place.ticket = None;
                Ok(pass)
            }
            Ok(Ok(Grant::Evicted) | Err(_)) => {
                place.ticket = None;
                Err(full(self.load().wait_ms))
            }
            Err(_) => Err(late(self.load().wait_ms)),
        }
    }

    /// The load now.
    pub(crate) fn load(&self) -> GateLoad {
        let state = self.state.lock().unwrap();
        GateLoad {
            n_queued: state.queue.len(),
            n_running: state.queue.n_running(),
            wait_ms: self.expected_wait(&state, state.queue.total_tokens()),
        }
    }

    /// The instant from which on the answer would come after the deadline.
    fn latest_start(&self, work: Work<'_>) -> Instant {
        let service = self.state.lock().unwrap().service_time(work.cost_tokens);
        work.deadline.checked_sub(service).unwrap_or(work.deadline)
    }

    fn enqueue(&self, work: Work<'_>) -> Result<(Ticket, async_channel::Receiver<Grant>), Failure> {
        let mut state = self.state.lock().unwrap();
        let ahead = state.queue.tokens_ahead(work.customer, work.weight);
        let is_waiting = state.queue.n_running() >= self.concurrency;
        let wait = self.expected_wait(&state, ahead);
        let service = state.service_time(work.cost_tokens);
        if is_waiting && Instant::now() + wait + service > work.deadline {
            return Err(late(wait));
        }
        let now = self.opened.elapsed();
        let (sender, receiver) = async_channel::bounded(1);
        let mut evicted = None;
        let ticket = match state.queue.push(work.customer, work.weight, work.cost_tokens, now) {
            Enqueued::Waits(ticket) => ticket,
            Enqueued::Displaced { ticket, evicted: left } => {
                evicted = state.waiters.remove(&left);
                ticket
            }
            Enqueued::Full => return Err(full(wait)),
        };
        state.waiters.insert(ticket, Waiter { sender, is_alone: work.is_alone });
        drop(state);
        if let Some(waiter) = evicted {
            let _ = waiter.sender.try_send(Grant::Evicted);
        }
        Ok((ticket, receiver))
    }

    /// Lets as many requests pass as may run now.
    fn dispatch(self: &Arc<Self>) {
        loop {
            let mut state = self.state.lock().unwrap();
            let Some((waiter, started)) = state.next(self.opened.elapsed()) else { return };
            state.is_alone_running = waiter.is_alone;
            drop(state);
            let pass = GatePass {
                gate: self.clone(),
                customer: started.customer,
                is_alone: waiter.is_alone,
                started: Instant::now(),
                cost: 0,
            };
            let _ = waiter.sender.try_send(Grant::Pass(pass));
        }
    }

    fn leave(self: &Arc<Self>, pass: &GatePass) {
        let mut state = self.state.lock().unwrap();
        state.queue.finish(&pass.customer, self.opened.elapsed());
        if pass.is_alone {
            state.is_alone_running = false;
        }
        if pass.cost > 0 {
            let newest = pass.started.elapsed().as_secs_f64() / pass.cost as f64;
            let old = state.seconds_per_token;
            let mean = if old == 0.0 { newest } else { old + NEWEST_WEIGHT * (newest - old) };
            state.seconds_per_token = mean;
        }
        drop(state);
        self.dispatch();
    }

    fn give_up(self: &Arc<Self>, ticket: Ticket) {
        let mut state = self.state.lock().unwrap();
        state.queue.remove(ticket);
        state.waiters.remove(&ticket);
        if let Some(alone) = state.next_alone.take_if(|it| it.started.ticket == ticket) {
            state.queue.finish(&alone.started.customer, self.opened.elapsed());
        }
        drop(state);
        self.dispatch();
    }

    fn expected_wait(&self, state: &GateState, tokens_ahead: u64) -> Duration {
        let seconds = tokens_ahead as f64 * state.seconds_per_token / self.concurrency as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

impl GateState {
    /// Time that the backend server is expected to need for a request.
    fn service_time(&self, cost_tokens: u64) -> Duration {
        let seconds = cost_tokens as f64 * self.seconds_per_token;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// The waiter that may run now, with the place that it got.
    ///
    /// One that must run alone holds its place until the others have ended; nothing starts then.
    fn next(&mut self, now: Duration) -> Option<(Waiter, Started)> {
        if self.is_alone_running {
            return None;
        }
        if let Some(alone) = self.next_alone.take() {
            if self.queue.n_running() > 1 {
                self.next_alone = Some(alone);
                return None;
            }
            return Some((alone.waiter, alone.started));
        }
        loop {
            let started = self.queue.pop(now)?;
            let Some(waiter) = self.waiters.remove(&started.ticket) else {
                self.queue.finish(&started.customer, now);
                continue;
            };
            if waiter.is_alone && self.queue.n_running() > 1 {
                self.next_alone = Some(Alone { waiter, started });
                return None;
            }
            return Some((waiter, started));
        }
    }
}

/// Leave to run at the backend server; dropping it lets the next request pass.
#[derive(Debug)]
pub(crate) struct GatePass {
    gate: Arc<SlotGate>,
    customer: CustomerId,
    is_alone: bool,
    started: Instant,
    cost: u64,
}

impl GatePass {
    /// Counts the time until the pass is dropped as the time that `cost_tokens` take.
    pub(crate) fn measure(&mut self, cost_tokens: u64) {
        self.cost = cost_tokens;
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        let gate = self.gate.clone();
        gate.leave(self);
    }
}

/// A place in the queue, given up when its request no longer waits.
struct QueuePlace<'a> {
    gate: &'a Arc<SlotGate>,
    ticket: Option<Ticket>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.gate.give_up(ticket);
        }
    }
}

fn full(wait: Duration) -> Failure {
    let message = "the queue of this host is full; send it again after Retry-After";
    Failure::not_run(StatusCode::TooManyRequests, message).with_retry_after(wait)
}

fn late(wait: Duration) -> Failure {
    let message = "the deadline can't be met; send it again after Retry-After or allow more time";
    Failure::not_run(StatusCode::TooManyRequests, message).with_retry_after(wait)
}
