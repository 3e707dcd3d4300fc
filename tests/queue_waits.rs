//! How long requests wait in the queue of a cell, and how much of that time an entry host has left.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    Admission, AdmissionCell, CellEngine, Demand, Refusal, RefusalCause, RequestAttempt,
    RequestClass, ReservationId, WaitLeft,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(number: u64) -> ReservationId {
    ReservationId { holder: SocketAddr::from(([10, 1, 0, 1], 80)), number }
}

/// Returns one engine with one slot for each service.
fn engines(demand: &Demand) -> Vec<CellEngine> {
    let id = format!("{}-0", demand.service);
    vec![CellEngine { id, slots: 1, is_on_probation: false, rate_limit: None, request_limit: None }]
}

fn demand(number: u64, service: &str) -> Demand {
    Demand {
        service: service.to_owned(),
        attempt: Some(RequestAttempt { request: number, number }),
        class: RequestClass { is_ranked: true, ..RequestClass::default() },
        time_to_objective: ms(400),
        time_to_deadline: ms(6000),
        wait: ms(50),
        max_wait: ms(200),
        ..Demand::default()
    }
}

/// Places two requests of a service, which fill its engine.
fn fill(cell: &mut AdmissionCell, first: u64, service: &str, now: Instant) {
    for number in [first, first + 1] {
        let admission = cell.request(id(number), demand(number, service), &engines, now);
        assert!(matches!(admission, Some(Admission::Granted { .. })), "{admission:?}");
    }
}

/// Guards against refusing at once a ranked request that is asked for again, as the regions changed after the
/// usual wait.
#[test]
fn ranked_wait_goes_on() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    fill(&mut cell, 0, "pool", now);
    let asked_again = Demand { wait: Duration::ZERO, max_wait: ms(140), ..demand(2, "pool") };
    assert_eq!(cell.request(id(2), asked_again, &engines, now), None);
    cell.decide_waiting(&engines, now + ms(139));
    assert_eq!(cell.n_waiting(), 1);
    let refused = cell.decide_waiting(&engines, now + ms(140));
    assert!(matches!(refused[..], [(_, Admission::Refused(_))]), "{refused:?}");
    assert_eq!(cell.rank_counts()[&0].n_refused, 1, "a decision on a request that could wait");
}

/// Guards against refusing a ranked request just when a pause ends and engines take requests again.
#[test]
fn wait_cut_short_by_pause() {
    let left = WaitLeft::after(ms(20), ms(50), ms(200));
    assert_eq!(left, WaitLeft { usual: ms(30), longest: ms(180) });
    let part = left.until(Some(ms(100)));
    assert_eq!(part, WaitLeft { usual: ms(30), longest: ms(100) });
    assert!(!left.exceeds(part, ms(99)), "refused before the pause ended");
    assert!(left.exceeds(part, ms(100)));
    assert!(!left.exceeds(left.until(None), ms(180)));
    assert!(!WaitLeft::after(ms(50), ms(50), ms(200)).is_over());
    assert!(WaitLeft::after(ms(200), ms(50), ms(200)).is_over());
}

/// Guards against refusing a request as the requests of another pool fill the queue, against refusing one of
/// another pool for it, and against counting those that are placed now.
#[test]
fn queues_of_two_pools() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    fill(&mut cell, 0, "a", now);
    fill(&mut cell, 10, "b", now);
    for number in [2, 3] {
        assert_eq!(cell.request(id(number), demand(number, "a"), &engines, now), None);
    }
    let last = Demand { rank: 9, ..demand(12, "b") };
    assert_eq!(cell.request(id(12), last, &engines, now), None, "the first of its pool");
    assert_eq!(cell.n_waiting(), 3);
    let refused = cell.request(id(4), demand(4, "a"), &engines, now);
    let is_full = |it: &Refusal| it.cause == RefusalCause::QueueFull;
    assert!(matches!(&refused, Some(Admission::Refused(it)) if is_full(it)), "{refused:?}");
    cell.release(&id(0), now);
    assert_eq!(cell.request(id(5), demand(5, "a"), &engines, now), None);
    let decisions = cell.decide_waiting(&engines, now);
    let is_grant = |it: &Admission| matches!(it, Admission::Granted { .. });
    assert!(matches!(&decisions[..], [(it, admission)] if *it == id(2) && is_grant(admission)));
}

/// Guards against telling the callers of seldom served ranks to return later than room is expected.
#[test]
fn return_time_by_rank() {
    let mut now = Instant::now();
    let mut cell = AdmissionCell::default();
    let patient = |number, rank| Demand {
        rank,
        time_to_objective: ms(60_000),
        max_wait: ms(5000),
        ..demand(number, "pool")
    };
    let engines =
        |_: &Demand| vec![CellEngine { slots: 8, ..engines(&demand(0, "pool")).remove(0) }];
    let mut running = Vec::new();
    for number in 0..9 {
        cell.request(id(number), patient(number, 0), &engines, now);
        running.push(id(number));
    }
    let mut number = 100;
    let mut ask = |cell: &mut AdmissionCell, rank, now| {
        number += 1;
        assert_eq!(cell.request(id(number), patient(number, rank), &engines, now), None);
    };
    ask(&mut cell, 1, now);
    // Of 20 grants in a second, 4 are of the less urgent rank.
    for step in 0..40 {
        now += ms(50);
        ask(&mut cell, u32::from(step % 5 == 4), now);
        cell.release(&running.remove(0), now);
        running.extend(cell.decide_waiting(&engines, now).iter().map(|it| it.0));
    }
    for _ in 0..5 {
        ask(&mut cell, 0, now);
    }
    let short = Demand { max_wait: ms(1), ..patient(1000, 1) };
    let refused = cell.request(id(1000), short, &engines, now);
    let Some(Admission::Refused(refusal)) = refused else { panic!("{refused:?}") };
    assert!(refusal.room_in > ms(300) && refusal.room_in < ms(1200), "{refusal:?}");
}

/// Guards against reporting slack that requests don't have: the wait regards the deadline and the messages too.
#[test]
fn slack_until_deadline() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    let first =
        Demand { time_to_deadline: ms(300), time_to_first_event: ms(100), ..demand(0, "pool") };
    cell.request(id(0), first, &engines, now);
    assert_eq!(cell.rank_counts()[&0].total_slack, ms(190));
}
