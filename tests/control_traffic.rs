//! Bytes that a process spends on control, at rest and while every host's weights change.

mod cluster;

use std::time::{Duration, Instant};

use crocustiller::{digest::Digest, peer::LinkClass, runtime};

use crate::cluster::Cluster;

/// Bytes a second that a node may spend on control.
const MAX_BYTES_PER_S: f64 = 14_000.0;
/// Time within which the processes must know each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Time of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// Greatest number of connections that a process opens.
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
        "{n_processes} processes: {idle:.0} bytes a second a process at rest, \
         {with_changes:.0} with 5 changes of every host in {MEASUREMENT_TIME:?}"
    );
    assert!(idle <= MAX_BYTES_PER_S, "{idle:.0} bytes a second at rest");
    assert!(with_changes <= MAX_BYTES_PER_S, "{with_changes:.0} bytes a second with changes");
    for process in &cluster.processes {
        assert!(process.node.peers.n_connections() <= MAX_CONNECTIONS);
    }
    cluster.close().await;
}

/// Mean of bytes sent and received a second and process.
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
    let n_spent = n_bytes(cluster) - before;
    n_spent as f64 / started.elapsed().as_secs_f64() / cluster.processes.len() as f64
}

fn n_bytes(cluster: &Cluster) -> u64 {
    let control = LinkClass::Control;
    let counters = cluster.processes.iter().map(|it| &it.node.counters);
    counters.map(|it| it.sent_bytes(control) + it.received_bytes(control)).sum()
}
