//! Waiting is shared fairly: one customer's overload does not delay the others.
//!
//! A backend server with a fixed number of places is played in virtual time, once with first
//! come, first served and once with the fair queue, on the same arrivals.

use std::{collections::VecDeque, time::Duration};

use crocustiller::request::{FairQueue, PushOutcome, Ticket};

/// Places of the backend server.
const N_PLACES: usize = 8;
/// Time that a token takes, in milliseconds.
const TOKEN_MS: f64 = 2.0;
/// Length of a run in milliseconds.
const RUN_MS: f64 = 2_000_000.0;
/// Requests that may wait.
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

/// The stated target: p99 of the others' time to an answer with the overload, over that without.
#[test]
fn overload_by_one_does_not_delay_the_others() {
    for seed in 0..5 {
        let calm = arrivals(seed, &[0.15, 0.15, 0.15, 0.15]);
        let busy = arrivals(seed, &[3.0, 0.15, 0.15, 0.15]);
        let others = [1, 2, 3];
        let calm_runs = [Policy::Fair, Policy::FirstCome].map(|it| p99(&run(it, &calm), &others));
        let without = calm_runs[0].min(calm_runs[1]);
        let fair = p99(&run(Policy::Fair, &busy), &others);
        let first_come = p99(&run(Policy::FirstCome, &busy), &others);
        let (ratio, baseline) = (fair / without, first_come / without);
        println!("seed={seed} without_ms={without:.0} fair={ratio:.3} first_come={baseline:.3}");
        assert!(ratio <= 1.2, "seed {seed}: {ratio}");
        assert!(baseline > 1.2, "seed {seed}: the baseline shows the fault: {baseline}");
    }
}

#[test]
fn equal_weights_wait_alike() {
    for seed in 0..5 {
        let waits = run(Policy::Fair, &equal_arrivals(seed, 0.24));
        let means: Vec<f64> = (0..4).map(|it| mean(&waits, it)).collect();
        let worst = means.iter().copied().fold(0.0, f64::max);
        let best = means.iter().copied().fold(f64::MAX, f64::min);
        println!("seed={seed} worst_over_best={:.3}", worst / best);
        assert!(worst / best <= 1.1, "seed {seed}: {means:?}");
    }
}

/// With all queues full, tokens go out in proportion to the weights.
#[test]
fn weights_share_out_tokens() {
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
                panic!("there is room");
            };
            assert_eq!(ticket, costs.len() as Ticket);
            costs.push((customer, cost));
        }
        let mut spent = [0.0; 3];
        for _ in 0..6_000 {
            let (customer, cost) = costs[queue.pop(NOW).unwrap().ticket as usize];
            spent[customer] += cost as f64 / f64::from(WEIGHTS[customer]);
        }
        let most = spent.iter().copied().fold(0.0, f64::max);
        let least = spent.iter().copied().fold(f64::MAX, f64::min);
        assert!(most / least < 1.05, "seed {seed}: {spent:?}");
    }
}

/// A full queue makes room for a customer below its share and never loses a request.
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
    let length = |waiting: &[(Ticket, usize)], customer| {
        waiting.iter().filter(|it| it.1 == customer).count()
    };
    match queue.push(NAMES[customer], 1, cost, NOW) {
        PushOutcome::Queued(ticket) => waiting.push((ticket, customer)),
        PushOutcome::Displaced { ticket, evicted } => {
            let idx = waiting.iter().position(|it| it.0 == evicted).expect("it waited");
            let (_, loser) = waiting.remove(idx);
            assert!(length(waiting, loser) + 1 > length(waiting, customer));
            waiting.push((ticket, customer));
        }
        PushOutcome::Full => {
            let own = length(waiting, customer);
            assert!((0..3).all(|it| length(waiting, it) <= own + 1), "{waiting:?}");
        }
    }
}

/// Poisson arrivals of each customer, with `loads` as shares of the server's capacity.
fn arrivals(seed: u64, loads: &[f64]) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (customer, load) in loads.iter().enumerate() {
        let mut random = fastrand::Rng::with_seed(seed * 100 + customer as u64);
        let mean_tokens = 250.0;
        let pause_ms = mean_tokens * TOKEN_MS / N_PLACES as f64 / load;
        let mut at_ms = 0.0;
        while at_ms < RUN_MS {
            at_ms += -pause_ms * (1.0 - random.f64()).ln();
            all.push(Arrival { at_ms, customer, cost_tokens: random.u64(100..=400) });
        }
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// The same arrivals for each of four customers, each a quarter of the run later.
fn equal_arrivals(seed: u64, load: f64) -> Vec<Arrival> {
    let first = arrivals(seed, &[load]);
    let shifted = |customer: usize| {
        let shift_ms = RUN_MS * customer as f64 / 4.0;
        let move_one =
            move |it: &Arrival| Arrival { at_ms: (it.at_ms + shift_ms) % RUN_MS, customer, ..*it };
        first.iter().map(move_one)
    };
    let mut all: Vec<Arrival> = (0..4).flat_map(shifted).collect();
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// Time from arrival to answer of each request that was taken, with its customer.
fn run(policy: Policy, arrivals: &[Arrival]) -> Vec<(usize, f64)> {
    let mut fair = FairQueue::new(MAX_QUEUED, N_PLACES);
    let mut tickets: Vec<usize> = Vec::new();
    let mut first_come: VecDeque<usize> = VecDeque::new();
    let mut ends: Vec<(f64, usize)> = Vec::new();
    let mut waits = Vec::new();
    let mut next = 0;
    loop {
        let end = ends.iter().map(|it| it.0).fold(f64::MAX, f64::min);
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
            let (_, customer) = ends.remove(ends.iter().position(|it| it.0 == end).unwrap());
            if policy == Policy::Fair {
                fair.finish(NAMES[customer], time);
            }
        }
        while ends.len() < N_PLACES {
            let started = match policy {
                Policy::FirstCome => first_come.pop_front(),
                Policy::Fair => fair.pop(time).map(|it| tickets[it.ticket as usize]),
            };
            let Some(idx) = started else { break };
            let end = now + arrivals[idx].cost_tokens as f64 * TOKEN_MS;
            ends.push((end, arrivals[idx].customer));
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
