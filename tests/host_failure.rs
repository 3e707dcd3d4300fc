//! Hosts that die, freeze, leave or are replaced, as the other processes see them.

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

use crate::cluster::{Cluster, Process, ENTRY_HOSTS};

/// Processes of a cluster.
const PROCESSES: usize = 12;
/// Time within which a change must be known everywhere.
const LIMIT: Duration = Duration::from_secs(60);
/// Time within which a leaving host must be known to the entry hosts.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

#[test]
fn dead_host_is_gone() {
    runtime::run_until(async {
        let mut cluster = joined().await;
        cluster.processes[7].stop().await;
        let seen = cluster.wait(LIMIT, |it| state_of(it, "host-7") == Some(HostState::Gone)).await;
        println!("gone everywhere after {seen:?}");
        assert!(seen.is_some());
        assert!(cluster.wait_members(PROCESSES - 1, LIMIT).await.is_some());
        cluster.close().await;
    });
}

#[test]
fn frozen_host_comes_back() {
    runtime::run_until(async {
        let mut cluster = joined().await;
        let before = cluster.node(6).membership.own().incarnation;
        cluster.processes[6].stop().await;
        let seen = cluster.wait(LIMIT, |it| state_of(it, "host-6") == Some(HostState::Gone)).await;
        assert!(seen.is_some());
        cluster.processes[6].resume().await;
        let back = cluster.wait_members(PROCESSES, LIMIT).await;
        println!("gone after {seen:?}, back after {back:?}");
        assert!(back.is_some());
        assert!(cluster.node(6).membership.own().incarnation > before);
        cluster.close().await;
    });
}

#[test]
fn leaving_host_is_known_at_once() {
    runtime::run_until(async {
        let cluster = joined().await;
        let started = Instant::now();
        membership::announce_leaving(cluster.node(8)).await;
        for process in &cluster.processes[..ENTRY_HOSTS] {
            assert_eq!(state_of(process, "host-8"), Some(HostState::Leaving));
        }
        println!("known to all entry hosts after {:?}", started.elapsed());
        assert!(started.elapsed() < LEAVE_LIMIT);
        assert!(cluster.wait_members(PROCESSES - 1, LIMIT).await.is_some());
        cluster.close().await;
    });
}

#[test]
fn tenth_of_hosts_is_replaced() {
    runtime::run_until(async {
        let n_processes = 20;
        let mut cluster = Cluster::start(n_processes).await;
        assert!(cluster.wait_members(n_processes, LIMIT).await.is_some());
        for (idx, id) in [(11, "fresh-11"), (17, "host-17")] {
            cluster.processes[idx].stop().await;
            cluster.add(id, idx).await;
        }
        let seen = cluster.wait_members(n_processes, LIMIT).await;
        println!("replaced everywhere after {seen:?}");
        assert!(seen.is_some());
        let gone = cluster.wait(LIMIT, |it| state_of(it, "host-11") == Some(HostState::Gone)).await;
        assert!(gone.is_some());
        let back = cluster.wait(LIMIT, |it| state_of(it, "host-17") == Some(HostState::Live)).await;
        assert!(back.is_some());
        cluster.close().await;
    });
}

#[test]
fn lost_parts_meet_again() {
    runtime::run_until(async {
        let mut cluster = joined().await;
        let others: Vec<usize> = (0..PROCESSES).filter(|it| it % 3 == 2).collect();
        for idx in &others {
            cluster.processes[*idx].stop().await;
        }
        let n_left = PROCESSES - others.len();
        assert!(cluster.wait_members(n_left, LIMIT).await.is_some());
        for idx in &others {
            cluster.processes[*idx].resume().await;
        }
        let met = cluster.wait_members(PROCESSES, LIMIT).await;
        println!("all parts met again after {met:?}");
        assert!(met.is_some());
        cluster.close().await;
    });
}

/// The platform's list names a dead host, something that is no process of ours, and one live host.
#[test]
fn wrong_list_is_a_seed_only() {
    runtime::run_until(async {
        let mut cluster = joined().await;
        let dead: SocketAddr = ([127, 0, 0, 1], 9).into();
        let right = cluster.node(3).membership.own().peer_address;
        let listed = [("ghost", dead), ("other", cluster.platform.address()), ("host-3", right)];
        let entry = |it: &(&str, SocketAddr)| HostEntry {
            host: it.0.to_owned(),
            role: "backend".to_owned(),
            region: "region-0".to_owned(),
            zone: "zone-0".to_owned(),
            state: "live".to_owned(),
            peer_address: it.1,
        };
        cluster.platform.set_hosts(listed.iter().map(entry).collect());
        cluster.add_with("fresh", 9, vec![dead]).await;
        assert!(cluster.wait_members(PROCESSES + 1, LIMIT).await.is_some());
        for process in &cluster.processes {
            assert_eq!(state_of(process, "ghost"), None);
            assert_eq!(state_of(process, "other"), None);
        }
        cluster.close().await;
    });
}

async fn joined() -> Cluster {
    let cluster = Cluster::start(PROCESSES).await;
    assert!(cluster.wait_members(PROCESSES, LIMIT).await.is_some(), "the processes did not join");
    cluster
}

fn state_of(process: &Process, host: &str) -> Option<HostState> {
    process.node.membership.record(host).map(|it| it.state)
}
