//! Charter patches after the platform's object service came back from an older copy.

mod cluster;

use std::time::{Duration, Instant};

use crocustiller::{
    charter::{self, charter_patch, PatchOutcome, PatchState},
    runtime,
};
use crocustiller_standins::PlatformBehaviour;
use serde_json::{json, Value};

use crate::cluster::Cluster;

/// Time within which an accepted charter must be in force on every process.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which every process must see all others as live.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of processes of a cluster.
const N_PROCESSES: usize = 8;
/// Number of the charter in force when the service is restored.
const NUMBER: u64 = 4;

/// Starts a cluster in which the charter `NUMBER` is in force, and restores the service to a copy
/// without the last two charters.
async fn start_restored() -> Cluster {
    let cluster = Cluster::start(N_PROCESSES).await;
    assert!(cluster.wait_members(N_PROCESSES, JOIN_TIMEOUT).await.is_some());
    let mut copied = Instant::now();
    for base in 0..NUMBER {
        if base == NUMBER - 2 {
            copied = Instant::now();
        }
        let outcome = cluster.patch(0, &format!("p{}", base + 1), base, patch(base)).await;
        assert_eq!(outcome, PatchOutcome::Accepted(base + 1));
        assert!(cluster.wait_charter(base + 1, IN_FORCE_TIMEOUT).await.is_some());
    }
    let outage = PlatformBehaviour { outage: true, ..Default::default() };
    cluster.platform.set_behaviour(outage);
    cluster.platform.restore(copied);
    assert_eq!(stored_number(&cluster), NUMBER - 2);
    runtime::sleep(Duration::from_millis(500)).await;
    cluster.platform.set_behaviour(PlatformBehaviour::default());
    cluster
}

fn patch(base: u64) -> Value {
    json!({ "rollout": { "origin_copies": base % 4 + 1 } })
}

fn stored_number(cluster: &Cluster) -> u64 {
    let charter: Value =
        serde_json::from_slice(&cluster.platform.object("charter").unwrap()).unwrap();
    charter_patch::number_of(&charter)
}

/// Guards against accepted charters that are gone at the platform for good, and against an operator
/// whose patches are refused because of them.
#[test]
fn lost_charter_is_written_again() {
    runtime::run_until(async {
        let cluster = start_restored().await;
        let since = Instant::now();
        while stored_number(&cluster) < NUMBER {
            assert!(since.elapsed() < IN_FORCE_TIMEOUT, "the platform lacks the charter");
            runtime::sleep(Duration::from_millis(20)).await;
        }
        let outcome = cluster.patch(1, "next", NUMBER, patch(NUMBER)).await;
        assert_eq!(outcome, PatchOutcome::Accepted(NUMBER + 1));
        assert!(cluster.wait_charter(NUMBER + 1, IN_FORCE_TIMEOUT).await.is_some());
        cluster.close().await;
    });
}

/// Guards against a patch that is reported as refused although it was accepted.
#[test]
fn accepted_patch_stays_accepted() {
    runtime::run_until(async {
        let cluster = start_restored().await;
        let state = charter::patch_state(cluster.node(1), "p4").await;
        assert_eq!(state, PatchState::Accepted(NUMBER));
        cluster.close().await;
    });
}
