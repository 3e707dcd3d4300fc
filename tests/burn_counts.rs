//! Sums of `CountRing` match those of a plain list, and `Convergence` measures how long a number
//! takes to come into force.

use std::time::Duration;

use crocustiller::report::{Convergence, CountRing, Counts, Window, SERIES_POINTS, SERIES_STEP};

/// The duration of a bucket of `CountRing`, in seconds; windows are rounded up to complete buckets.
const BUCKET_S: u64 = 30;

#[test]
fn ring_matches_list() {
    for seed in 0..200 {
        check_seed(seed);
    }
}

#[test]
fn old_counts_leave_the_windows() {
    let mut ring = CountRing::default();
    ring.add(Duration::from_secs(10), single_count(false));
    let later = Duration::from_secs(7 * 3600);
    assert_eq!(ring.sum(later, Window::SixHours.duration()), Counts::default());
    ring.add(later, single_count(true));
    assert_eq!(ring.sum(later, Window::SixHours.duration()), single_count(true));
}

#[test]
fn convergence_time_is_measured() {
    let limit = secs(20);
    let mut convergence = Convergence::default();
    assert_eq!(convergence.observe(secs(0), 7, 5, limit), []);
    assert_eq!(convergence.observe(secs(1), 8, 7, limit), []);
    assert_eq!(convergence.observe(secs(2), 9, 7, limit), []);
    assert_eq!(convergence.observe(secs(4), 9, 8, limit), [secs(3)]);
    assert_eq!(convergence.observe(secs(5), 9, 9, limit), [secs(3)]);
    assert_eq!(convergence.observe(secs(6), 9, 9, limit), []);
}

/// A number that is not in force everywhere within the limit of 20 s is reported once, and not
/// again when it comes into force.
#[test]
fn overdue_number_is_measured_once() {
    let limit = secs(20);
    let mut convergence = Convergence::default();
    convergence.observe(secs(0), 1, 1, limit);
    convergence.observe(secs(10), 2, 1, limit);
    assert_eq!(convergence.observe(secs(31), 2, 1, limit), [secs(21)]);
    assert_eq!(convergence.observe(secs(40), 2, 2, limit), []);
}

fn check_seed(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut ring = CountRing::default();
    let mut list = Vec::new();
    let mut now_s = 0;
    for _ in 0..300 {
        now_s += rng.u64(0..200);
        let counts = single_count(rng.bool());
        ring.add(secs(now_s), counts);
        list.push((now_s, counts));
    }
    now_s += rng.u64(0..4000);
    for window in Window::ALL {
        let expected = sum(&list, now_s, window.duration().as_secs());
        assert_eq!(ring.sum(secs(now_s), window.duration()), expected, "seed {seed} {window:?}");
    }
    let series = ring.series(secs(now_s), SERIES_STEP, SERIES_POINTS);
    let expected_total = sum(&list, now_s, SERIES_STEP.as_secs() * SERIES_POINTS as u64);
    assert_eq!(series.iter().map(|it| it.total).sum::<u64>(), expected_total.total, "seed {seed}");
}

fn sum(list: &[(u64, Counts)], now_s: u64, window_s: u64) -> Counts {
    let newest = now_s / BUCKET_S;
    let oldest = (newest + 1).saturating_sub(window_s / BUCKET_S);
    let mut sum = Counts::default();
    for (_, counts) in list.iter().filter(|it| it.0 / BUCKET_S >= oldest) {
        sum += *counts;
    }
    sum
}

fn single_count(is_good: bool) -> Counts {
    Counts { good: is_good.into(), total: 1, wait_ms: 0 }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
