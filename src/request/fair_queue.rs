//! Shares a backend server among customers by start-time fair queueing over estimated tokens.
//!
//! Each customer has a queue and a virtual start time, which advances by the tokens of each started
//! request, divided by the customer's weight. The queue with the smallest virtual start time is
//! served next, so a customer under its share does not wait behind the backlog of another. A part
//! of the concurrency is reserved for customers that run less than their share, while several
//! customers are active.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::ids::CustomerId;

/// Scale of the fixed-point numbers that result when tokens are divided by weights.
const FIXED_POINT_SCALE: u64 = 1 << 16;
/// Divisor of the concurrency that yields the part reserved for customers under their share.
const RESERVED_CONCURRENCY_DIVISOR: usize = 8;
/// Time constant of the moving average of a customer's running requests.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Ratio of the average to the share above which a customer counts as over its share.
const SHARE_TOLERANCE: f64 = 1.05;
/// Time without requests after which a customer no longer counts when shares are computed.
const INACTIVE_AFTER: Duration = Duration::from_secs(10);

/// The identifier of a queued request.
pub type Ticket = u64;

/// A bounded queue that schedules requests by start-time fair queueing.
///
/// It keeps one customer's overload from delaying the requests of the others. Times are passed in,
/// as readings of the caller's clock.
#[derive(Clone, Debug)]
pub struct FairQueue {
    queues: HashMap<CustomerId, CustomerQueue>,
    /// Greatest virtual start time of a request started so far, in scaled tokens.
    virtual_time: u64,
    n_queued: usize,
    queued_tokens: u64,
    max_queued: usize,
    concurrency: usize,
    n_running: usize,
    next_ticket: Ticket,
}

#[derive(Clone, Debug)]
struct CustomerQueue {
    weight: u64,
    /// Virtual start time of the customer's next request.
    virtual_start: u64,
    queued_tokens: u64,
    waiting: VecDeque<WaitingRequest>,
    n_running: usize,
    /// Exponential moving average of the number of running requests.
    mean_running: f64,
    /// Time, on the caller's clock, at which a request of the customer was last queued, started or
    /// finished.
    last_active: Duration,
}

impl CustomerQueue {
    /// Updates the moving average to the time `now`.
    fn update_mean(&mut self, now: Duration) {
        let n_time_constants =
            now.saturating_sub(self.last_active).as_secs_f64() / MEAN_TIME_CONSTANT.as_secs_f64();
        self.mean_running +=
            (self.n_running as f64 - self.mean_running) * (1.0 - (-n_time_constants).exp());
        self.last_active = now;
    }
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    cost_tokens: u64,
}

/// The outcome of adding a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The request is queued under the ticket.
    Queued(Ticket),
    /// The request is queued; the newest request of the longest queue, relative to its weight, was
    /// evicted.
    Displaced {
        /// Ticket of the request that was added.
        ticket: Ticket,
        /// Ticket of the request that was evicted.
        evicted: Ticket,
    },
    /// The request is refused: the queue is full, and no other customer's queue is longer relative
    /// to its weight.
    Full,
}

/// A request that was removed from the queue to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Customer of the request.
    pub customer: CustomerId,
}

impl FairQueue {
    /// Creates an empty queue of at most `max_queued` requests.
    ///
    /// Running requests do not count as queued; `pop` lets at most `concurrency` run at once.
    pub fn new(max_queued: usize, concurrency: usize) -> FairQueue {
        FairQueue {
            queues: HashMap::new(),
            virtual_time: 0,
            n_queued: 0,
            queued_tokens: 0,
            max_queued,
            concurrency,
            n_running: 0,
            next_ticket: 0,
        }
    }

    /// Adds a request of `customer` at the time `now`.
    pub fn push(
        &mut self,
        customer: &str,
        weight: u32,
        cost_tokens: u64,
        now: Duration,
    ) -> PushOutcome {
        let weight = u64::from(weight.max(1));
        let mut evicted = None;
        if self.n_queued >= self.max_queued {
            evicted = self.evict_for(customer, weight);
            if evicted.is_none() {
                return PushOutcome::Full;
            }
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let virtual_time = self.virtual_time;
        let queue = self.queues.entry(customer.to_owned()).or_insert_with(|| CustomerQueue {
            weight,
            virtual_start: virtual_time,
            queued_tokens: 0,
            waiting: VecDeque::new(),
            n_running: 0,
            mean_running: 0.0,
            last_active: now,
        });
        if queue.waiting.is_empty() {
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        queue.weight = weight;
        queue.update_mean(now);
        queue.queued_tokens += cost_tokens;
        queue.waiting.push_back(WaitingRequest { ticket, cost_tokens });
        self.n_queued += 1;
        self.queued_tokens += cost_tokens;
        match evicted {
            Some(evicted) => PushOutcome::Displaced { ticket, evicted },
            None => PushOutcome::Queued(ticket),
        }
    }

    /// Removes and returns the request to start next, if one may start now.
    ///
    /// Of equal virtual start times the request that was added first starts. It counts as running
    /// until `finish`.
    pub fn pop(&mut self, now: Duration) -> Option<StartedRequest> {
        let n_free = self.concurrency.saturating_sub(self.n_running);
        if n_free == 0 {
            return None;
        }
        self.remove_inactive(now);
        let is_reserved = n_free <= self.concurrency / RESERVED_CONCURRENCY_DIVISOR;
        let all_weights: u64 = self.queues.values().map(|it| it.weight).sum();
        let concurrency_per_weight = self.concurrency as f64 / all_weights as f64;
        let is_under_share = |it: &CustomerQueue| {
            it.mean_running <= SHARE_TOLERANCE * concurrency_per_weight * it.weight as f64
        };
        let may_start = |it: &CustomerQueue| !is_reserved || is_under_share(it);
        let waiting = self.queues.iter_mut().filter(|(_, it)| !it.waiting.is_empty());
        let (customer, next) = waiting
            .filter(|(_, it)| may_start(it))
            .min_by_key(|(_, it)| (it.virtual_start, it.waiting.front().map(|head| head.ticket)))?;
        let head = next.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(next.virtual_start);
        next.virtual_start += head.cost_tokens * FIXED_POINT_SCALE / next.weight;
        next.queued_tokens -= head.cost_tokens;
        next.update_mean(now);
        next.n_running += 1;
        self.n_running += 1;
        self.n_queued -= 1;
        self.queued_tokens -= head.cost_tokens;
        Some(StartedRequest { ticket: head.ticket, customer: customer.clone() })
    }

    /// Counts the end of a request of `customer` that `pop` returned.
    pub fn finish(&mut self, customer: &str, now: Duration) {
        let Some(queue) = self.queues.get_mut(customer) else { return };
        queue.update_mean(now);
        queue.n_running -= 1;
        self.n_running -= 1;
    }

    /// Returns the number of running requests.
    pub fn n_running(&self) -> usize {
        self.n_running
    }

    /// Removes a queued request and returns `true` if it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in self.queues.values_mut() {
            let Some(idx) = queue.waiting.iter().position(|it| it.ticket == ticket) else {
                continue;
            };
            let removed = queue.waiting.remove(idx).expect("the position was found");
            queue.queued_tokens -= removed.cost_tokens;
            self.n_queued -= 1;
            self.queued_tokens -= removed.cost_tokens;
            return true;
        }
        false
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.n_queued
    }

    /// Returns `true` if no request is queued.
    pub fn is_empty(&self) -> bool {
        self.n_queued == 0
    }

    /// Returns the tokens of all queued requests.
    pub fn total_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Returns the queued tokens that are expected to run before a new request of `customer`.
    pub fn tokens_ahead(&self, customer: &str, weight: u32) -> u64 {
        let weight = u64::from(weight.max(1));
        let own = self.queues.get(customer).map_or(0, |it| it.queued_tokens);
        let share =
            |it: &CustomerQueue| it.queued_tokens.min(own.saturating_mul(it.weight) / weight);
        let others = self.queues.iter().filter(|(name, _)| *name != customer);
        own + others.map(|(_, it)| share(it)).sum::<u64>()
    }

    fn remove_inactive(&mut self, now: Duration) {
        self.queues.retain(|_, it| {
            let is_busy = it.n_running > 0 || !it.waiting.is_empty();
            is_busy || it.last_active + INACTIVE_AFTER > now
        });
    }

    /// Evicts the newest request of the queue that is longest relative to its weight.
    ///
    /// Evicts nothing if that is the queue of `customer`, or if it is at most as long as the queue
    /// of `customer` would be with the new request.
    fn evict_for(&mut self, customer: &str, weight: u64) -> Option<Ticket> {
        let own = self.queues.get(customer).map_or(0, |it| it.waiting.len() as u64) + 1;
        let weighted_len =
            |it: &CustomerQueue| it.waiting.len() as u64 * FIXED_POINT_SCALE / it.weight;
        let longest = self.queues.iter().max_by_key(|(name, it)| (weighted_len(it), *name))?;
        let (name, queue) = longest;
        if name == customer || weighted_len(queue) <= own * FIXED_POINT_SCALE / weight {
            return None;
        }
        let ticket = queue.waiting.back()?.ticket;
        self.remove(ticket);
        Some(ticket)
    }
}
