//! Measures a decision of a cell's owner while many requests wait.
//!
//! `cargo bench --bench admission_order` prints medians of 5 runs: the time for a request that arrives while
//! all engines are full, and for the end of one that lets the first waiting request begin.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    Admission, AdmissionCell, CellEngine, Demand, RequestAttempt, RequestClass, ReservationId,
};

const SLOTS: u32 = 12;
/// The number of decisions in a run.
const N_DECISIONS: u64 = 200;
/// Number of runs; the median is printed.
const N_RUNS: usize = 5;

fn main() {
    for n_waiting in [30, 300, 1000] {
        for is_ranked in [false, true] {
            let mut times: Vec<(f64, f64)> =
                (0..N_RUNS).map(|_| decision_times_us(n_waiting, is_ranked)).collect();
            times.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (arrival_us, end_us) = times[N_RUNS / 2];
            println!(
                "waiting={n_waiting} ranked={is_ranked} arrival_us={arrival_us:.0} end_us={end_us:.0}"
            );
        }
    }
}

fn demand(number: u64, is_ranked: bool) -> Demand {
    Demand {
        service: "pool".to_owned(),
        attempt: Some(RequestAttempt { request: number, number }),
        prompt_tokens: 200 + (number * 7919 % 2000) as u32,
        output_tokens: 150,
        rank: (number % 3) as u32,
        class: RequestClass {
            kind: (number % 3) as u32,
            customer: (number % 24) as u32,
            is_ranked,
        },
        time_to_objective: Duration::from_secs(60),
        time_to_deadline: Duration::from_secs(60),
        wait: Duration::from_secs(5),
        max_wait: Duration::from_secs(5),
        ..Demand::default()
    }
}

/// Returns the mean times in microseconds of an arrival and of an end.
fn decision_times_us(n_waiting: u64, is_ranked: bool) -> (f64, f64) {
    // The queue is bounded by the slots, so a larger cell holds the longer queues.
    let n_engines = (n_waiting / u64::from(SLOTS)).max(13);
    let all: Vec<CellEngine> = (0..n_engines)
        .map(|it| CellEngine {
            id: format!("i-{it}"),
            slots: SLOTS,
            is_on_probation: false,
            rate_limit: None,
            request_limit: None,
        })
        .collect();
    let engines = |_: &Demand| all.clone();
    let id = |number| ReservationId { holder: SocketAddr::from(([10, 1, 0, 1], 80)), number };
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    let mut running = Vec::new();
    let mut number = 0;
    while cell.n_waiting() < n_waiting as usize {
        let admission = cell.request(id(number), demand(number, is_ranked), &engines, now);
        if matches!(admission, Some(Admission::Granted { .. })) {
            cell.record_first_event(&id(number));
            running.push(id(number));
        }
        number += 1;
        assert!(number < 100 * n_waiting + 10_000, "the queue doesn't fill");
    }
    let mut arrival = Duration::ZERO;
    let mut end = Duration::ZERO;
    for _ in 0..N_DECISIONS {
        let begun = Instant::now();
        cell.request(id(number), demand(number, is_ranked), &engines, now);
        arrival += begun.elapsed();
        number += 1;
        let ended = running.pop().expect("requests are running");
        let begun = Instant::now();
        cell.release(&ended, now);
        let decisions = cell.decide_waiting(&engines, now);
        end += begun.elapsed();
        for (id, admission) in decisions {
            if matches!(admission, Admission::Granted { .. }) {
                cell.record_first_event(&id);
                running.insert(0, id);
            }
        }
    }
    let mean_us = |it: Duration| it.as_secs_f64() * 1e6 / N_DECISIONS as f64;
    (mean_us(arrival), mean_us(end))
}
