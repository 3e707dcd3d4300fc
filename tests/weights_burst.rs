//! Bursts without faults: every host of a pool receives the weights from a stand-in of the origin.

mod fleet;

use std::{sync::Arc, time::Duration};

use crocustiller::{
    charter::RolloutMode,
    digest::Digest,
    rollout::WeightsTarget,
    runtime,
    weights::{resolve_target, Manifest},
};
use crocustiller_standins::{NewVersion, OriginStandin};

use fleet::{Fleet, FleetOptions};

/// Time in which all hosts must verify the weights; long enough for a busy machine.
const VERIFY_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn all_hosts_verify_identical_bytes() {
    for (n_hosts, n_regions) in [(1, 1), (2, 2), (5, 1), (9, 3), (20, 2)] {
        check_burst(n_hosts, n_regions, RolloutMode::OriginFirst, 1.0);
    }
}

#[test]
fn time_first_limits_origin_copies() {
    check_burst(9, 3, RolloutMode::TimeFirst, 2.0);
}

/// Runs a burst without faults and checks that all hosts get the same bytes and that the origin
/// sends at most `max_origin_copies` of the weights.
fn check_burst(n_hosts: usize, n_regions: usize, mode: RolloutMode, max_origin_copies: f64) {
    runtime::run_until(async move {
        let (origin, manifest) = origin_with("v1", 4 << 20).await;
        let options =
            FleetOptions { mode, ..FleetOptions::new(n_hosts, n_regions, origin.address()) };
        let fleet = Fleet::start(options).await;
        let node = &fleet.running().next().unwrap().node;
        let target = resolve_target(node, "v1").await.unwrap();
        assert_eq!(target, target_of(&manifest));
        fleet.set_targets(std::slice::from_ref(&target));
        assert!(
            fleet.wait_verified(&target, VERIFY_TIMEOUT).await,
            "{:#?}",
            fleet.progress(&target)
        );
        let digests = fleet.content_digests(&target).await;
        assert_eq!(digests, vec![Some(manifest.content_digest); n_hosts]);
        let sent = origin.counts().versions["v1"].content_bytes;
        let copies = sent as f64 / manifest.size_bytes as f64;
        assert!((1.0..=max_origin_copies).contains(&copies), "{copies} copies to {n_hosts} hosts");
    });
}

async fn origin_with(version: &str, size_bytes: u64) -> (OriginStandin, Arc<Manifest>) {
    let origin = OriginStandin::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let new_version =
        NewVersion { version: version.to_owned(), seed: 7, size_bytes, ..NewVersion::default() };
    let manifest = origin.add_version(&new_version).unwrap();
    (origin, manifest)
}

fn target_of(manifest: &Manifest) -> WeightsTarget {
    WeightsTarget {
        version: manifest.version.clone(),
        manifest_digest: Digest::of(&manifest.to_json()),
    }
}
