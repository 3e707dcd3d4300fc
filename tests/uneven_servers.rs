//! Servers of a plain service that are slow at times: hosts leave them soon, and cross zones only for
//! that. Each test compares with the choice by requests in flight on the same seeded calls.

mod emulated_service;

use std::ops::Range;

use emulated_service::{replay, Load, Outcome, Policy, SlowTime};

const SEEDS: Range<u64> = 0..10;

/// One server in each of three zones, with far fewer calls than they can serve.
fn load() -> Load {
    Load {
        hosts_per_zone: 5,
        server_zones: vec![0, 1, 2],
        rates: vec![20.0; 3],
        work_ms: 15.0,
        spread: 0.1,
        objective_ms: 120,
        repeatable_share: 0.3,
        slow: Vec::new(),
        seconds: 40.0,
    }
}

/// One server after the other is slow, each for `length_s`, until the end.
fn slow_in_turn(n_servers: usize, length_s: f64, pause_s: f64, factor: f64) -> Vec<SlowTime> {
    let n_times = (30.0 / (length_s + pause_s)) as usize;
    let slow_time = |idx: usize| {
        let begin_s = 10.0 + idx as f64 * (length_s + pause_s);
        SlowTime { server: idx % n_servers, begin_s, end_s: begin_s + length_s, factor }
    };
    (0..n_times).map(slow_time).collect()
}

/// Returns the sums over all seeds, by requests in flight and by what servers have shown.
fn compare(load: &Load) -> [Outcome; 2] {
    let outcomes = [Policy::Counts, Policy::Seen]
        .map(|policy| SEEDS.map(|seed| replay(load, policy, seed)).sum::<Outcome>());
    println!("{outcomes:?}");
    assert_eq!(outcomes[1].n_repeated, 0, "a call that must not be repeated is sent once");
    outcomes
}

/// Guards against crossing zones, repeating calls or missing objectives where all servers are alike.
#[test]
fn alike_servers() {
    for rates in [vec![20.0; 3], vec![60.0, 10.0, 10.0]] {
        let [counts, seen] = compare(&Load { rates: rates.clone(), ..load() });
        assert_eq!(seen, counts);
        let [counts, seen] = compare(&Load { rates, spread: 1.0, ..load() });
        assert!(seen.n_late() <= counts.n_late(), "long-tailed sizes aren't slow servers");
        assert!(seen.n_far + seen.n_hedged <= seen.n_calls / 100);
    }
}

/// Guards against hosts that leave their busy zones for each other's, which overloads all in turn.
#[test]
fn busy_alike_servers() {
    for (server_zones, rate) in [(vec![0, 1, 2], 85.0), (vec![0, 0, 1, 1, 2, 2], 170.0)] {
        for spread in [0.1, 1.0] {
            // The mean work is 60 ms, so 85 in 100 slots are busy.
            let work_ms = if spread < 1.0 { 60.0 } else { 36.0 };
            let rates = vec![rate; 3];
            let busy = Load { hosts_per_zone: 15, rates, work_ms, objective_ms: 300, ..load() };
            let [counts, seen] =
                compare(&Load { server_zones: server_zones.clone(), spread, ..busy });
            assert!(seen.n_late() <= counts.n_late() + seen.n_calls / 100);
            assert!(seen.n_far <= seen.n_calls / 20);
        }
    }
}

/// Guards against a server that is avoided for longer than it is slow.
#[test]
fn slow_for_half_a_second() {
    let server_zones = vec![0, 0, 0, 1, 1, 2, 2];
    let slow = slow_in_turn(7, 0.5, 0.5, 2.5);
    // The slow server needs longer than the objective.
    let tight = Load { server_zones, rates: vec![50.0; 3], work_ms: 60.0, slow, ..load() };
    let [counts, seen] = compare(&tight);
    assert!(seen.n_late() < counts.n_late());
    assert!(seen.n_far <= seen.n_calls / 100);
    let [counts, seen] = compare(&Load { spread: 1.0, work_ms: 36.0, ..tight });
    assert!(seen.n_late() <= counts.n_late());
    assert!(seen.n_far <= seen.n_calls / 100);
}

/// Guards against staying at a server that is slow for seconds, and against leaving the zone for longer.
#[test]
fn slow_for_seconds() {
    let slow = slow_in_turn(3, 4.0, 3.0, 8.0);
    for (rates, spread) in
        [([20.0; 3], 0.1), ([20.0; 3], 1.0), ([60.0, 10.0, 10.0], 0.1), ([60.0, 10.0, 10.0], 1.0)]
    {
        let alone = Load { slow: slow.clone(), rates: rates.to_vec(), spread, ..load() };
        let [counts, seen] = compare(&alone);
        assert!(seen.n_late() < counts.n_late(), "{rates:?} {spread}");
        let begun_slow = |it: &SlowTime| rates[it.server] * (it.end_s - it.begin_s);
        let n_begun_slow = slow.iter().map(begun_slow).sum::<f64>() * SEEDS.end as f64;
        assert!(seen.n_far <= counts.n_far + (1.1 * n_begun_slow) as u32, "{rates:?} {spread}");
    }
}

/// Guards against staying in a zone that has more calls than its server can serve, while the others are
/// nearly idle.
#[test]
fn crowded_zone() {
    let rates = vec![440.0, 20.0, 20.0];
    let [counts, seen] = compare(&Load { hosts_per_zone: 20, rates, seconds: 20.0, ..load() });
    assert!(seen.n_late() < counts.n_late() / 2);
    assert!(seen.n_far < seen.n_calls / 4, "most are served in their zone");
}

/// Guards against decisions that depend on more than the calls, the time and the seed.
#[test]
fn replays_are_equal() {
    let load = Load { slow: slow_in_turn(3, 4.0, 3.0, 8.0), ..load() };
    assert_eq!(replay(&load, Policy::Seen, 7), replay(&load, Policy::Seen, 7));
}
