//! The fair queue keeps one customer's overload from delaying the requests of the others.
//!
//! The tests simulate a backend server with a fixed number of slots in virtual time, with the same
//! arrivals for a first-come, first-served queue and for the fair queue.

use std::{collections::VecDeque, time::Duration};

use crocustiller::request::{FairQueue, PushOutcome, Ticket};

/// The number of requests that the backend server processes at the same time.
const N_SLOTS: usize = 8;
/// The time to generate one token, in milliseconds.
const TOKEN_MS: f64 = 2.0;
/// The duration of a simulation, in milliseconds.
const RUN_MS: f64 = 2_000_000.0;
/// The maximum number of queued requests.
const MAX_QUEUED: usize = 400;

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: f64,
    customer: usize,
    cost_tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    FirstCome,
    Fair,
}

/// With one customer at three times the capacity, the p99 response time of the others must stay
/// within 1.2 times that without overload. First come, first served must exceed this limit.
#[test]
fn overload_spares_other_customers() {
    for seed in 0..5 {
        let normal_load = arrivals(seed, &[0.15, 0.15, 0.15, 0.15]);
        let overload = arrivals(seed, &[3.0, 0.15, 0.15, 0.15]);
        let others = [1, 2, 3];
        let normal_p99s =
            [Policy::Fair, Policy::FirstCome].map(|it| p99(&simulate(it, &normal_load), &others));
        let normal_ms = normal_p99s[0].min(normal_p99s[1]);
        let fair_ms = p99(&simulate(Policy::Fair, &overload), &others);
        let first_come_ms = p99(&simulate(Policy::FirstCome, &overload), &others);
        let (fair_ratio, first_come_ratio) = (fair_ms / normal_ms, first_come_ms / normal_ms);
        println!(
            "seed={seed} without_ms={normal_ms:.0} fair={fair_ratio:.3} \
             first_come={first_come_ratio:.3}"
        );
        assert!(fair_ratio <= 1.2, "seed {seed}: {fair_ratio}");
        assert!(
            first_come_ratio > 1.2,
            "seed {seed}: the baseline must exceed the limit: {first_come_ratio}"
        );
    }
}

#[test]
fn equal_weights_wait_equally() {
    for seed in 0..5 {
        let waits = simulate(Policy::Fair, &equal_arrivals(seed, 0.24));
        let means: Vec<f64> = (0..4).map(|it| mean(&waits, it)).collect();
        let worst = means.iter().copied().fold(0.0, f64::max);
        let best = means.iter().copied().fold(f64::MAX, f64::min);
        println!("seed={seed} worst_over_best={:.3}", worst / best);
        assert!(worst / best <= 1.1, "seed {seed}: {means:?}");
    }
}

/// While all customers have queued requests, each gets tokens in proportion to its weight.
#[test]
fn tokens_are_shared_by_weight() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut queue = FairQueue::new(100_000, 100_000);
        let mut costs = Vec::new();
        for _ in 0..20_000 {
            let customer = random.usize(..3);
            let cost = random.u64(1..2000);
            let PushOutcome::Queued(ticket) =
                queue.push(NAMES[customer], WEIGHTS[customer], cost, NOW)
            else {
                panic!("the queue is not full");
            };
            assert_eq!(ticket, costs.len() as Ticket);
            costs.push((customer, cost));
        }
        let mut tokens_per_weight = [0.0; 3];
        for _ in 0..6_000 {
            let (customer, cost) = costs[queue.pop(NOW).unwrap().ticket as usize];
            tokens_per_weight[customer] += cost as f64 / f64::from(WEIGHTS[customer]);
        }
        let greatest = tokens_per_weight.iter().copied().fold(0.0, f64::max);
        let smallest = tokens_per_weight.iter().copied().fold(f64::MAX, f64::min);
        assert!(greatest / smallest < 1.05, "seed {seed}: {tokens_per_weight:?}");
    }
}

/// A full queue evicts a request of a customer above its share to admit one of a customer below
/// its share, and loses no other request.
#[test]
fn full_queue_is_shared() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut queue = FairQueue::new(40, usize::MAX);
        let mut waiting: Vec<(Ticket, usize)> = Vec::new();
        for _ in 0..500 {
            match random.u8(..10) {
                0..=5 => push(&mut queue, &mut waiting, 0, random.u64(1..900)),
                6 | 7 => push(&mut queue, &mut waiting, random.usize(..3), random.u64(1..900)),
                8 => {
                    let expected = waiting.is_empty();
                    let ticket = queue.pop(NOW).map(|it| it.ticket);
                    assert_eq!(ticket.is_none(), expected);
                    waiting.retain(|it| Some(it.0) != ticket);
                }
                _ => {
                    let Some((ticket, _)) = random.choice(waiting.clone()) else { continue };
                    assert!(queue.remove(ticket));
                    waiting.retain(|it| it.0 != ticket);
                }
            }
            assert_eq!(queue.len(), waiting.len());
            assert!(queue.len() <= 40);
        }
    }
}

const NOW: Duration = Duration::ZERO;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const WEIGHTS: [u32; 3] = [1, 2, 4];

fn push(queue: &mut FairQueue, waiting: &mut Vec<(Ticket, usize)>, customer: usize, cost: u64) {
    let n_waiting = |waiting: &[(Ticket, usize)], customer| {
        waiting.iter().filter(|it| it.1 == customer).count()
    };
    match queue.push(NAMES[customer], 1, cost, NOW) {
        PushOutcome::Queued(ticket) => waiting.push((ticket, customer)),
        PushOutcome::Displaced { ticket, evicted } => {
            let idx = waiting
                .iter()
                .position(|it| it.0 == evicted)
                .expect("the evicted request was queued");
            let (_, evicted_customer) = waiting.remove(idx);
            assert!(n_waiting(waiting, evicted_customer) + 1 > n_waiting(waiting, customer));
            waiting.push((ticket, customer));
        }
        PushOutcome::Full => {
            let own = n_waiting(waiting, customer);
            assert!((0..3).all(|it| n_waiting(waiting, it) <= own + 1), "{waiting:?}");
        }
    }
}

/// Returns Poisson arrivals of each customer, with `loads` as shares of the server's capacity.
fn arrivals(seed: u64, loads: &[f64]) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (customer, load) in loads.iter().enumerate() {
        let mut random = fastrand::Rng::with_seed(seed * 100 + customer as u64);
        let mean_tokens = 250.0;
        let mean_interval_ms = mean_tokens * TOKEN_MS / N_SLOTS as f64 / load;
        let mut at_ms = 0.0;
        while at_ms < RUN_MS {
            at_ms += -mean_interval_ms * (1.0 - random.f64()).ln();
            all.push(Arrival { at_ms, customer, cost_tokens: random.u64(100..=400) });
        }
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// Returns the same arrivals for four customers, shifted by a quarter of the simulation each.
fn equal_arrivals(seed: u64, load: f64) -> Vec<Arrival> {
    let first = arrivals(seed, &[load]);
    let shifted = |customer: usize| {
        let shift_ms = RUN_MS * customer as f64 / 4.0;
        let shift_arrival =
            move |it: &Arrival| Arrival { at_ms: (it.at_ms + shift_ms) % RUN_MS, customer, ..*it };
        first.iter().map(shift_arrival)
    };
    let mut all: Vec<Arrival> = (0..4).flat_map(shifted).collect();
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// Returns the customer and the time from arrival to completion of each request that was started.
fn simulate(policy: Policy, arrivals: &[Arrival]) -> Vec<(usize, f64)> {
    let mut fair = FairQueue::new(MAX_QUEUED, N_SLOTS);
    let mut tickets: Vec<usize> = Vec::new();
    let mut first_come: VecDeque<usize> = VecDeque::new();
    let mut completions: Vec<(f64, usize)> = Vec::new();
    let mut waits = Vec::new();
    let mut next = 0;
    loop {
        let end = completions.iter().map(|it| it.0).fold(f64::MAX, f64::min);
        let arrival = arrivals.get(next).map_or(f64::MAX, |it| it.at_ms);
        let now = end.min(arrival);
        if now == f64::MAX {
            return waits;
        }
        let time = Duration::from_secs_f64(now / 1000.0);
        if arrival <= end {
            let Arrival { customer, cost_tokens, .. } = arrivals[next];
            match policy {
                Policy::FirstCome if first_come.len() < MAX_QUEUED => first_come.push_back(next),
                Policy::FirstCome => {}
                Policy::Fair => match fair.push(NAMES[customer], 1, cost_tokens, time) {
                    PushOutcome::Queued(_) | PushOutcome::Displaced { .. } => tickets.push(next),
                    PushOutcome::Full => {}
                },
            }
            next += 1;
        } else {
            let (_, customer) =
                completions.remove(completions.iter().position(|it| it.0 == end).unwrap());
            if policy == Policy::Fair {
                fair.finish(NAMES[customer], time);
            }
        }
        while completions.len() < N_SLOTS {
            let started = match policy {
                Policy::FirstCome => first_come.pop_front(),
                Policy::Fair => fair.pop(time).map(|it| tickets[it.ticket as usize]),
            };
            let Some(idx) = started else { break };
            let end = now + arrivals[idx].cost_tokens as f64 * TOKEN_MS;
            completions.push((end, arrivals[idx].customer));
            waits.push((arrivals[idx].customer, end - arrivals[idx].at_ms));
        }
    }
}

fn p99(waits: &[(usize, f64)], customers: &[usize]) -> f64 {
    let own = waits.iter().filter(|it| customers.contains(&it.0));
    let mut sorted: Vec<f64> = own.map(|it| it.1).collect();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() * 99 / 100]
}

fn mean(waits: &[(usize, f64)], customer: usize) -> f64 {
    let own: Vec<f64> = waits.iter().filter(|it| it.0 == customer).map(|it| it.1).collect();
    own.iter().sum::<f64>() / own.len() as f64
}
