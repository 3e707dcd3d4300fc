//! Which parts of prompts are quarantined after crashes, in random days of an emulated pool.

mod emulated_pool;

use crocustiller::placement::PartDigest;
use emulated_pool::{Day, Pool, BAD, COMPANION, OTHER_BAD};
use fastrand::Rng;

/// Checks days with requests begun in turn, and without, as while owners of engines are not heard.
fn check_both(day: &Day, n_seeds: u64, bad: &[PartDigest], may_refuse: &[PartDigest]) {
    for begins_in_turn in [false, true] {
        let day = Day { begins_in_turn, ..day.clone() };
        check_days(&day, n_seeds, bad, may_refuse);
    }
}

fn check_days(day: &Day, n_seeds: u64, bad: &[PartDigest], may_refuse: &[PartDigest]) {
    let mut misses = Vec::new();
    let (mut worst_crashes, mut slowest) = (0, i64::MIN);
    for seed in 0..n_seeds {
        let pool = Pool::play(day, seed);
        for part in bad {
            misses.extend(pool.misses(*part).into_iter().map(|it| format!("seed {seed}: {it}")));
            let crashes = &pool.bad_crashes[part];
            let known = pool.refused.iter().filter(|it| it.0 .0 == *part).map(|it| *it.1 as i64);
            let fifth = crashes.get(4).map_or(i64::MAX, |it| *it as i64);
            worst_crashes = worst_crashes.max(crashes.len());
            slowest = slowest.max(known.max().unwrap_or(0).saturating_sub(fifth));
        }
        let falsely: Vec<PartDigest> =
            pool.quarantined().into_iter().filter(|it| !may_refuse.contains(it)).collect();
        if !falsely.is_empty() {
            misses.push(format!("seed {seed}: {falsely:?} falsely quarantined"));
        }
    }
    let n_hosts = day.n_hosts;
    eprintln!("{n_hosts} hosts: {worst_crashes} crashes, {slowest} ms after the fifth at worst");
    assert!(misses.is_empty(), "{n_hosts} hosts:\n{}", misses.join("\n"));
}

#[test]
fn bad_part_on_all_hosts() {
    for (n_hosts, n_engines, n_seeds) in [(7, 16, 50), (60, 60, 8), (149, 156, 3)] {
        let day = Day::new(n_hosts, n_engines);
        check_both(&day, n_seeds, &[BAD], &[BAD]);
    }
}

#[test]
fn rates_of_bad_requests() {
    for (bad_per_s, end_ms) in [(0.2, 60_000), (1.0, 20_000), (12.0, 12_000), (30.0, 12_000)] {
        let day = Day { bad_per_s, end_ms, sound_per_s: 60.0, ..Day::new(7, 16) };
        eprintln!("rate {bad_per_s}");
        check_both(&day, 20, &[BAD], &[BAD]);
    }
}

#[test]
fn two_bad_parts() {
    let bad_parts = vec![vec![BAD], vec![OTHER_BAD]];
    let day = Day { bad_parts, end_ms: 15_000, ..Day::new(7, 16) };
    check_both(&day, 20, &[BAD, OTHER_BAD], &[BAD, OTHER_BAD]);
}

#[test]
fn bad_first_part() {
    check_both(&Day { bad_place: 0, ..Day::new(7, 16) }, 20, &[BAD], &[BAD]);
}

/// Either of two parts that always come together may be refused.
#[test]
fn bad_part_with_companion() {
    let bad_parts = vec![vec![COMPANION, BAD]];
    check_both(&Day { bad_parts, ..Day::new(7, 16) }, 20, &[BAD], &[BAD, COMPANION]);
}

#[test]
fn restarted_host_learns() {
    let day = Day { restart_ms: Some(8000), ..Day::new(7, 16) };
    check_both(&day, 20, &[BAD], &[BAD]);
}

/// Sound requests must begin half as often as at other times, so fewer than half of the engines may be
/// lost to one part.
#[test]
fn one_part_takes_most_engines() {
    const N_ENGINES: usize = 16;
    const N_SEEDS: u64 = 50;
    let day = Day { begins_in_turn: true, ..Day::new(7, N_ENGINES) };
    check_days(&day, N_SEEDS, &[BAD], &[BAD]);
    let n_crashes: usize =
        (0..N_SEEDS).map(|seed| Pool::play(&day, seed).bad_crashes[&BAD].len()).sum();
    let mean = n_crashes as f64 / N_SEEDS as f64;
    assert!(mean < N_ENGINES as f64 / 2.0, "{mean} of {N_ENGINES} engines a day");
}

#[test]
fn split_hosts() {
    let day = Day { split_at: 3, joined_ms: 9000, end_ms: 15_000, ..Day::new(7, 16) };
    check_days(&day, 20, &[BAD], &[BAD]);
}

/// Halves of a fleet that don't hear each other, each with its own engines and owners.
#[test]
fn turns_in_divided_fleet() {
    let divided = Day { split_at: 3, joined_ms: 9000, end_ms: 15_000, ..Day::new(7, 16) };
    let day = Day { begins_in_turn: true, ..divided };
    check_days(&day, 50, &[BAD], &[BAD]);
}

/// Engines die for all kinds of reasons, and rare parts are in requests to them.
#[test]
fn no_part_falsely_quarantined() {
    let mut falsely = Vec::new();
    for (seed, begins_in_turn) in (0..200).flat_map(|it| [(it, false), (it, true)]) {
        let mut random = Rng::with_seed(seed);
        let quiet = Day { bad_per_s: 0.0, end_ms: 40_000, ..Day::new(7, 16) };
        let mut day = Day { begins_in_turn, ..quiet };
        day.sound_per_s = random.choice([2.0, 20.0, 100.0]).unwrap_or(20.0);
        day.crashes = random_crashes(&mut random, day.n_engines, day.end_ms);
        let pool = Pool::play(&day, seed);
        if !pool.quarantined().is_empty() {
            falsely.push((seed, day.sound_per_s, pool.quarantined()));
        }
    }
    assert!(falsely.is_empty(), "{falsely:?}");
}

/// Half of the engines at once, engines that flap, and engines one after the other.
fn random_crashes(random: &mut Rng, n_engines: usize, end_ms: u64) -> Vec<(u64, Vec<usize>)> {
    let mut crashes = Vec::new();
    for _ in 0..random.u32(0..4) {
        let half = random.choose_multiple(0..n_engines, n_engines / 2);
        crashes.push((random.u64(0..end_ms), half));
    }
    for engine in random.choose_multiple(0..n_engines, 2) {
        let gap_ms = random.u64(300..3000);
        crashes.extend((0..end_ms / gap_ms).map(|it| (it * gap_ms, vec![engine])));
    }
    let (begin, gap_ms) = (random.u64(0..end_ms), random.u64(400..4000));
    crashes.extend((0..n_engines).map(|it| (begin + it as u64 * gap_ms, vec![it])));
    crashes
}
