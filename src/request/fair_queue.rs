//! Shares a backend server among customers by deficit round robin over estimated tokens.

use std::collections::{HashMap, VecDeque};

use crate::ids::CustomerId;

/// Tokens that a customer of weight 1 may spend in one round.
const QUANTUM_TOKENS: u64 = 512;

/// Names one waiting request.
pub type Ticket = u64;

/// One queue a customer; the customers take turns in proportion to their weights.
///
/// A customer whose queue was empty gets its first turn before those that wait already, for one
/// quantum, so that an overload by one customer does not delay the others by a whole round.
#[derive(Clone, Debug)]
pub struct FairQueue {
    queues: HashMap<CustomerId, CustomerQueue>,
    fresh: VecDeque<CustomerId>,
    round: VecDeque<CustomerId>,
    n_queued: usize,
    queued_tokens: u64,
    max_queued: usize,
    next_ticket: Ticket,
}

#[derive(Clone, Debug)]
struct CustomerQueue {
    weight: u64,
    deficit: u64,
    tokens: u64,
    waiting: VecDeque<Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost_tokens: u64,
}

/// What became of a request that came to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// It waits under the ticket.
    Waits(Ticket),
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

impl FairQueue {
    /// An empty queue that holds at most `max_queued` requests.
    pub fn new(max_queued: usize) -> FairQueue {
        FairQueue {
            queues: HashMap::new(),
            fresh: VecDeque::new(),
            round: VecDeque::new(),
            n_queued: 0,
            queued_tokens: 0,
            max_queued,
            next_ticket: 0,
        }
    }

    /// Adds a request of `customer`.
    pub fn push(&mut self, customer: &str, weight: u32, cost_tokens: u64) -> Enqueued {
        let weight = u64::from(weight.max(1));
        let evicted = if self.n_queued >= self.max_queued {
            let Some(evicted) = self.evict_for(customer, weight) else { return Enqueued::Full };
            Some(evicted)
        } else {
            None
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let queue = self.queues.entry(customer.to_owned()).or_insert_with(|| {
            self.fresh.push_back(customer.to_owned());
            CustomerQueue { weight, deficit: 0, tokens: 0, waiting: VecDeque::new() }
        });
        queue.weight = weight;
        queue.tokens += cost_tokens;
        queue.waiting.push_back(Waiting { ticket, cost_tokens });
        self.n_queued += 1;
        self.queued_tokens += cost_tokens;
        match evicted {
            Some(evicted) => Enqueued::Displaced { ticket, evicted },
            None => Enqueued::Waits(ticket),
        }
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<Ticket> {
        if let Some(ticket) = self.pop_fresh() {
            return Some(ticket);
        }
        loop {
            let customer = self.round.front()?.clone();
            let queue = self.queues.get_mut(&customer).expect("a round names only open queues");
            let Some(head) = queue.waiting.front().copied() else {
                self.round.pop_front();
                self.queues.remove(&customer);
                continue;
            };
            if head.cost_tokens <= queue.deficit {
                return Some(self.take_head(&customer));
            }
            queue.deficit += QUANTUM_TOKENS * queue.weight;
            self.round.rotate_left(1);
        }
    }

    /// Removes a request that no longer waits; says whether it was there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in self.queues.values_mut() {
            let Some(idx) = queue.waiting.iter().position(|it| it.ticket == ticket) else {
                continue;
            };
            let removed = queue.waiting.remove(idx).expect("the position was found");
            queue.tokens -= removed.cost_tokens;
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
        let own = self.queues.get(customer).map_or(0, |it| it.tokens);
        let share = |it: &CustomerQueue| it.tokens.min(own.saturating_mul(it.weight) / weight);
        let others = self.queues.iter().filter(|(name, _)| *name != customer);
        own + others.map(|(_, it)| share(it)).sum::<u64>()
    }

    /// A new customer's first turn: one quantum, then it joins the round.
    fn pop_fresh(&mut self) -> Option<Ticket> {
        while let Some(customer) = self.fresh.pop_front() {
            let queue = self.queues.get_mut(&customer).expect("a turn names only open queues");
            queue.deficit += QUANTUM_TOKENS * queue.weight;
            let head = queue.waiting.front().copied();
            let is_in_turn = head.is_some_and(|it| it.cost_tokens <= queue.deficit);
            self.round.push_back(customer.clone());
            if is_in_turn {
                return Some(self.take_head(&customer));
            }
        }
        None
    }

    fn take_head(&mut self, customer: &str) -> Ticket {
        let queue = self.queues.get_mut(customer).expect("the caller looked the queue up");
        let head = queue.waiting.pop_front().expect("the caller saw a head");
        queue.deficit -= head.cost_tokens;
        queue.tokens -= head.cost_tokens;
        self.n_queued -= 1;
        self.queued_tokens -= head.cost_tokens;
        if queue.waiting.is_empty() {
            queue.deficit = 0;
        }
        head.ticket
    }

    /// Makes room by the newest request of the queue that is longest for its weight.
    fn evict_for(&mut self, customer: &str, weight: u64) -> Option<Ticket> {
        let own = self.queues.get(customer).map_or(0, |it| it.waiting.len() as u64) + 1;
        let relative = |it: &CustomerQueue| it.waiting.len() as u64 * SCALE / it.weight;
        let longest = self.queues.iter().max_by_key(|(name, it)| (relative(it), *name))?;
        let (name, queue) = (longest.0.clone(), longest.1);
        if name == customer || relative(queue) <= own * SCALE / weight {
            return None;
        }
        let ticket = queue.waiting.back()?.ticket;
        self.remove(ticket);
        Some(ticket)
    }
}

/// Factor that keeps fractions in the comparison of queue lengths by weight.
const SCALE: u64 = 1 << 16;
