//! Shares a backend server among customers by start-time fair queueing over estimated tokens.
//!
//! Each customer has a queue and a virtual clock that advances by the tokens that it spends, over
//! its weight. The request of the customer whose clock is furthest behind goes next, so one that
//! stays under its share does not wait behind the backlog of another. A few places are kept free
//! for customers that hold less than their share of the places, while there are others.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::ids::CustomerId;

/// Factor that keeps fractions when tokens are divided by weights.
const FIXED_POINT_SCALE: u64 = 1 << 16;
/// One of so many places is kept free for customers under their share.
const RESERVED_CONCURRENCY_DIVISOR: usize = 8;
/// Time over which the places that a customer holds are averaged.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Factor by which the mean may exceed the share before a customer counts as over it.
const SHARE_TOLERANCE: f64 = 1.05;
/// Time for which a customer without requests still counts when places are shared out.
const INACTIVE_AFTER: Duration = Duration::from_secs(10);

/// Names one waiting request.
pub type Ticket = u64;

/// One bounded queue a customer, served in the order of virtual time.
#[derive(Clone, Debug)]
pub struct FairQueue {
    queues: HashMap<CustomerId, CustomerQueue>,
    /// Start of the request that went last, in scaled tokens.
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
    /// Virtual time at which the customer's next request starts.
    virtual_start: u64,
    queued_tokens: u64,
    waiting: VecDeque<WaitingRequest>,
    n_running: usize,
    /// Running mean of the places held.
    mean_running: f64,
    /// Last time, on the caller's clock, at which the customer sent a request or had an answer.
    last_active: Duration,
}

impl CustomerQueue {
    /// Brings the running mean up to `now`.
    fn update_mean(&mut self, now: Duration) {
        let elapsed_constants =
            now.saturating_sub(self.last_active).as_secs_f64() / MEAN_TIME_CONSTANT.as_secs_f64();
        self.mean_running +=
            (self.n_running as f64 - self.mean_running) * (1.0 - (-elapsed_constants).exp());
        self.last_active = now;
    }
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    cost_tokens: u64,
}

/// What became of a request that came to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// It waits under the ticket.
    Queued(Ticket),
    /// It waits under `ticket`; the newest request of the longest queue had to leave.
    Displaced {
        /// Ticket of the request that came.
        ticket: Ticket,
        /// Ticket of the request that left.
        evicted: Ticket,
    },
    /// The queue is full and the customer's own share of it is the greatest.
    Full,
}

/// A request that was given a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    /// The request.
    pub ticket: Ticket,
    /// Whose place it is.
    pub customer: CustomerId,
}

impl FairQueue {
    /// An empty queue of at most `max_queued` requests before `concurrency` places to run.
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

    /// Adds a request of `customer` at the time `now` of the caller's clock.
    pub fn push(
        &mut self,
        customer: &str,
        weight: u32,
        cost_tokens: u64,
        now: Duration,
    ) -> Enqueued {
        let weight = u64::from(weight.max(1));
        let mut evicted = None;
        if self.n_queued >= self.max_queued {
            evicted = self.evict_for(customer, weight);
            if evicted.is_none() {
                return Enqueued::Full;
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
            Some(evicted) => Enqueued::Displaced { ticket, evicted },
            None => Enqueued::Queued(ticket),
        }
    }

    /// Gives a free place to the request whose turn it is, if one may start now.
    ///
    /// Of equal turns the one that came first goes. The place is held until `finish`.
    pub fn pop(&mut self, now: Duration) -> Option<Started> {
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
        Some(Started { ticket: head.ticket, customer: customer.clone() })
    }

    /// Frees the place of a request of `customer` that `pop` started.
    pub fn finish(&mut self, customer: &str, now: Duration) {
        let Some(queue) = self.queues.get_mut(customer) else { return };
        queue.update_mean(now);
        queue.n_running -= 1;
        self.n_running -= 1;
    }

    /// Number of requests that hold a place.
    pub fn n_running(&self) -> usize {
        self.n_running
    }

    /// Removes a request that no longer waits; says whether it was there.
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

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.n_queued
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.n_queued == 0
    }

    /// Tokens of all waiting requests.
    pub fn total_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Tokens that are expected to run before a new request of `customer` has its turn.
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

    /// Makes room by the newest request of the queue that is longest for its weight.
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
