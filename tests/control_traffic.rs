//! Control traffic of a process, idle and while the weights status of every host changes.

mod cluster;

use std::time::{Duration, Instant};

use crocustiller::{digest::Digest, peer::LinkClass, runtime};

use crate::cluster::Cluster;

/// Maximum control traffic of a process, sent and received, in bytes per second.
const MAX_BYTES_PER_S: f64 = 14_000.0;
/// Time within which every process must see all others as live.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// Maximum number of connections that a process opens to others.
const MAX_CONNECTIONS: usize = 64;

#[test]
fn control_traffic_is_bounded() {
    runtime::run_until(async {
        for n_processes in [10, 40] {
            check_traffic(n_processes).await;
        }
    });
}

async fn check_traffic(n_processes: usize) {
    let cluster = Cluster::start(n_processes).await;
    assert!(cluster.wait_members(n_processes, JOIN_TIMEOUT).await.is_some());
    let idle = bytes_per_second(&cluster, 0).await;
    let with_changes = bytes_per_second(&cluster, 5).await;
    println!(
        "{n_processes} processes: {idle:.0} bytes per second and process idle, \
         {with_changes:.0} with 5 changes of every host in {MEASUREMENT_TIME:?}"
    );
    assert!(idle <= MAX_BYTES_PER_S, "{idle:.0} bytes per second idle");
    assert!(with_changes <= MAX_BYTES_PER_S, "{with_changes:.0} bytes per second with changes");
    for process in &cluster.processes {
        assert!(process.node.peers.n_connections() <= MAX_CONNECTIONS);
    }
    cluster.close().await;
}

/// Returns the mean control traffic of a process in bytes per second, sent and received.
async fn bytes_per_second(cluster: &Cluster, n_changes: u64) -> f64 {
    let before = n_bytes(cluster);
    let started = Instant::now();
    for change in 0..n_changes {
        for process in &cluster.processes {
            let digest = Digest::of(&change.to_le_bytes());
            process.node.membership.update_own(|it| it.weights.verified = vec![digest; 2]);
        }
        runtime::sleep(MEASUREMENT_TIME / n_changes as u32).await;
    }
    runtime::sleep(MEASUREMENT_TIME.saturating_sub(started.elapsed())).await;
    let transferred_bytes = n_bytes(cluster) - before;
    transferred_bytes as f64 / started.elapsed().as_secs_f64() / cluster.processes.len() as f64
}

fn n_bytes(cluster: &Cluster) -> u64 {
    let control = LinkClass::Control;
    let counters = cluster.processes.iter().map(|it| &it.node.counters);
    counters.map(|it| it.sent_bytes(control) + it.received_bytes(control)).sum()
}
