//! Admission by the owner of a cell: exact limits, waiting, leases and lost messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    Admission, AdmissionCell, CellEngine, Demand, HeldReservation, ReservationId,
};

const SLOTS: u32 = 8;
/// Requests beyond the slots that an engine may have.
const MAX_QUEUED: u32 = 1;
const MAX_UNREAD_TOKENS: u32 = 2500;

fn holder(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], number))
}

fn id(holder_number: u16, number: u64) -> ReservationId {
    ReservationId { holder: holder(holder_number), number }
}

fn demand(prompt_tokens: u32, wait_ms: u64) -> Demand {
    Demand {
        service: "pool".to_owned(),
        model: None,
        attempt: None,
        prompt_tokens,
        is_resumed: false,
        excluded: Vec::new(),
        prompt_parts: Vec::new(),
        in_turn_parts: Vec::new(),
        wait: Duration::from_millis(wait_ms),
        ..Demand::default()
    }
}

fn engines(n_engines: usize) -> impl Fn(&Demand) -> Vec<CellEngine> {
    move |demand| {
        let engine = |it| CellEngine {
            id: format!("i-{it}"),
            slots: SLOTS,
            is_on_probation: false,
            rate_limit: None,
            request_limit: None,
        };
        let all = (0..n_engines).map(engine);
        all.filter(|it| !demand.excluded.contains(&it.id)).collect()
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_granted(admission: &Option<Admission>) -> bool {
    matches!(admission, Some(Admission::Granted { .. }))
}

/// Load pattern: many entry hosts at once. Together they never exceed an engine's limit, although
/// none of them knows of the others.
#[test]
fn limits_hold_for_all_hosts() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    let granted: Vec<Option<Admission>> =
        (0..149).map(|it| cell.request(id(it, 1), demand(100, 0), &engines(4), now)).collect();
    let n_granted = granted.iter().filter(|it| is_granted(it)).count();
    assert_eq!(n_granted as u32, 4 * (SLOTS + MAX_QUEUED));
    assert!(granted.iter().all(|it| is_granted(it) || *it == Some(Admission::Full)));
    for idx in 0..4 {
        assert_eq!(cell.load(&format!("i-{idx}")).n_requests, SLOTS + MAX_QUEUED);
    }
}

#[test]
fn repeated_request_is_granted_once() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    let first = cell.request(id(1, 7), demand(100, 0), &engines(2), now);
    let second = cell.request(id(1, 7), demand(100, 0), &engines(2), now);
    let engine_of = |it: Option<Admission>| match it {
        Some(Admission::Granted { engine, .. }) => engine,
        other => panic!("not granted: {other:?}"),
    };
    assert_eq!(engine_of(first), engine_of(second));
    assert_eq!(cell.n_reservations(), 1);
}

/// Load pattern: overload. Requests wait in order of arrival, get a place as soon as one is free,
/// and are refused when their wait ends.
#[test]
fn waiting_requests_in_order() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    for number in 0..u64::from(SLOTS + MAX_QUEUED) {
        assert!(is_granted(&cell.request(id(1, number), demand(100, 0), &engines(1), now)));
    }
    assert_eq!(cell.request(id(2, 1), demand(100, 100), &engines(1), now), None);
    assert_eq!(cell.request(id(3, 1), demand(100, 60), &engines(1), now), None);
    assert_eq!(cell.next_deadline(), Some(now + ms(60)));
    cell.release(&id(1, 0), now);
    let decisions = cell.decide_waiting(&engines(1), now + ms(10));
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].0, id(2, 1), "the first to arrive");
    assert_eq!(cell.decide_waiting(&engines(1), now + ms(59)), []);
    assert_eq!(cell.decide_waiting(&engines(1), now + ms(60)), [(id(3, 1), Admission::Full)]);
    assert_eq!(cell.n_waiting(), 0);
}

/// Load pattern: overload with prompts of all lengths. A long prompt that waits is placed although
/// short ones arrive all the time.
#[test]
fn long_prompt_is_not_overtaken() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    let mut read_in_order = Vec::new();
    for number in 0..8 {
        cell.request(id(1, number), demand(1200, 0), &engines(4), now);
        read_in_order.push(id(1, number));
    }
    assert_eq!(cell.request(id(2, 0), demand(3800, 500), &engines(4), now), None);
    let mut is_placed = false;
    for step in 0..8u64 {
        // An engine reads one prompt, and the next short one arrives.
        cell.record_first_event(&read_in_order[step as usize]);
        let at = now + ms(step * 20);
        let decisions = cell.decide_waiting(&engines(4), at);
        is_placed |= decisions.iter().any(|it| it.0 == id(2, 0));
        cell.request(id(3, step), demand(1200, 0), &engines(4), at);
    }
    assert!(is_placed);
}

/// Load pattern: requests that crash their engines. Those with a suspected part are tried one after the
/// other, so that each shows something and costs one engine only; all others go on.
#[test]
fn suspected_requests_start_one_by_one() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    let suspect = |part| Demand {
        prompt_parts: vec![7, part],
        in_turn_parts: vec![part],
        ..demand(100, 300)
    };
    // A request that was admitted before its part was suspected is a trial, too.
    let unsuspected = Demand { in_turn_parts: Vec::new(), ..suspect(1) };
    assert!(is_granted(&cell.request(id(1, 1), unsuspected, &engines(4), now)));
    assert_eq!(cell.request(id(2, 1), suspect(1), &engines(4), now), None);
    assert_eq!(cell.request(id(3, 1), suspect(1), &engines(4), now), None);
    assert!(is_granted(&cell.request(id(4, 1), suspect(2), &engines(4), now)), "another part");
    assert!(is_granted(&cell.request(id(5, 1), demand(100, 60), &engines(4), now)));
    cell.release(&id(1, 1), now + ms(10));
    // A crash just after another one can't be told from it.
    assert_eq!(cell.decide_waiting(&engines(4), now + ms(150)), []);
    assert_eq!(cell.next_deadline(), Some(now + ms(160)), "the end of the pause");
    let decisions = cell.decide_waiting(&engines(4), now + ms(170));
    assert_eq!(decisions.iter().map(|it| it.0).collect::<Vec<_>>(), [id(2, 1)], "one by one");
    cell.record_first_event(&id(2, 1));
    let decisions = cell.decide_waiting(&engines(4), now + ms(180));
    assert_eq!(decisions.iter().map(|it| it.0).collect::<Vec<_>>(), [id(3, 1)]);
    assert_eq!(cell.request(id(6, 1), suspect(1), &engines(4), now + ms(190)), None);
    assert_eq!(cell.decide_waiting(&engines(4), now + ms(490)), [(id(6, 1), Admission::Full)]);
}

/// An engine that did not get the request shows nothing, so the next one in turn doesn't wait.
#[test]
fn unsent_request_takes_turn() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    let suspect = Demand { prompt_parts: vec![7], in_turn_parts: vec![7], ..demand(100, 300) };
    assert!(is_granted(&cell.request(id(1, 1), suspect.clone(), &engines(4), now)));
    assert_eq!(cell.request(id(2, 1), suspect.clone(), &engines(4), now), None);
    assert_eq!(cell.request(id(3, 1), suspect, &engines(4), now), None);
    assert_eq!(cell.cancel(&id(2, 1)), None, "its wait ends");
    assert!(cell.cancel(&id(1, 1)).is_some());
    let decisions = cell.decide_waiting(&engines(4), now + ms(1));
    assert_eq!(decisions.iter().map(|it| it.0).collect::<Vec<_>>(), [id(3, 1)]);
    assert_eq!(cell.n_reservations(), 1);
}

#[test]
fn no_engine_told_at_once() {
    let mut cell = AdmissionCell::default();
    let refused = cell.request(id(1, 1), demand(100, 100), &engines(0), Instant::now());
    assert_eq!(refused, Some(Admission::NoEngine));
    let excluded = Demand { excluded: vec!["i-0".to_owned()], ..demand(100, 100) };
    let refused = cell.request(id(1, 2), excluded, &engines(1), Instant::now());
    assert_eq!(refused, Some(Admission::NoEngine));
}

#[test]
fn probation_allows_one_request() {
    let now = Instant::now();
    let on_probation = |_: &Demand| {
        vec![CellEngine {
            id: "i-0".to_owned(),
            slots: SLOTS,
            is_on_probation: true,
            rate_limit: None,
            request_limit: None,
        }]
    };
    let mut cell = AdmissionCell::default();
    assert!(is_granted(&cell.request(id(1, 1), demand(100, 0), &on_probation, now)));
    let second = cell.request(id(1, 2), demand(100, 0), &on_probation, now);
    assert_eq!(second, Some(Admission::Full));
}

/// A holder that dies or is cut off stops to report; its reservations lapse and no others do.
#[test]
fn leases_lapse_without_reports() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    cell.request(id(1, 1), demand(100, 0), &engines(1), now);
    cell.request(id(2, 1), demand(100, 0), &engines(1), now);
    let held = HeldReservation { number: 1, engine: "i-0".to_owned(), unread_tokens: 0 };
    cell.apply_report(holder(2), vec![held], now + ms(1000));
    assert_eq!(cell.expire(now + ms(1300)), 1);
    assert_eq!(cell.n_reservations(), 1);
    assert_eq!(cell.load("i-0").unread_tokens, 0);
}

/// A new owner knows nothing; the reports of the holders tell it what runs.
#[test]
fn reports_restore_the_state() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    for number in 0..20 {
        cell.request(id(number, 1), demand(200, 0), &engines(3), now);
    }
    let mut restarted = AdmissionCell::default();
    for number in 0..20 {
        let engine = match cell.request(id(number, 1), demand(200, 0), &engines(3), now) {
            Some(Admission::Granted { engine, .. }) => engine,
            other => panic!("not granted: {other:?}"),
        };
        let held = HeldReservation { number: 1, engine, unread_tokens: 200 };
        restarted.apply_report(holder(number), vec![held], now);
    }
    for idx in 0..3 {
        let engine = format!("i-{idx}");
        assert_eq!(restarted.load(&engine), cell.load(&engine));
    }
}

/// A release or first event that is lost is made up for by the next report.
#[test]
fn reports_replace_lost_messages() {
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    cell.request(id(1, 1), demand(300, 0), &engines(1), now);
    cell.request(id(1, 2), demand(500, 0), &engines(1), now);
    let first = HeldReservation { number: 1, engine: "i-0".to_owned(), unread_tokens: 0 };
    // This report was sent before the second reservation was granted.
    cell.apply_report(holder(1), vec![first.clone()], now + ms(10));
    assert_eq!(cell.n_reservations(), 2);
    cell.apply_report(holder(1), vec![first], now + ms(250));
    assert_eq!(cell.n_reservations(), 1);
    assert_eq!(cell.load("i-0").unread_tokens, 0);
}

/// A random schedule: requests, first events, ends, reports and deaths of holders, with a third of
/// the messages lost and some doubled. No engine ever exceeds its limits, and no reservation
/// outlives its holder's report or lease.
#[test]
fn random_schedules_keep_limits() {
    for seed in 0..200 {
        run_schedule(seed);
    }
}

fn run_schedule(seed: u64) {
    const N_ENGINES: usize = 3;
    const N_HOLDERS: u16 = 6;
    let mut random = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut cell = AdmissionCell::default();
    // What the holders hold: engine and unread tokens by reservation.
    let mut held: BTreeMap<ReservationId, (String, u32)> = BTreeMap::new();
    let mut unread: BTreeMap<ReservationId, u32> = BTreeMap::new();
    let mut dead: BTreeSet<u16> = BTreeSet::new();
    let mut now = start;
    for number in 0..600u64 {
        now += ms(random.u64(1..12));
        let holder_number = random.u16(0..N_HOLDERS);
        let is_lost = random.u8(0..3) == 0;
        let alive = !dead.contains(&holder_number);
        match random.u8(0..10) {
            0..=4 if alive => {
                let request = id(holder_number, number);
                let demand = demand(random.u32(50..4000), random.u64(0..120));
                unread.insert(request, demand.prompt_tokens);
                if is_lost {
                    continue;
                }
                let answer = cell.request(request, demand.clone(), &engines(N_ENGINES), now);
                if random.bool() {
                    cell.request(request, demand.clone(), &engines(N_ENGINES), now);
                }
                if let Some(Admission::Granted { engine, .. }) = answer {
                    held.insert(request, (engine, demand.prompt_tokens));
                }
            }
            5 if alive => {
                let own = held.iter_mut().find(|it| it.0.holder == holder(holder_number));
                let Some((request, state)) = own else { continue };
                state.1 = 0;
                if !is_lost {
                    cell.record_first_event(request);
                }
            }
            6..=7 if alive => {
                let own = held.keys().find(|it| it.holder == holder(holder_number)).copied();
                let Some(request) = own else { continue };
                held.remove(&request);
                if !is_lost {
                    cell.release(&request, now);
                }
            }
            8 if alive && !is_lost => {
                let report = report_of(&held, holder_number);
                cell.apply_report(holder(holder_number), report, now);
            }
            9 if random.u8(0..20) == 0 => {
                dead.insert(holder_number);
                held.retain(|it, _| it.holder != holder(holder_number));
            }
            _ => {}
        }
        cell.expire(now);
        for (request, admission) in cell.decide_waiting(&engines(N_ENGINES), now) {
            let Admission::Granted { engine, .. } = admission else { continue };
            held.insert(request, (engine, unread[&request]));
        }
        for idx in 0..N_ENGINES {
            let load = cell.load(&format!("i-{idx}"));
            assert!(load.n_requests <= SLOTS + MAX_QUEUED, "seed {seed}: {load:?}");
            let is_single = load.unread_tokens <= 4000;
            assert!(load.unread_tokens <= MAX_UNREAD_TOKENS || is_single, "seed {seed}: {load:?}");
        }
        assert!(cell.next_deadline().is_none_or(|it| it > now), "seed {seed}: a late refusal");
    }
    // All holders report once more: only what they hold remains.
    now += ms(200);
    for number in 0..N_HOLDERS {
        cell.apply_report(holder(number), report_of(&held, number), now);
    }
    assert_eq!(cell.n_reservations(), held.len(), "seed {seed}");
    let n_waiting_refused = cell.decide_waiting(&engines(0), now + ms(200)).len();
    assert_eq!(cell.n_waiting(), 0, "seed {seed}: {n_waiting_refused} were refused");
}

fn report_of(
    held: &BTreeMap<ReservationId, (String, u32)>,
    holder_number: u16,
) -> Vec<HeldReservation> {
    let own = held.iter().filter(|it| it.0.holder == holder(holder_number));
    own.map(|(id, (engine, unread_tokens))| HeldReservation {
        number: id.number,
        engine: engine.clone(),
        unread_tokens: *unread_tokens,
    })
    .collect()
}
