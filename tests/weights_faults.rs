//! Bursts with faults: every remaining host verifies exactly the intended weights, and the origin
//! sends a bounded number of copies.

mod fleet;

use std::{sync::Arc, time::Duration};

use crocustiller::{
    digest::Digest,
    rollout::WeightsTarget,
    runtime,
    weights::{rank, FetchCounts, Manifest},
};
use crocustiller_standins::{NewVersion, OriginBehaviour, OriginStandin};

use fleet::{link_proxy::LinkFault, Fleet, FleetOptions};

/// Time in which all hosts must verify the weights; long enough for a busy machine.
const VERIFY_TIMEOUT: Duration = Duration::from_secs(90);
/// Size of the weights.
const SIZE_BYTES: u64 = 4 << 20;
/// Number of hosts of the fleet.
const N_HOSTS: usize = 9;
/// Maximum number of copies of a version that the origin may send, whatever the fault.
const MAX_ORIGIN_COPIES: f64 = 4.0;

/// A fault that occurs during a burst.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// What the host with this index sends passes a proxy with a fault.
    Link(usize, LinkFault),
    /// The origin corrupts this percentage of its responses until the hosts have half of their
    /// chunks.
    OriginCorrupts(u32),
    /// The origin responds with status 429 for longer than the takeover delay.
    OriginRefuses,
    /// The origin is down for longer than the takeover delay.
    OriginDown,
    /// The origin stalls in the middle of each response for a time.
    OriginStalls,
    /// The host with origin rank 0 for the most chunks is dead from the start, and the others have
    /// not detected it.
    TopRankedHostDead,
    /// The hosts with these indices die at 30 % of the transfer.
    HostsDie(&'static [usize]),
    /// The host with this index restarts at 50 % of the transfer.
    HostRestarts(usize),
    /// The host with this index uses a wrong peer key.
    WrongKey(usize),
    /// Another version becomes the target at this percentage of the transfer.
    TargetChanges(u32),
}

/// Runs a burst in which `faults` occur together, and checks the weights of every running host, the
/// copies that the origin sent and the fetch counters.
fn check_burst(faults: &[Fault]) {
    runtime::run_until(async move {
        let origin = start_origin().await;
        let manifest = origin.add_version(&version("v1", 1)).unwrap();
        let mut fleet = Fleet::start(fleet_options(&origin, faults)).await;
        let mut target = target_of(&manifest);
        let mut proxies = Vec::new();
        for fault in faults {
            proxies.extend(inject_before_start(&mut fleet, &origin, &target, *fault).await);
        }
        fleet.set_targets(std::slice::from_ref(&target));
        for fault in faults {
            target = inject_during_transfer(&mut fleet, &origin, target, *fault).await;
        }
        for fault in faults {
            check_wrong_key_host(&mut fleet, *fault).await;
        }
        let is_verified = fleet.wait_verified(&target, VERIFY_TIMEOUT).await;
        assert!(is_verified, "{faults:?}: {}", summary(&fleet, &target));
        let expected = Digest::of(&origin.content(&target.version).unwrap());
        for digest in fleet.content_digests(&target).await {
            assert_eq!(digest, Some(expected), "{faults:?}");
        }
        for (version, counts) in origin.counts().versions {
            let copies = counts.content_bytes as f64 / SIZE_BYTES as f64;
            assert!(copies <= MAX_ORIGIN_COPIES, "{faults:?}: {copies} copies of {version}");
        }
        for fault in faults {
            check_fetch_counts(&fleet, &target, *fault);
        }
        for host in fleet.running() {
            assert_eq!(host.stage.progress().len(), 1, "{faults:?}: only the last target remains");
        }
    });
}

#[test]
fn corrupt_peer_data_is_refetched() {
    check_burst(&[Fault::Link(0, LinkFault::Corrupt(100))]);
    check_burst(&[Fault::Link(0, LinkFault::Corrupt(30))]);
}

#[test]
fn stalled_peer_is_bypassed() {
    check_burst(&[Fault::Link(1, LinkFault::StallAfter(0))]);
    check_burst(&[Fault::Link(1, LinkFault::StallAfter(700_000))]);
}

#[test]
fn corrupt_origin_data_is_refetched() {
    check_burst(&[Fault::OriginCorrupts(30)]);
}

#[test]
fn origin_429_is_survived() {
    check_burst(&[Fault::OriginRefuses]);
}

#[test]
fn origin_outage_is_survived() {
    check_burst(&[Fault::OriginDown]);
}

#[test]
fn origin_stall_is_survived() {
    check_burst(&[Fault::OriginStalls]);
}

#[test]
fn dead_top_ranked_host() {
    check_burst(&[Fault::TopRankedHostDead]);
}

#[test]
fn zone_loss_is_survived() {
    // Hosts 0 and 6 are in zone 0 of region 0, host 3 is in zone 1 of the same region.
    check_burst(&[Fault::HostsDie(&[0, 6])]);
}

#[test]
fn restarted_host_refetches_weights() {
    check_burst(&[Fault::HostRestarts(4)]);
}

#[test]
fn wrong_key_host_gets_nothing() {
    check_burst(&[Fault::WrongKey(5)]);
}

#[test]
fn changed_target_is_fetched() {
    check_burst(&[Fault::TargetChanges(30)]);
    check_burst(&[Fault::TargetChanges(90)]);
}

#[test]
fn two_faults_are_survived() {
    check_burst(&[Fault::Link(2, LinkFault::Corrupt(30)), Fault::HostsDie(&[3])]);
    check_burst(&[Fault::TopRankedHostDead, Fault::TargetChanges(30)]);
    check_burst(&[Fault::Link(7, LinkFault::StallAfter(300_000)), Fault::OriginDown]);
}

/// Injects the faults that exist before the targets are set.
async fn inject_before_start(
    fleet: &mut Fleet,
    origin: &OriginStandin,
    target: &WeightsTarget,
    fault: Fault,
) -> Option<fleet::link_proxy::LinkProxy> {
    match fault {
        Fault::Link(idx, fault) => return Some(fleet.start_link_proxy(idx, fault).await),
        Fault::TopRankedHostDead => {
            let idx = top_ranked_host(origin, target);
            fleet.kill(idx).await;
        }
        Fault::OriginCorrupts(corrupt_percent) => {
            origin.set_behaviour(OriginBehaviour { corrupt_percent, ..behaviour() });
        }
        _ => {}
    }
    None
}

/// Injects the faults that occur during the transfer and returns the target that is then intended.
async fn inject_during_transfer(
    fleet: &mut Fleet,
    origin: &OriginStandin,
    target: WeightsTarget,
    fault: Fault,
) -> WeightsTarget {
    match fault {
        Fault::OriginCorrupts(_) => fleet.wait_for_chunks(&target, 50).await,
        Fault::OriginRefuses => {
            fleet.wait_for_chunks(&target, 10).await;
            origin.set_behaviour(OriginBehaviour { status_429: true, ..behaviour() });
            runtime::sleep(Duration::from_secs(4)).await;
        }
        Fault::OriginDown => {
            fleet.wait_for_chunks(&target, 10).await;
            origin.set_behaviour(OriginBehaviour { down: true, ..behaviour() });
            runtime::sleep(Duration::from_secs(4)).await;
        }
        Fault::OriginStalls => {
            fleet.wait_for_chunks(&target, 10).await;
            origin.set_behaviour(OriginBehaviour { stall: true, ..behaviour() });
            runtime::sleep(Duration::from_secs(4)).await;
        }
        Fault::HostsDie(idxs) => {
            fleet.wait_for_chunks(&target, 30).await;
            for idx in idxs {
                fleet.kill(*idx).await;
            }
        }
        Fault::HostRestarts(idx) => {
            fleet.wait_for_chunks(&target, 50).await;
            fleet.restart(idx).await;
            fleet.set_targets(std::slice::from_ref(&target));
        }
        Fault::TargetChanges(percent) => {
            fleet.wait_for_chunks(&target, percent).await;
            let changed = NewVersion {
                similar_to: Some("v1".to_owned()),
                changed_percent: 50,
                ..version("v2", 2)
            };
            let manifest = origin.add_version(&changed).unwrap();
            let target = target_of(&manifest);
            fleet.set_targets(std::slice::from_ref(&target));
            return target;
        }
        Fault::Link(..) | Fault::TopRankedHostDead | Fault::WrongKey(_) => return target,
    }
    origin.set_behaviour(behaviour());
    target
}

/// Checks that a host with a wrong key gets no bytes from its peers, then kills it, since the
/// checks that follow expect verified weights on every running host.
async fn check_wrong_key_host(fleet: &mut Fleet, fault: Fault) {
    let Fault::WrongKey(idx) = fault else { return };
    runtime::sleep(Duration::from_secs(4)).await;
    for progress in fleet.hosts[idx].as_ref().unwrap().stage.progress() {
        assert!(!progress.is_verified);
        assert_eq!(progress.counts.peer_bytes, 0);
    }
    fleet.kill(idx).await;
}

/// Checks that the fetch counters show corrupt and stalled data.
fn check_fetch_counts(fleet: &Fleet, target: &WeightsTarget, fault: Fault) {
    let all = fleet.progress(target);
    let sum = |count: fn(&FetchCounts) -> u64| all.iter().map(|it| count(&it.counts)).sum::<u64>();
    let n_detected = match fault {
        Fault::Link(_, LinkFault::Corrupt(_)) | Fault::OriginCorrupts(_) => sum(|it| it.bad_chunks),
        Fault::Link(_, LinkFault::StallAfter(1..)) => {
            sum(|it| it.hedged_requests + it.stalled_requests)
        }
        _ => return,
    };
    assert!(n_detected > 0, "{fault:?}: {}", summary(fleet, target));
}

fn summary(fleet: &Fleet, target: &WeightsTarget) -> String {
    let all = fleet.progress(target);
    let lines = all.iter().map(|it| {
        let stored = format!("{}/{}", it.chunks_held, it.chunks_total);
        format!("\n  chunks {stored} problem {:?} {:?}", it.problem, it.counts)
    });
    lines.collect()
}

/// Returns the index of the host with origin rank 0 for the most chunks.
fn top_ranked_host(origin: &OriginStandin, target: &WeightsTarget) -> usize {
    let bytes = origin.content(&target.version).unwrap();
    let manifest = Manifest::build(&target.version, &bytes);
    let n_first = |idx: usize| {
        let score = |chunk: &Digest, idx: usize| {
            rank::score(rank::digest_hash(chunk), rank::host_hash(&format!("host-{idx}")))
        };
        let is_first =
            |chunk: &&Digest| (0..N_HOSTS).all(|other| score(chunk, other) <= score(chunk, idx));
        manifest.chunks.iter().filter(is_first).count()
    };
    (0..N_HOSTS).max_by_key(|it| n_first(*it)).unwrap()
}

async fn start_origin() -> OriginStandin {
    let origin = OriginStandin::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    origin.set_behaviour(behaviour());
    origin
}

fn behaviour() -> OriginBehaviour {
    OriginBehaviour { rate_bytes_per_s: SIZE_BYTES, ..OriginBehaviour::default() }
}

fn version(name: &str, seed: u64) -> NewVersion {
    NewVersion { version: name.to_owned(), seed, size_bytes: SIZE_BYTES, ..NewVersion::default() }
}

fn fleet_options(origin: &OriginStandin, faults: &[Fault]) -> FleetOptions {
    let wrong_key_host = faults.iter().find_map(|it| match it {
        Fault::WrongKey(idx) => Some(*idx),
        _ => None,
    });
    FleetOptions {
        bytes_per_s: SIZE_BYTES / 2,
        wrong_key_host,
        ..FleetOptions::new(N_HOSTS, 3, origin.address())
    }
}

fn target_of(manifest: &Arc<Manifest>) -> WeightsTarget {
    WeightsTarget {
        version: manifest.version.clone(),
        manifest_digest: Digest::of(&manifest.to_json()),
    }
}
