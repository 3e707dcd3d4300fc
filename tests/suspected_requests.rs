//! Which requests entry hosts refuse as crashing, as their reports to each other are lost, late or
//! repeated.

use std::time::{Duration, Instant};

use crocustiller::placement::{crash_id, CrashId, CrashSuspects};

const REQUEST: u64 = 7;
const N_SEEDS: u64 = 200;

fn crash(number: u64) -> CrashId {
    crash_id(&format!("ledger-{number}"), 1000)
}

/// Hosts hear each other in any order, again and again, and start anew; they agree in the end, and no
/// crash counts twice.
#[test]
fn hearsay_never_adds_up() {
    for seed in 0..N_SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut hosts = vec![CrashSuspects::default(); 4];
        let mut reports = Vec::new();
        let n_crashes = random.u64(1..=4);
        for number in 0..n_crashes {
            for _ in 0..random.u32(1..=3) {
                hosts[random.usize(0..4)].record_crash(REQUEST, crash(number), now);
            }
            for _ in 0..random.u32(0..30) {
                now += Duration::from_millis(random.u64(0..100));
                reports.push(hosts[random.usize(0..4)].reported(now));
                let report = &reports[random.usize(0..reports.len())];
                hosts[random.usize(0..4)].merge(report, now);
            }
        }
        spread(&mut hosts, now);
        hosts[random.usize(0..4)] = CrashSuspects::default();
        spread(&mut hosts, now);
        for host in &hosts {
            assert_eq!(host.is_refused(REQUEST, now), n_crashes >= 3, "seed {seed}");
            assert!((0..n_crashes).all(|it| host.has_crashed(REQUEST, crash(it))), "seed {seed}");
        }
    }
}

/// A request that succeeded at one host stays cleared: whatever reports say that come seconds late, and
/// if each host knows other crashes, far more than are remembered.
#[test]
fn success_clears_everywhere() {
    for seed in 0..N_SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut hosts = vec![CrashSuspects::default(); 4];
        let mut reports = Vec::new();
        let (max_crashes, max_delay_ms) = [(16, 5000), (60, 0)][seed as usize % 2];
        for number in 0..random.u64(1..=max_crashes) {
            let host = random.usize(0..4);
            hosts[host].record_crash(REQUEST, crash(number), now);
            reports.push(hosts[host].reported(now));
        }
        spread(&mut hosts, now);
        hosts[random.usize(0..4)].clear(REQUEST, now);
        spread(&mut hosts, now);
        random.shuffle(&mut reports);
        for report in &reports {
            now += Duration::from_millis(random.u64(0..=max_delay_ms / 16));
            hosts[random.usize(0..4)].merge(report, now);
            spread(&mut hosts, now);
        }
        assert!(!hosts.iter().any(|it| it.is_refused(REQUEST, now)), "seed {seed}");
    }
}

/// Load pattern: the connections of many sound requests, none of which comes again, break between two
/// crashes of a request.
#[test]
fn others_evict_request() {
    let now = Instant::now();
    let mut host = CrashSuspects::default();
    for number in 0..3 {
        host.record_crash(REQUEST, crash(number), now);
        for other in 0..200 {
            host.record_crash(1000 * (number + 1) + other, crash(number), now);
        }
    }
    assert!(host.is_refused(REQUEST, now));
    let mut started_anew = CrashSuspects::default();
    started_anew.merge(&host.reported(now), now);
    assert!(started_anew.is_refused(REQUEST, now));
}

fn spread(hosts: &mut [CrashSuspects], now: Instant) {
    for _ in 0..2 {
        let reports: Vec<_> = hosts.iter().map(|it| it.reported(now)).collect();
        for host in hosts.iter_mut() {
            reports.iter().for_each(|it| host.merge(it, now));
        }
    }
}
