//! Invalid manifests and chunks: each is reported, memory stays bounded and other targets proceed.

mod fleet;

use std::{sync::Arc, time::Duration};

use crocustiller::{
    digest::Digest,
    rollout::WeightsTarget,
    runtime,
    weights::{
        resolve_target, ChunkBytes, ChunkError, ChunkInventory, ChunkStore, Fetching, LoadError,
        Manifest, VerifiedChunk, Weights, MAX_MANIFEST_BYTES,
    },
};
use crocustiller_standins::{NewVersion, OriginBehaviour, OriginStandin};

use fleet::{Fleet, FleetOptions};

/// Time in which all hosts must verify the weights; long enough for a busy machine.
const VERIFY_TIMEOUT: Duration = Duration::from_secs(60);
/// Memory limit of each host for weights.
const MEMORY_LIMIT_BYTES: u64 = 3 << 20;

/// Returns invalid manifests, each with a part of the error message that is expected.
fn invalid_manifests() -> Vec<(String, &'static str)> {
    let valid = Manifest::build("v1", &[7; 300 << 10]);
    let json = String::from_utf8(valid.to_json()).unwrap();
    let size = format!("\"size_bytes\":{}", valid.size_bytes);
    let chunk = format!("\"chunk_bytes\":{}", valid.chunk_bytes);
    vec![
        (json.replace(&size, "\"size_bytes\":-1"), "can't be read"),
        (json.replace(&size, "\"size_bytes\":0"), "at least one byte"),
        (json.replace(&size, "\"size_bytes\":1"), "sizes need 1"),
        (json.replace(&size, "\"size_bytes\":18446744073709551615"), "sizes need"),
        (json.replace(&size, "\"size_bytes\":99999999999999999999"), "can't be read"),
        (json.replace(&chunk, "\"chunk_bytes\":0"), "chunk_bytes=0"),
        (json.replace(&chunk, "\"chunk_bytes\":4294967295"), "chunk_bytes=4294967295"),
        // 10^9 chunks of one byte each.
        (
            json.replace(&size, "\"size_bytes\":1000000000").replace(&chunk, "\"chunk_bytes\":1"),
            "need 1000000000",
        ),
        (json.replace("\"version\"", "\"verzion\""), "can't be read"),
        (json[..json.len() / 2].to_owned(), "can't be read"),
        (String::new(), "can't be read"),
        ("[".repeat(100_000), "can't be read"),
        ("x".repeat(MAX_MANIFEST_BYTES + 1), "at most"),
    ]
}

#[test]
fn invalid_manifests_are_refused() {
    for (text, problem) in invalid_manifests() {
        let err = Manifest::parse(text.as_bytes(), MEMORY_LIMIT_BYTES).unwrap_err().to_string();
        assert!(err.contains(problem), "{err}");
    }
}

#[test]
fn manifest_above_memory_limit() {
    let manifest = Manifest::build("v1", &[7; 300 << 10]);
    let err = Manifest::parse(&manifest.to_json(), 1 << 10).unwrap_err().to_string();
    assert!(err.contains("memory_limit_bytes"), "{err}");
}

#[test]
fn manifest_with_wrong_digest() {
    let expected = Digest::of(b"another");
    let err =
        Manifest::parse_verified(b"not even JSON", &expected, u64::MAX).unwrap_err().to_string();
    assert!(err.contains(&expected.to_string()), "{err}");
}

#[test]
fn invalid_origin_manifest_is_reported() {
    runtime::run_until(async {
        let origin = start_origin().await;
        add_version(&origin, "v1", 1, false);
        let fleet = Fleet::start(fleet_options(&origin)).await;
        let node = &fleet.running().next().unwrap().node;
        for (text, problem) in invalid_manifests() {
            let manifest_text = Some(text.clone());
            origin.set_behaviour(OriginBehaviour { manifest_text, ..OriginBehaviour::default() });
            let err = resolve_target(node, "v1").await.unwrap_err().to_string();
            let is_reported = err.contains(problem) || err.contains("longer than");
            assert!(is_reported, "{err}");
        }
        origin.set_behaviour(OriginBehaviour::default());
        let err = resolve_target(node, "v9").await.unwrap_err().to_string();
        assert!(err.contains("status 404"), "{err}");
        assert!(resolve_target(node, "v1").await.is_ok());
    });
}

#[test]
fn unusable_targets_block_no_others() {
    runtime::run_until(async {
        let origin = start_origin().await;
        let valid = target_of(&add_version(&origin, "v1", 1, false));
        let oversized = target_of(&origin.add_version(&version("big", 2, 4 << 20)).unwrap());
        let unknown =
            WeightsTarget { version: "v1".to_owned(), manifest_digest: Digest::of(b"unknown") };
        let fleet = Fleet::start(fleet_options(&origin)).await;
        fleet.set_targets(&[unknown.clone(), oversized.clone(), valid.clone()]);
        assert!(fleet.wait_verified(&valid, VERIFY_TIMEOUT).await);
        wait_for_problem(&fleet, &oversized, "memory_limit_bytes").await;
        wait_for_problem(&fleet, &unknown, "holds another version").await;
        for progress in fleet.progress(&oversized).iter().chain(&fleet.progress(&unknown)) {
            assert!(!progress.is_verified && progress.chunks_held == 0);
        }
    });
}

#[test]
fn second_version_waits_for_memory() {
    runtime::run_until(async {
        let origin = start_origin().await;
        let first = target_of(&add_version(&origin, "v1", 1, false));
        let second = target_of(&add_version(&origin, "v2", 2, false));
        let fleet = Fleet::start(fleet_options(&origin)).await;
        fleet.set_targets(std::slice::from_ref(&first));
        assert!(fleet.wait_verified(&first, VERIFY_TIMEOUT).await);
        fleet.set_targets(&[first.clone(), second.clone()]);
        wait_for_problem(&fleet, &second, "memory_limit_bytes").await;
        fleet.set_targets(std::slice::from_ref(&second));
        assert!(
            fleet.wait_verified(&second, VERIFY_TIMEOUT).await,
            "the memory of the first version is freed"
        );
    });
}

#[test]
fn changed_content_is_never_verified() {
    runtime::run_until(async {
        let origin = start_origin().await;
        let target = target_of(&add_version(&origin, "v1", 1, false));
        // Replaces the content but keeps the old manifest.
        add_version(&origin, "v1", 2, true);
        let fleet = Fleet::start(fleet_options(&origin)).await;
        fleet.set_targets(std::slice::from_ref(&target));
        wait_for_problem(&fleet, &target, "the origin sends wrong bytes").await;
        for progress in fleet.progress(&target) {
            assert!(!progress.is_verified && progress.chunks_held == 0);
        }
        add_version(&origin, "v1", 1, true);
        assert!(
            fleet.wait_verified(&target, VERIFY_TIMEOUT).await,
            "the restored content is verified"
        );
    });
}

#[test]
fn unchanged_chunks_are_reused() {
    runtime::run_until(async {
        let origin = start_origin().await;
        let first = target_of(&add_version(&origin, "v1", 1, false));
        let changed = NewVersion {
            similar_to: Some("v1".to_owned()),
            changed_percent: 25,
            ..version("v2", 2, 2 << 20)
        };
        let second = target_of(&origin.add_version(&changed).unwrap());
        let fleet = Fleet::start(fleet_options(&origin)).await;
        for target in [&first, &second] {
            fleet.set_targets(std::slice::from_ref(target));
            assert!(fleet.wait_verified(target, VERIFY_TIMEOUT).await);
        }
        let sent = origin.counts().versions["v2"].content_bytes;
        assert!(sent > 0 && sent < 1 << 20, "{sent} bytes of the second version were sent");
    });
}

#[test]
fn chunk_store_keeps_its_limit() {
    let store = ChunkStore::new(100);
    assert!(store.insert(verified(&[1; 60])));
    assert!(store.insert(verified(&[1; 60])), "the same chunk counts once");
    assert!(!store.insert(verified(&[2; 60])));
    assert_eq!(store.stored_bytes(), 60);
}

#[test]
fn wrong_bytes_fail_verification() {
    let expected = Digest::of(b"right");
    let res = VerifiedChunk::verify(ChunkBytes::new(b"wrong".to_vec()), &expected);
    assert_eq!(res.unwrap_err(), ChunkError::Digest(expected, Digest::of(b"wrong")));
}

#[test]
fn partial_weights_fail_verification() {
    let bytes = vec![5; 200 << 10];
    let manifest = Manifest::build("v1", &bytes);
    let store = ChunkStore::new(1 << 20);
    let inventory = Arc::new(ChunkInventory::new(
        Digest::of(b"m"),
        manifest.to_json(),
        manifest.clone(),
        &store,
    ));
    let weights = Weights::<Fetching>::new(inventory).verify(&store).unwrap_err();
    for chunk in bytes.chunks(manifest.chunk_bytes as usize) {
        store.insert(verified(chunk));
    }
    let weights = weights.verify(&store).unwrap();
    let other = Digest::of(b"another model");
    let err = weights.clone().confirm_loaded(other).unwrap_err();
    assert_eq!(err, LoadError::ContentDigest(manifest.content_digest, other));
    assert!(weights.confirm_loaded(Digest::of(&bytes)).is_ok());
}

async fn wait_for_problem(fleet: &Fleet, target: &WeightsTarget, problem: &str) {
    let found = async {
        while !fleet
            .progress(target)
            .iter()
            .any(|it| it.problem.as_ref().is_some_and(|it| it.contains(problem)))
        {
            runtime::sleep(Duration::from_millis(20)).await;
        }
    };
    let res = runtime::timeout(VERIFY_TIMEOUT, found).await;
    assert!(res.is_ok(), "no problem \"{problem}\": {:#?}", fleet.progress(target));
}

async fn start_origin() -> OriginStandin {
    OriginStandin::start(([127, 0, 0, 1], 0).into()).await.unwrap()
}

fn add_version(
    origin: &OriginStandin,
    name: &str,
    seed: u64,
    keep_manifest: bool,
) -> Arc<Manifest> {
    let new_version = NewVersion { keep_manifest, ..version(name, seed, 2 << 20) };
    origin.add_version(&new_version).unwrap()
}

fn version(name: &str, seed: u64, size_bytes: u64) -> NewVersion {
    NewVersion { version: name.to_owned(), seed, size_bytes, ..NewVersion::default() }
}

fn fleet_options(origin: &OriginStandin) -> FleetOptions {
    FleetOptions {
        memory_limit_bytes: MEMORY_LIMIT_BYTES,
        ..FleetOptions::new(4, 2, origin.address())
    }
}

fn verified(bytes: &[u8]) -> VerifiedChunk {
    VerifiedChunk::verify(ChunkBytes::new(bytes.to_vec()), &Digest::of(bytes)).unwrap()
}

fn target_of(manifest: &Manifest) -> WeightsTarget {
    WeightsTarget {
        version: manifest.version.clone(),
        manifest_digest: Digest::of(&manifest.to_json()),
    }
}
