//! Charter patches while the platform is unavailable or slow, reads lag, or responses are lost.

mod cluster;

use std::time::{Duration, Instant};

use crocustiller::{
    charter::{self, charter_patch, PatchOutcome, PatchRequest, PatchState},
    runtime,
};
use crocustiller_standins::PlatformBehaviour;
use futures_util::future::join;
use serde_json::{json, Value};

use crate::cluster::{Cluster, N_ENTRY_HOSTS};

/// Time within which an accepted charter must be in force on every process.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which every process must see all others as live.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of processes of a cluster.
const N_PROCESSES: usize = 12;

#[test]
fn accepted_charter_survives_outage() {
    runtime::run_until(async {
        let mut cluster = start_with_charter().await;
        assert_eq!(cluster.patch(1, "p2", 1, patch()).await, PatchOutcome::Accepted(2));
        cluster.platform.set_behaviour(outage());
        assert!(cluster.wait_charter(2, IN_FORCE_TIMEOUT).await.is_some());
        let mut numbers = Vec::new();
        for idx in [0, 7, 9, 11] {
            cluster.processes[idx].stop().await;
            cluster.add(&format!("host-{idx}"), idx).await;
            let fresh = cluster.processes.last().unwrap().node.clone();
            let started = Instant::now();
            while fresh.documents.charter().is_none() && started.elapsed() < IN_FORCE_TIMEOUT {
                runtime::sleep(Duration::from_millis(2)).await;
            }
            numbers.push(fresh.documents.charter_number());
        }
        assert_eq!(numbers, [2, 2, 2, 2], "charter numbers of hosts started during the outage");
        let outcome = cluster.patch_within(1, "p3", 2, Duration::from_millis(500)).await;
        assert!(matches!(outcome, PatchOutcome::Unavailable(_)), "{outcome:?}");
        cluster.platform.set_behaviour(PlatformBehaviour::default());
        assert_eq!(cluster.patch(2, "p3", 2, patch()).await, PatchOutcome::Accepted(3));
        assert!(cluster.wait_charter(3, IN_FORCE_TIMEOUT).await.is_some());
        cluster.close().await;
    });
}

#[test]
fn patches_survive_platform_faults() {
    let faults = [
        ("lost answer", PlatformBehaviour { lose_answers: 1, ..Default::default() }),
        ("lost answers", PlatformBehaviour { lose_answers: 4, ..Default::default() }),
        ("slow", PlatformBehaviour { latency_ms: 700, ..Default::default() }),
        ("lagging reads", PlatformBehaviour { lagging_reads_ms: 1500, ..Default::default() }),
        ("few writes", PlatformBehaviour { writes_per_s: 1, ..Default::default() }),
        (
            "lost and lagging",
            PlatformBehaviour { lose_answers: 2, lagging_reads_ms: 800, ..Default::default() },
        ),
    ];
    runtime::run_until(async {
        let cluster = start_with_charter().await;
        let mut number = 1;
        for (name, behaviour) in faults {
            cluster.platform.set_behaviour(behaviour);
            check_patch(&cluster, name, number).await;
            number += 1;
            check_concurrent_patches(&cluster, name, number).await;
            number += 1;
            cluster.platform.set_behaviour(PlatformBehaviour::default());
            assert!(cluster.wait_charter(number, IN_FORCE_TIMEOUT).await.is_some(), "{name}");
        }
        cluster.close().await;
    });
}

#[test]
fn unsettled_patch_is_resolved_later() {
    runtime::run_until(async {
        let cluster = start_with_charter().await;
        let slow = PlatformBehaviour { latency_ms: 1500, ..Default::default() };
        cluster.platform.set_behaviour(slow);
        let outcome = cluster.patch_within(0, "p2", 1, Duration::from_millis(2000)).await;
        assert!(matches!(outcome, PatchOutcome::Unsettled(_)), "{outcome:?}");
        cluster.platform.set_behaviour(PlatformBehaviour::default());
        let state = charter::patch_state(cluster.node(3), "p2").await;
        let took_effect = charter_patch::accepted_number(&stored_charter(&cluster), "p2");
        let expected = took_effect.map_or(PatchState::Refused, PatchState::Accepted);
        assert_eq!(state, expected);
        let refused = charter::patch_state(cluster.node(2), "never-sent").await;
        assert_eq!(refused, PatchState::Refused);
        let number = charter_patch::number_of(&stored_charter(&cluster));
        let late = cluster.patch(4, "never-sent", number, patch()).await;
        assert!(matches!(late, PatchOutcome::Invalid(_)), "{late:?}");
        cluster.platform.set_behaviour(outage());
        let unknown = charter::patch_state(cluster.node(2), "p9").await;
        assert_eq!(unknown, PatchState::Unknown);
        cluster.close().await;
    });
}

#[test]
fn stale_base_number_is_refused() {
    runtime::run_until(async {
        let cluster = start_with_charter().await;
        let outcome = cluster.patch(2, "p2", 0, patch()).await;
        assert_eq!(outcome, PatchOutcome::Stale { current: 1 });
        let outcome = cluster.patch(2, "p2", 7, patch()).await;
        assert_eq!(outcome, PatchOutcome::Stale { current: 1 });
        assert_eq!(cluster.patch(2, "p2", 1, patch()).await, PatchOutcome::Accepted(2));
        assert_eq!(cluster.patch(3, "p2", 1, patch()).await, PatchOutcome::Accepted(2));
        let other = json!({ "rollout": { "origin_copies": 1 } });
        let reused = cluster.patch(3, "p2", 1, other).await;
        assert!(matches!(reused, PatchOutcome::Invalid(_)), "{reused:?}");
        cluster.close().await;
    });
}

/// Checks that one patch is accepted and stored under a fault of the platform.
async fn check_patch(cluster: &Cluster, fault: &str, number: u64) {
    let id = format!("{fault} {number}").replace(' ', "-");
    let outcome = cluster.patch(number as usize % N_ENTRY_HOSTS, &id, number, patch()).await;
    assert_eq!(outcome, PatchOutcome::Accepted(number + 1), "{fault}");
    let accepted = charter_patch::accepted_number(&stored_charter(cluster), &id);
    assert_eq!(accepted, Some(number + 1), "{fault}");
}

/// Checks that of two concurrent patches of the same charter number exactly one takes effect and
/// the other gets `Stale`.
async fn check_concurrent_patches(cluster: &Cluster, fault: &str, number: u64) {
    let ids = [format!("{fault}-a").replace(' ', "-"), format!("{fault}-b").replace(' ', "-")];
    let first = cluster.patch(0, &ids[0], number, patch());
    let second = cluster.patch(1, &ids[1], number, json!({ "rollout": { "origin_copies": 1 } }));
    let (first, second) = join(first, second).await;
    let charter = stored_charter(cluster);
    let mut n_accepted = 0;
    for (id, outcome) in ids.iter().zip([first, second]) {
        let took_effect = charter_patch::accepted_number(&charter, id);
        if took_effect.is_some() {
            assert_eq!(outcome, PatchOutcome::Accepted(number + 1), "{fault}: {id}");
            n_accepted += 1;
        } else {
            assert_eq!(outcome, PatchOutcome::Stale { current: number + 1 }, "{fault}: {id}");
        }
    }
    assert_eq!(n_accepted, 1, "{fault}");
}

async fn start_with_charter() -> Cluster {
    let cluster = Cluster::start(N_PROCESSES).await;
    assert!(cluster.wait_members(N_PROCESSES, JOIN_TIMEOUT).await.is_some());
    assert_eq!(cluster.patch(0, "p1", 0, json!({})).await, PatchOutcome::Accepted(1));
    assert!(cluster.wait_charter(1, IN_FORCE_TIMEOUT).await.is_some());
    cluster
}

impl Cluster {
    async fn patch_within(
        &self,
        idx: usize,
        id: &str,
        base: u64,
        timeout: Duration,
    ) -> PatchOutcome {
        let deadline = Instant::now() + timeout;
        let request =
            PatchRequest { id: id.to_owned(), base_number: base, patch: patch(), deadline };
        charter::patch(self.node(idx), request).await
    }
}

fn stored_charter(cluster: &Cluster) -> Value {
    serde_json::from_slice(&cluster.platform.object("charter").unwrap()).unwrap()
}

fn outage() -> PlatformBehaviour {
    PlatformBehaviour { outage: true, ..Default::default() }
}

fn patch() -> Value {
    json!({ "rollout": { "origin_copies": 3 } })
}
