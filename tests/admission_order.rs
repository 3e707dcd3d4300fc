//! The order in which a cell admits requests of several ranks, beside first come, first served.

mod emulated_cell;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::{
    placement::{
        Admission, AdmissionCell, CellEngine, Demand, RefusalCause, RequestAttempt, RequestClass,
        ReservationId,
    },
    platform::{
        store::{Metadata, StoredObject},
        wire_config,
    },
    routing::EngineSpec,
};
use serde_json::{json, Value};

use emulated_cell::{play, Burst, Load, Order, Outcome};

const N_SEEDS: u64 = 3;

/// Plays a load in both orders for some seeds.
fn play_both(load: &Load, mut check: impl FnMut(&Outcome, &Outcome, &str)) {
    for seed in 0..N_SEEDS {
        let arrival = play(load, Order::Arrival, seed);
        let need = play(load, Order::Need, seed);
        let text = format!("seed {seed}\n  by arrival {arrival}\n  by need    {need}");
        println!("{text}");
        check(&arrival, &need, &text);
    }
}

/// Checks the bounds that hold under any load.
fn check_bounds(need: &Outcome, text: &str) {
    for (idx, kind) in need.kinds.iter().enumerate() {
        assert!(kind.served >= need.served / 4.0, "kind {idx}: {text}");
        assert!(kind.largest_tenth >= kind.served / 2.0, "largest of kind {idx}: {text}");
        assert!(kind.next_fifth >= kind.served / 2.0, "large ones of kind {idx}: {text}");
        for less_urgent in &need.kinds[idx + 1..] {
            assert!(kind.served >= less_urgent.served - 0.05, "kind {idx}: {text}");
            assert!(kind.value >= less_urgent.value - 0.15, "value of kind {idx}: {text}");
        }
    }
    assert!(need.worst_customer >= need.served / 4.0, "customer: {text}");
}

/// Plays a load in both orders, and checks the bounds and that the order by need is worth no less.
fn check_worth(load: &Load) {
    play_both(load, |arrival, need, text| {
        check_bounds(need, text);
        assert!(need.value >= arrival.value, "{text}");
    });
}

fn burst(factor: f64, kinds: &[usize]) -> Load {
    let bursts = kinds.iter().map(|it| Burst { kind: *it, factor: 2.2 }).collect();
    Load { factor, bursts, ..Load::default() }
}

/// Load pattern: overload with a burst of the least urgent kind. Guards against urgent requests being refused
/// for those that arrived before them.
#[test]
fn least_urgent_burst() {
    for factor in [1.0, 1.4, 1.8] {
        check_worth(&burst(factor, &[2]));
    }
}

/// Load pattern: overload with a burst of the most urgent kind. Guards against shutting out all others.
#[test]
fn most_urgent_burst() {
    check_worth(&burst(1.4, &[0]));
}

/// Load pattern: bursts of the most and of the least urgent kind at the same time.
#[test]
fn two_bursts() {
    check_worth(&burst(1.4, &[0, 2]));
}

/// Load pattern: one customer sends most requests. Guards against refusing those of all others.
#[test]
fn one_customer_of_many() {
    let load = Load { large_customer_share: 0.7, ..burst(1.4, &[2]) };
    play_both(&load, |_, need, text| check_bounds(need, text));
}

/// Load pattern: a third of the engines is lost and comes back empty.
#[test]
fn lost_engines() {
    let load = Load { n_lost: 4, ..burst(1.0, &[]) };
    check_worth(&load);
}

/// Load pattern: sizes with a long tail. Guards against refusing all large requests.
#[test]
fn long_tails() {
    let load = Load { size_spread: 1.1, ..burst(1.2, &[2]) };
    check_worth(&load);
}

/// Load pattern: three owners, which each request asks in turn.
#[test]
fn three_owners() {
    let load = Load { n_owners: 3, ..burst(1.4, &[2]) };
    check_worth(&load);
}

/// Load pattern: an owner is lost during overload, with its queue and its memory of refusals.
#[test]
fn lost_owner() {
    let load = Load { n_owners: 3, loses_owner: true, ..burst(1.4, &[2]) };
    play_both(&load, |_, need, text| check_bounds(need, text));
}

/// Load pattern: the callers of one customer return at once after a refusal, three times. Guards against them
/// gaining by it, or taking capacity from others.
#[test]
fn hasty_returns() {
    for seed in 0..N_SEEDS {
        let patient = play(&burst(1.4, &[2]), Order::Need, seed);
        let load = Load { n_hasty_returns: 3, ..burst(1.4, &[2]) };
        let hasty = play(&load, Order::Need, seed);
        let text = format!("seed {seed}\n  patient {patient}\n  hasty   {hasty}");
        println!("{text}");
        check_bounds(&hasty, &text);
        assert!(hasty.large_customer <= patient.large_customer + 0.05, "{text}");
        assert!(hasty.other_customers >= patient.other_customers - 0.02, "{text}");
    }
}

/// Load pattern: overload where all requests have the same rank. Guards against refusing the largest of a kind,
/// and against others losing more work by that than those gain.
#[test]
fn equal_ranks() {
    for seed in 0..N_SEEDS {
        let arrival = play(&burst(1.4, &[]), Order::Arrival, seed);
        let sizes = play(&burst(1.4, &[]), Order::ArrivalAndSize, seed);
        let text = format!("seed {seed}\n  by arrival {arrival}\n  by size    {sizes}");
        println!("{text}");
        for (idx, kind) in sizes.kinds.iter().enumerate() {
            assert!(kind.largest_tenth >= kind.served / 2.0, "largest of kind {idx}: {text}");
            assert!(kind.next_fifth >= kind.served / 2.0, "large ones of kind {idx}: {text}");
        }
        assert!(sizes.work >= arrival.work, "work: {text}");
    }
}

/// Guards against a time that ignores a figure of the engine, or that overflows.
#[test]
fn costs_by_published_figures() {
    let engine = EngineSpec {
        slots: 12,
        models: Vec::new(),
        n_layers: 1,
        n_pieces: 1,
        piece_bytes: 1,
        step: Duration::from_millis(7),
        step_per_request: Duration::from_millis(1),
        step_per_1000_tokens: Duration::from_millis(2),
        steps_per_event: 5,
        usual_output_tokens: 500,
        read_tokens_per_s: 20_000.0,
    };
    // Prompt and output tokens; time until the first event and to write the output, in milliseconds.
    let table = [
        (0, 1000, 50, 10_000),
        (1000, 1000, 110, 12_000),
        (4000, 1000, 290, 18_000),
        (1000, 0, 105, 5_500),
    ];
    for (prompt, output, first_event_ms, write_ms) in table {
        let cost = engine.cost(prompt, output);
        let times = [cost.time_to_first_event(), cost.write].map(|it| it.as_millis());
        assert_eq!(times, [first_event_ms, write_ms], "{prompt} {output}");
    }
    assert_eq!(engine.cost(1000, 0).memory_tokens, 1500);
    let unknown = EngineSpec { read_tokens_per_s: 0.0, ..engine.clone() };
    assert_eq!(unknown.cost(u32::MAX, 1000).read, Duration::ZERO);
    let slow = EngineSpec { read_tokens_per_s: 1e-300, ..engine };
    assert!(slow.cost(u32::MAX, u32::MAX).time_to_first_event() > Duration::from_secs(1 << 32));
}

/// Load pattern: a stream breaks off while more urgent requests wait for all engines. Guards against refusing
/// its resumption at once for its rank, and against placing those that wait first.
#[test]
fn resumed_stream_waits() {
    let engines = |_: &Demand| {
        vec![CellEngine {
            id: "i-0".to_owned(),
            slots: 2,
            is_on_probation: false,
            rate_limit: None,
            request_limit: None,
        }]
    };
    let id = |number| ReservationId { holder: SocketAddr::from(([10, 1, 0, 1], 80)), number };
    let urgent = |number| Demand {
        attempt: Some(RequestAttempt { request: number, number }),
        class: RequestClass { is_ranked: true, ..RequestClass::default() },
        time_to_objective: Duration::from_millis(400),
        time_to_deadline: Duration::from_secs(6),
        wait: Duration::from_millis(50),
        max_wait: Duration::from_millis(200),
        ..Demand::default()
    };
    let now = Instant::now();
    let mut cell = AdmissionCell::default();
    for number in 0..3 {
        let admission = cell.request(id(number), urgent(number), &engines, now);
        assert!(matches!(admission, Some(Admission::Granted { .. })), "{admission:?}");
    }
    assert_eq!(cell.request(id(3), urgent(3), &engines, now), None);
    let wait = Duration::from_millis(1900);
    let resumed = Demand { attempt: None, rank: 2, is_resumed: true, wait, ..urgent(4) };
    assert_eq!(cell.request(id(4), resumed, &engines, now), None);
    let at = now + Duration::from_millis(300);
    let decisions = cell.decide_waiting(&engines, at);
    let causes: Vec<RefusalCause> = decisions
        .iter()
        .filter_map(|it| match it.1 {
            Admission::Refused(refusal) => Some(refusal.cause),
            _ => None,
        })
        .collect();
    assert_eq!(causes, [RefusalCause::WaitEnded], "the urgent one only");
    cell.request(id(5), urgent(5), &engines, at);
    cell.release(&id(0), at);
    cell.release(&id(1), at);
    let decisions = cell.decide_waiting(&engines, at);
    assert_eq!(decisions.first().map(|it| it.0), Some(id(4)), "{decisions:?}");
}

/// Load pattern: a burst of urgent requests, in which no other one is placed, then an hour of calm. Guards
/// against refusing a request at once by the rate of the burst.
#[test]
fn old_burst_refuses_nobody() {
    let engine = CellEngine {
        id: "i-0".to_owned(),
        slots: 2,
        is_on_probation: false,
        rate_limit: None,
        request_limit: None,
    };
    let engines = |_: &Demand| vec![engine.clone()];
    let id = |number| ReservationId { holder: SocketAddr::from(([10, 1, 0, 1], 80)), number };
    let ranked = |number, rank| Demand {
        attempt: Some(RequestAttempt { request: number, number }),
        class: RequestClass { is_ranked: true, ..RequestClass::default() },
        rank,
        time_to_objective: Duration::from_millis(400),
        time_to_deadline: Duration::from_secs(6),
        wait: Duration::from_millis(50),
        max_wait: Duration::from_millis(200),
        ..Demand::default()
    };
    let start = Instant::now();
    let mut cell = AdmissionCell::default();
    for number in 0..100 {
        let now = start + Duration::from_millis(100) * number as u32;
        cell.request(id(number), ranked(number, 0), &engines, now);
        if number >= 4 {
            cell.release(&id(number - 4), now + Duration::from_millis(50));
            cell.decide_waiting(&engines, now + Duration::from_millis(50));
        }
    }
    (0..100).for_each(|it| drop(cell.cancel(&id(it))));
    let calm = start + Duration::from_secs(3600);
    for number in 200..203 {
        let admission = cell.request(id(number), ranked(number, 2), &engines, calm);
        assert!(matches!(admission, Some(Admission::Granted { .. })), "{admission:?}");
    }
    assert_eq!(cell.request(id(203), ranked(203, 2), &engines, calm), None, "it waits");
}

/// Guards against ranks where nothing differs, which would change how earlier deployments are served.
#[test]
fn ranked_where_requests_differ() {
    let is_ranked_of = |is_public, priorities: [u32; 2], objectives: [u32; 2], customers: Value| {
        let route = |idx: usize| {
            json!({ "host": "a", "path-prefix": format!("/{idx}/"), "route-type": "streaming",
                "timeout-ms": 6000, "goal-ms": objectives[idx], "priority": priorities[idx],
                "public": is_public, "service": "pool" })
        };
        let spec = json!({
            "version": 1, "routes": [route(0), route(1)], "services": [{ "name": "pool" }],
            "limits": { "max-header-bytes": 4096, "max-body-bytes": 65536,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000 },
            "tenants": customers,
        });
        let metadata = Metadata { name: "main".to_owned(), revision: 1 };
        let charter = wire_config::decode_config(&StoredObject { metadata, spec }).unwrap();
        charter.unwrap().ranked_services.contains("pool")
    };
    let is_ranked =
        |priorities, objectives, customers| is_ranked_of(false, priorities, objectives, customers);
    let customer = |priority| json!({ "name": "c", "api-keys": ["k", "l"], "priority": priority });
    let plain = json!([customer(Value::Null)]);
    let both = json!([customer(json!(1)), { "name": "d", "api-keys": ["m"] }]);
    assert!(!is_ranked([2, 2], [400, 400], Value::Null));
    assert!(!is_ranked([2, 2], [400, 400], plain.clone()));
    assert!(is_ranked([0, 2], [400, 400], plain.clone()), "by route");
    assert!(is_ranked([2, 2], [400, 500], plain), "by objective");
    assert!(is_ranked([2, 2], [400, 400], both.clone()), "by customer");
    assert!(!is_ranked_of(true, [2, 2], [400, 400], both), "no customers on public routes");
    let one = json!([customer(json!(1))]);
    assert!(is_ranked([0, 2], [400, 400], one.clone()), "by route within a customer");
    assert!(!is_ranked([2, 2], [400, 400], one), "one customer and priority");
}
