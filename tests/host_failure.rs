//! Detection of hosts that die, pause, leave, are replaced or are partitioned.

mod cluster;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::{
    membership::{self, HostState},
    runtime,
};
use crocustiller_standins::HostEntry;

use crate::cluster::{Cluster, Process, N_ENTRY_HOSTS};

/// Number of processes of a cluster.
const N_PROCESSES: usize = 12;
/// Time within which a membership change must reach every process.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which all entry hosts must know that a host leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn dead_host_is_marked_gone() {
    runtime::run_until(async {
        let mut cluster = start_joined().await;
        cluster.processes[7].stop().await;
        let elapsed = cluster
            .wait(PROPAGATION_TIMEOUT, |it| state_of(it, "host-7") == Some(HostState::Gone))
            .await;
        println!("marked as gone everywhere after {elapsed:?}");
        assert!(elapsed.is_some());
        assert!(cluster.wait_members(N_PROCESSES - 1, PROPAGATION_TIMEOUT).await.is_some());
        cluster.close().await;
    });
}

#[test]
fn paused_host_rejoins() {
    runtime::run_until(async {
        let mut cluster = start_joined().await;
        let before = cluster.node(6).membership.own().incarnation;
        cluster.processes[6].stop().await;
        let elapsed = cluster
            .wait(PROPAGATION_TIMEOUT, |it| state_of(it, "host-6") == Some(HostState::Gone))
            .await;
        assert!(elapsed.is_some());
        cluster.processes[6].resume().await;
        let rejoined = cluster.wait_members(N_PROCESSES, PROPAGATION_TIMEOUT).await;
        println!("marked as gone after {elapsed:?}, rejoined after {rejoined:?}");
        assert!(rejoined.is_some());
        assert!(cluster.node(6).membership.own().incarnation > before);
        cluster.close().await;
    });
}

#[test]
fn leaving_host_announced_at_once() {
    runtime::run_until(async {
        let cluster = start_joined().await;
        let started = Instant::now();
        membership::announce_leaving(cluster.node(8)).await;
        for process in &cluster.processes[..N_ENTRY_HOSTS] {
            assert_eq!(state_of(process, "host-8"), Some(HostState::Leaving));
        }
        println!("announced to all entry hosts after {:?}", started.elapsed());
        assert!(started.elapsed() < LEAVE_TIMEOUT);
        assert!(cluster.wait_members(N_PROCESSES - 1, PROPAGATION_TIMEOUT).await.is_some());
        cluster.close().await;
    });
}

#[test]
fn replaced_hosts_are_seen_everywhere() {
    runtime::run_until(async {
        let n_processes = 20;
        let mut cluster = Cluster::start(n_processes).await;
        assert!(cluster.wait_members(n_processes, PROPAGATION_TIMEOUT).await.is_some());
        for (idx, id) in [(11, "fresh-11"), (17, "host-17")] {
            cluster.processes[idx].stop().await;
            cluster.add(id, idx).await;
        }
        let elapsed = cluster.wait_members(n_processes, PROPAGATION_TIMEOUT).await;
        println!("replaced everywhere after {elapsed:?}");
        assert!(elapsed.is_some());
        let marked_gone = cluster
            .wait(PROPAGATION_TIMEOUT, |it| state_of(it, "host-11") == Some(HostState::Gone))
            .await;
        assert!(marked_gone.is_some());
        let rejoined = cluster
            .wait(PROPAGATION_TIMEOUT, |it| state_of(it, "host-17") == Some(HostState::Live))
            .await;
        assert!(rejoined.is_some());
        cluster.close().await;
    });
}

#[test]
fn partitioned_fleet_merges() {
    runtime::run_until(async {
        let mut cluster = start_joined().await;
        let stopped: Vec<usize> = (0..N_PROCESSES).filter(|it| it % 3 == 2).collect();
        for idx in &stopped {
            cluster.processes[*idx].stop().await;
        }
        let n_running = N_PROCESSES - stopped.len();
        assert!(cluster.wait_members(n_running, PROPAGATION_TIMEOUT).await.is_some());
        for idx in &stopped {
            cluster.processes[*idx].resume().await;
        }
        let merged = cluster.wait_members(N_PROCESSES, PROPAGATION_TIMEOUT).await;
        println!("all partitions merged after {merged:?}");
        assert!(merged.is_some());
        cluster.close().await;
    });
}

/// Guards against members taken over from the platform's host list unchecked: the list contains an
/// address without a process, an address of another service, and one live host.
#[test]
fn invalid_platform_list() {
    runtime::run_until(async {
        let mut cluster = start_joined().await;
        let dead_address: SocketAddr = ([127, 0, 0, 1], 9).into();
        let live_address = cluster.node(3).membership.own().peer_address;
        let listed = [
            ("ghost", dead_address),
            ("other", cluster.platform.address()),
            ("host-3", live_address),
        ];
        let entry = |it: &(&str, SocketAddr)| HostEntry {
            host: it.0.to_owned(),
            role: "backend".to_owned(),
            region: "region-0".to_owned(),
            zone: "zone-0".to_owned(),
            state: "live".to_owned(),
            peer_address: it.1,
        };
        cluster.platform.set_hosts(listed.iter().map(entry).collect());
        cluster.add_joining("fresh", 9, vec![dead_address]).await;
        assert!(cluster.wait_members(N_PROCESSES + 1, PROPAGATION_TIMEOUT).await.is_some());
        for process in &cluster.processes {
            assert_eq!(state_of(process, "ghost"), None);
            assert_eq!(state_of(process, "other"), None);
        }
        cluster.close().await;
    });
}

async fn start_joined() -> Cluster {
    let cluster = Cluster::start(N_PROCESSES).await;
    assert!(
        cluster.wait_members(N_PROCESSES, PROPAGATION_TIMEOUT).await.is_some(),
        "the processes did not join"
    );
    cluster
}

fn state_of(process: &Process, host: &str) -> Option<HostState> {
    process.node.membership.record(host).map(|it| it.state)
}
