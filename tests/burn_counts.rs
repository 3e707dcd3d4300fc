//! Rings of counts agree with a plain list, and numbers that come into force are timed.

use std::time::Duration;

use crocustiller::report::{Convergence, CountRing, Counts, Window, SERIES_POINTS, SERIES_STEP};

/// Rings round up to slots of this span.
const SLOT_S: u64 = 30;

#[test]
fn ring_agrees_with_list() {
    for seed in 0..200 {
        check_seed(seed);
    }
}

#[test]
fn idle_time_empties_the_windows() {
    let mut ring = CountRing::default();
    ring.add(Duration::from_secs(10), one(false));
    let later = Duration::from_secs(7 * 3600);
    assert_eq!(ring.sum(later, Window::SixHours.duration()), Counts::default());
    ring.add(later, one(true));
    assert_eq!(ring.sum(later, Window::SixHours.duration()), one(true));
}

#[test]
fn numbers_in_force_are_timed() {
    let limit = s(20);
    let mut convergence = Convergence::default();
    assert_eq!(convergence.observe(s(0), 7, 5, limit), []);
    assert_eq!(convergence.observe(s(1), 8, 7, limit), []);
    assert_eq!(convergence.observe(s(2), 9, 7, limit), []);
    assert_eq!(convergence.observe(s(4), 9, 8, limit), [s(3)]);
    assert_eq!(convergence.observe(s(5), 9, 9, limit), [s(3)]);
    assert_eq!(convergence.observe(s(6), 9, 9, limit), []);
}

#[test]
fn late_number_counts_once() {
    let limit = s(20);
    let mut convergence = Convergence::default();
    convergence.observe(s(0), 1, 1, limit);
    convergence.observe(s(10), 2, 1, limit);
    assert_eq!(convergence.observe(s(31), 2, 1, limit), [s(21)]);
    assert_eq!(convergence.observe(s(40), 2, 2, limit), []);
}

fn check_seed(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut ring = CountRing::default();
    let mut list = Vec::new();
    let mut now_s = 0;
    for _ in 0..300 {
        now_s += rng.u64(0..200);
        let counts = one(rng.bool());
        ring.add(s(now_s), counts);
        list.push((now_s, counts));
    }
    now_s += rng.u64(0..4000);
    for window in Window::ALL {
        let expected = sum(&list, now_s, window.duration().as_secs());
        assert_eq!(ring.sum(s(now_s), window.duration()), expected, "seed {seed} {window:?}");
    }
    let series = ring.series(s(now_s), SERIES_STEP, SERIES_POINTS);
    let whole = sum(&list, now_s, SERIES_STEP.as_secs() * SERIES_POINTS as u64);
    assert_eq!(series.iter().map(|it| it.total).sum::<u64>(), whole.total, "seed {seed}");
}

fn sum(list: &[(u64, Counts)], now_s: u64, window_s: u64) -> Counts {
    let newest = now_s / SLOT_S;
    let oldest = (newest + 1).saturating_sub(window_s / SLOT_S);
    let mut sum = Counts::default();
    for (_, counts) in list.iter().filter(|it| it.0 / SLOT_S >= oldest) {
        sum += *counts;
    }
    sum
}

fn one(is_good: bool) -> Counts {
    Counts { good: is_good.into(), total: 1, wait_ms: 0 }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
