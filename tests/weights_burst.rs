//! Weights reach every host of a pool, over real connections and from a stand-in of the origin.

mod fleet;

use std::{sync::Arc, time::Duration};

use crocustiller::{
    digest::Digest,
    rollout::WeightsTarget,
    runtime,
    weights::{resolve_target, Manifest},
};
use crocustiller_standins::{NewVersion, OriginStandin};

use fleet::{Fleet, FleetTerms};

/// Generous, so that a busy machine does not change the verdict.
const LIMIT: Duration = Duration::from_secs(60);

#[test]
fn every_host_verifies_the_same_bytes() {
    runtime::run_until(async {
        let (origin, manifest) = origin_with("v1", 4 << 20).await;
        let fleet = Fleet::start(FleetTerms::new(9, 3, origin.address())).await;
        let node = &fleet.running().next().unwrap().node;
        let target = resolve_target(node, "v1").await.unwrap();
        assert_eq!(target, target_of(&manifest));
        fleet.set_targets(std::slice::from_ref(&target));
        assert!(fleet.wait_verified(&target, LIMIT).await, "{:#?}", fleet.progress(&target));
        let digests = fleet.content_digests(&target).await;
        assert_eq!(digests, vec![Some(manifest.content_digest); 9]);
        let sent = origin.counts().versions["v1"].content_bytes;
        assert_eq!(sent, manifest.size_bytes, "the origin sends each chunk once");
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
