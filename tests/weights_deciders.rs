//! The pure functions that plan and pace a transfer of weights, partly over many seeds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crocustiller::{
    charter::RolloutMode,
    ids::HostId,
    weights::{
        chunk_picker::{next_chunk, PeerView},
        deadlines::{hedge_delay, takeover_base, takeover_delay},
        endgame::{Endgame, EndgameLimits},
        fetch_plan::{FetchPlan, PlanHost},
        link_share::LinkShare,
        neighbour_set::choose_neighbours,
        origin_backoff::OriginBackoff,
        peer_ejection::PeerEjection,
        token_bucket::TokenBucket,
        Manifest,
    },
};

#[test]
fn unique_origin_ranks() {
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let hosts = hosts(random.usize(1..40), random.usize(1..4));
        let manifest = manifest(seed);
        let plan = |host: &PlanHost| FetchPlan::new(&manifest, &host.host, hosts.clone()).unwrap();
        let plans: Vec<FetchPlan> = hosts.iter().map(plan).collect();
        for chunk in 0..manifest.n_chunks() {
            let ranks = plans.iter().map(|it| it.role(chunk).origin_rank);
            let ranks: BTreeSet<u32> = ranks.collect();
            assert!(ranks.into_iter().eq(0..hosts.len() as u32), "seed {seed} chunk {chunk}");
            check_relays(&plans, &hosts, chunk);
        }
    }
}

/// Checks that every region has exactly one relay of rank 0 and that exactly one region contains
/// the host of origin rank 0.
fn check_relays(plans: &[FetchPlan], hosts: &[PlanHost], chunk: u32) {
    let mut relays = BTreeSet::new();
    let mut origin_regions = BTreeSet::new();
    for (plan, host) in plans.iter().zip(hosts) {
        let role = plan.role(chunk);
        if role.relay_rank == 0 {
            assert!(relays.insert(&host.region), "two relays in {}", host.region);
        }
        if role.is_origin_host_in_region {
            origin_regions.insert(&host.region);
        }
    }
    let regions: BTreeSet<_> = hosts.iter().map(|it| &it.region).collect();
    assert_eq!((relays, origin_regions.len()), (regions, 1));
}

#[test]
fn unknown_host_has_no_plan() {
    assert!(FetchPlan::new(&manifest(1), "host-9", hosts(3, 1)).is_none());
}

#[test]
fn neighbours_are_bounded_and_mutual() {
    for n_hosts in 1..120 {
        let hosts: Vec<HostId> = (0..n_hosts).map(|it| format!("host-{it}")).collect();
        let chosen: BTreeMap<&HostId, Vec<HostId>> =
            hosts.iter().map(|it| (it, choose_neighbours(it, &hosts, 12))).collect();
        for (host, neighbours) in &chosen {
            let distinct: BTreeSet<_> = neighbours.iter().collect();
            assert_eq!(neighbours.len(), (n_hosts - 1).min(12));
            assert_eq!(distinct.len(), neighbours.len());
            assert!(!neighbours.contains(host));
            for neighbour in neighbours {
                assert!(
                    chosen[neighbour].contains(host),
                    "{n_hosts} hosts: {host} is not a neighbour of {neighbour}"
                );
            }
        }
        assert_eq!(n_reached(&hosts[0], &chosen), n_hosts);
    }
}

fn n_reached(first: &HostId, chosen: &BTreeMap<&HostId, Vec<HostId>>) -> usize {
    let mut reached = BTreeSet::from([first.clone()]);
    let mut pending = vec![first.clone()];
    while let Some(host) = pending.pop() {
        pending.extend(chosen[&host].iter().filter(|it| reached.insert((*it).clone())).cloned());
    }
    reached.len()
}

#[test]
fn rarest_chunk_is_picked_first() {
    let first = [true, true, false, true];
    let second = [true, false, false, true];
    let peers = [view(&first, 0, true), view(&second, 0, true)];
    for seed in 0..100 {
        let mut random = fastrand::Rng::with_seed(seed);
        let pick = next_chunk(&[true; 4], &peers, &mut random).unwrap();
        assert_eq!((pick.chunk, pick.peer), (1, 0), "seed {seed}");
    }
}

#[test]
fn pick_least_loaded_holder() {
    for seed in 0..2_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let n_chunks = random.usize(1..20);
        let bools = |random: &mut fastrand::Rng| -> Vec<bool> {
            (0..n_chunks).map(|_| random.bool()).collect()
        };
        let is_wanted = bools(&mut random);
        let has_chunk: Vec<Vec<bool>> =
            (0..random.usize(0..6)).map(|_| bools(&mut random)).collect();
        let peers: Vec<PeerView<'_>> =
            has_chunk.iter().map(|it| view(it, random.u32(0..4), random.u8(0..4) > 0)).collect();
        let can_send =
            |peer: &PeerView<'_>, chunk: usize| peer.is_available && peer.has_chunk[chunk];
        let Some(pick) = next_chunk(&is_wanted, &peers, &mut random) else {
            let is_any_available =
                (0..n_chunks).any(|it| is_wanted[it] && peers.iter().any(|p| can_send(p, it)));
            assert!(!is_any_available, "seed {seed}: a chunk was available but none was picked");
            continue;
        };
        let chunk = pick.chunk as usize;
        assert!(is_wanted[chunk] && can_send(&peers[pick.peer], chunk), "seed {seed}");
        let min_load = peers.iter().filter(|it| can_send(it, chunk)).map(|it| it.load).min();
        assert_eq!(Some(peers[pick.peer].load), min_load, "seed {seed}");
    }
}

#[test]
fn ties_are_broken_at_random() {
    let has_chunk = [true; 8];
    let peers = [view(&has_chunk, 0, true)];
    let pick = |seed| next_chunk(&[true; 8], &peers, &mut fastrand::Rng::with_seed(seed)).unwrap();
    let chunks: BTreeSet<u32> = (0..200).map(|it| pick(it).chunk).collect();
    assert_eq!(chunks.len(), 8);
}

#[test]
fn takeover_delay_doubles_with_rank() {
    let base = takeover_base(Duration::from_millis(10), Duration::ZERO);
    assert_eq!(takeover_delay(base, 0), Duration::ZERO);
    for rank in 1..6 {
        let (delay, next_delay) = (takeover_delay(base, rank), takeover_delay(base, rank + 1));
        assert_eq!(next_delay, delay * 2 + base);
    }
    assert!(takeover_delay(base, u32::MAX) > takeover_delay(base, 100));
}

#[test]
fn takeover_despite_stalled_fetch() {
    let chunk_time = Duration::from_millis(40);
    let typical_base = takeover_base(chunk_time, Duration::ZERO);
    assert!(takeover_base(chunk_time, Duration::from_secs(3600)) <= typical_base * 2);
}

#[test]
fn hedge_delay_of_slow_peers() {
    let chunk_time = Duration::from_millis(40);
    let slow_delay = hedge_delay(Some(Duration::from_secs(1)), chunk_time);
    assert!(slow_delay > hedge_delay(Some(Duration::from_millis(50)), chunk_time));
    assert!(slow_delay > hedge_delay(None, chunk_time));
}

#[test]
fn third_corrupt_chunk_ejects_host() {
    let now = Instant::now();
    let mut peer_ejection = PeerEjection::default();
    assert!(
        !peer_ejection.record_corrupt_chunk("host-1", now)
            && !peer_ejection.record_corrupt_chunk("host-1", now)
    );
    assert!(!peer_ejection.is_ejected("host-1", now));
    assert!(peer_ejection.record_corrupt_chunk("host-1", now));
    assert!(peer_ejection.is_ejected("host-1", now) && !peer_ejection.is_ejected("host-2", now));
    assert!(!peer_ejection.is_ejected("host-1", now + Duration::from_secs(3600)));
}

#[test]
fn retry_after_is_obeyed() {
    let now = Instant::now();
    for random in [0.0, 0.5, 0.99] {
        let mut origin_backoff = OriginBackoff::default();
        origin_backoff.record_refusal(Duration::from_secs(7), now, random);
        assert!(!origin_backoff.allows_request(now + Duration::from_millis(6_999)));
        assert!(origin_backoff.allows_request(now + Duration::from_secs(11)));
        // A failure during the pause does not shorten it.
        origin_backoff.record_failure(now, random);
        assert!(!origin_backoff.allows_request(now + Duration::from_millis(6_999)));
    }
}

#[test]
fn endgame_limits_origin_copies() {
    for (mode, origin_copies, max_copies) in [
        (RolloutMode::OriginFirst, 4, 0),
        (RolloutMode::TimeFirst, 1, 0),
        (RolloutMode::TimeFirst, 2, 256),
        (RolloutMode::TimeFirst, 4, 3 * 256),
    ] {
        for n_hosts in [1, 7, 60, 300] {
            let limits = EndgameLimits { mode, origin_copies, n_chunks: 256, n_hosts };
            let mut endgame = Endgame::default();
            let mut n_copies = 0;
            while endgame.allows_copy(&limits) {
                endgame.record_copy();
                n_copies += 1;
            }
            assert!(n_copies * n_hosts <= max_copies, "{limits:?}: {n_copies} copies per host");
        }
    }
}

#[test]
fn late_requests_reduce_link_share() {
    let start = Instant::now();
    let mut share = LinkShare::new(20, start);
    let mut now = start;
    for _ in 0..100 {
        now += Duration::from_secs(1);
        share.report(true, now);
        assert!(share.at(now) >= 0.2);
    }
    assert!(share.at(now) < 0.5, "late live requests reduce the share");
    let recovered = share.at(now + Duration::from_secs(2));
    assert!(recovered > share.at(now) - 1e-9 && recovered < 1.0, "the share recovers slowly");
    assert!((share.at(now + Duration::from_secs(60)) - 1.0).abs() < 1e-9);
}

#[test]
fn token_bucket_enforces_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);
    let (mut now, mut sent) = (start, 0);
    while now < start + Duration::from_secs(10) {
        match bucket.try_take(50_000, 1_000_000.0, now) {
            Ok(()) => sent += 50_000,
            Err(debt) => now += debt.max(Duration::from_nanos(1)),
        }
    }
    assert!((9_900_000..=10_200_000).contains(&sent), "{sent} bytes in 10 s");
}

fn view(has_chunk: &[bool], load: u32, is_available: bool) -> PeerView<'_> {
    PeerView { has_chunk, load, is_available }
}

fn hosts(n_hosts: usize, n_regions: usize) -> Vec<PlanHost> {
    let host = |idx: usize| PlanHost {
        host: format!("host-{idx}"),
        region: format!("region-{}", idx % n_regions),
    };
    (0..n_hosts).map(host).collect()
}

fn manifest(seed: u64) -> Manifest {
    let mut bytes = vec![0; 300 << 10];
    fastrand::Rng::with_seed(seed).fill(&mut bytes);
    Manifest::build("v1", &bytes)
}
