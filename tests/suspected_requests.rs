//! Which requests entry hosts refuse as crashing, as their reports to each other are lost, late or
//! repeated.

use std::time::{Duration, Instant};

use crocustiller::placement::{crash_id, CrashId, CrashSuspects, SuspectedRequest, TryId};

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

/// Equal requests come at hosts whose messages are late, lost or doubled: at most three reach servers
/// in a day if they crash them, and one soon clears a sound one.
#[test]
fn hosts_try_in_turn() {
    for seed in 0..N_SEEDS / 5 {
        let (n_tries, _) = play_tries(seed, true);
        assert!((2..=3).contains(&n_tries), "seed {seed}: {n_tries} tries");
        let (_, cleared_after) = play_tries(seed, false);
        let is_soon = cleared_after.is_some_and(|it| it < Duration::from_secs(6));
        assert!(is_soon, "seed {seed}: {cleared_after:?}");
    }
}

enum Message {
    Report(Vec<SuspectedRequest>),
    Claim(TryId),
}

/// Plays some time after the third crash; returns the number of tries, and the time until all hosts
/// accept the request.
fn play_tries(seed: u64, crashes_on: bool) -> (u32, Option<Duration>) {
    const CLAIM_DELAY_MS: u64 = 300;
    let mut random = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut hosts = vec![CrashSuspects::default(); 5];
    (0..3).for_each(|it| drop(hosts[it as usize].record_crash(REQUEST, crash(it), start)));
    spread(&mut hosts, start);
    let mut messages: Vec<(u64, usize, usize, Message)> = Vec::new();
    let mut claims: Vec<(u64, usize, TryId)> = Vec::new();
    let (mut n_tries, mut now_ms, mut last_try_ms) = (0, 0, 0);
    while now_ms < 3 * 3_600_000 {
        let is_idle = claims.is_empty() && now_ms > last_try_ms + 10_000;
        now_ms += if is_idle { 1000 } else { 20 };
        let now = start + Duration::from_millis(now_ms);
        let due;
        (due, messages) = messages.into_iter().partition(|it| it.0 <= now_ms);
        for (_, from, to, message) in due {
            match message {
                Message::Report(report) => hosts[to].merge(&report, now),
                Message::Claim(id) => {
                    let held = hosts[to].record_claim(REQUEST, id, now);
                    let answer = held.filter(|_| random.u8(0..10) > 0).map(Message::Claim);
                    messages.extend(answer.map(|it| (now_ms + random.u64(0..100), to, from, it)));
                }
            }
        }
        // A claim is sent three times, and ends unless another host's holds.
        let host = random.usize(0..hosts.len());
        let may_be_tried = hosts[host].may_be_tried(REQUEST, now);
        if may_be_tried && hosts[host].is_refused(REQUEST, now) {
            let id = random.u64(..);
            hosts[host].record_claim(REQUEST, id, now);
            claims.push((now_ms + CLAIM_DELAY_MS, host, id));
            for (to, sent_ms) in others(host).flat_map(|it| [(it, 0), (it, 100), (it, 200)]) {
                if random.u8(0..10) > 0 {
                    let arrival_ms = now_ms + sent_ms + random.u64(0..100);
                    messages.push((arrival_ms, host, to, Message::Claim(id)));
                }
            }
        }
        let ready;
        (ready, claims) = claims.into_iter().partition(|it| it.0 <= now_ms);
        for (_, host, id) in ready {
            let suspects = &mut hosts[host];
            if !suspects.is_refused(REQUEST, now) || !suspects.holds_claim(REQUEST, id, now) {
                continue;
            }
            n_tries += 1;
            last_try_ms = now_ms;
            if crashes_on {
                suspects.record_crash(REQUEST, crash(random.u64(..)), now);
                suspects.record_failed_try(REQUEST, id, now);
            } else {
                suspects.clear(REQUEST, now);
            }
        }
        if is_idle || now_ms % 100 == 0 {
            for to in others(host) {
                if random.u8(0..10) == 0 {
                    continue;
                }
                let arrival_ms = now_ms + random.u64(0..100);
                let report = hosts[host].reported(now);
                messages.push((arrival_ms, host, to, Message::Report(report)));
            }
        }
        if !hosts.iter().any(|it| it.is_refused(REQUEST, now)) {
            return (n_tries, Some(now - start));
        }
    }
    (n_tries, None)
}

fn others(host: usize) -> impl Iterator<Item = usize> {
    (0..5).filter(move |it| *it != host)
}
