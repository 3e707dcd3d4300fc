//! The order in which a cell admits requests of several ranks, beside first come, first served.

mod emulated_cell;

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

fn burst(factor: f64, kinds: &[usize]) -> Load {
    let bursts = kinds.iter().map(|it| Burst { kind: *it, factor: 2.2 }).collect();
    Load { factor, bursts, ..Load::default() }
}

/// Load pattern: overload with a burst of the least urgent kind. Guards against urgent requests being refused
/// for those that arrived before them.
#[test]
fn least_urgent_burst() {
    for factor in [1.0, 1.4, 1.8] {
        play_both(&burst(factor, &[2]), |arrival, need, text| {
            check_bounds(need, text);
            assert!(need.value >= arrival.value, "{text}");
        });
    }
}

/// Load pattern: overload with a burst of the most urgent kind. Guards against shutting out all others.
#[test]
fn most_urgent_burst() {
    play_both(&burst(1.4, &[0]), |arrival, need, text| {
        check_bounds(need, text);
        assert!(need.value >= arrival.value, "{text}");
    });
}

/// Load pattern: bursts of the most and of the least urgent kind at the same time.
#[test]
fn two_bursts() {
    play_both(&burst(1.4, &[0, 2]), |arrival, need, text| {
        check_bounds(need, text);
        assert!(need.value >= arrival.value, "{text}");
    });
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
    play_both(&load, |arrival, need, text| {
        check_bounds(need, text);
        assert!(need.value >= arrival.value, "{text}");
    });
}

/// Load pattern: sizes with a long tail. Guards against refusing all large requests.
#[test]
fn long_tails() {
    let load = Load { size_spread: 1.1, ..burst(1.2, &[2]) };
    play_both(&load, |arrival, need, text| {
        check_bounds(need, text);
        assert!(need.value >= arrival.value, "{text}");
    });
}

/// Load pattern: three owners, which each request asks in turn.
#[test]
fn three_owners() {
    let load = Load { n_owners: 3, ..burst(1.4, &[2]) };
    play_both(&load, |arrival, need, text| {
        check_bounds(need, text);
        assert!(need.value >= arrival.value, "{text}");
    });
}

/// Load pattern: an owner is lost during overload, with its queue and its memory of refusals.
#[test]
fn lost_owner() {
    let load = Load { n_owners: 3, loses_owner: true, ..burst(1.4, &[2]) };
    play_both(&load, |_, need, text| check_bounds(need, text));
}

/// Load pattern: callers return at once after a refusal. Guards against such callers getting more than
/// those that wait as told.
#[test]
fn hasty_returns() {
    for seed in 0..N_SEEDS {
        let patient = play(&burst(1.4, &[2]), Order::Need, seed);
        let load = Load { n_hasty_returns: 3, ..burst(1.4, &[2]) };
        let hasty = play(&load, Order::Need, seed);
        let text = format!("seed {seed}\n  patient {patient}\n  hasty   {hasty}");
        println!("{text}");
        check_bounds(&hasty, &text);
        assert!(hasty.value >= patient.value - 0.05, "{text}");
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
