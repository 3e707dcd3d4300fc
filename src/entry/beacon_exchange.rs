//! Sends beacons to the other entry hosts and applies theirs.
//!
//! Each host sends its beacons to the hosts of its own zone, which need to know the owners of the
//! zone's engines and the addresses for callers. A few hosts of each zone, its representatives,
//! also send theirs to all other zones, so the number of beacons that a host receives from other
//! zones does not grow with their size.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    clock,
    entry::{crash_reports, datagrams, entry_host::EntryHost, limit_notices},
    fleet::{beacon_interval, Beacon, PeerMessage},
    runtime,
};

/// Maximum number of representatives of a zone.
const MAX_REPRESENTATIVES: usize = 4;
/// Number of beacons after which request limits are sent again, for hosts that lost earlier notices.
const BEACONS_PER_LIMITS: u32 = 10;

/// Sends beacons until the task is dropped.
pub(crate) async fn run(host: Rc<EntryHost>) {
    let mut last_sent_far: Option<Instant> = None;
    let (mut n_sent_near, mut n_sent_far) = (0u32, 0u32);
    loop {
        crash_reports::decide(&host);
        let (near, far) = targets(&host);
        let near_interval = beacon_interval(near.len());
        let far_interval = beacon_interval(near.len() + far.len());
        send(&host, &near, near_interval);
        send_limits(&host, &near, &mut n_sent_near);
        let is_due = last_sent_far.is_none_or(|it| it.elapsed() >= far_interval);
        if is_due && informs_other_zones(&host) {
            send(&host, &far, far_interval);
            send_limits(&host, &far, &mut n_sent_far);
            last_sent_far = Some(Instant::now());
        }
        runtime::sleep(near_interval).await;
    }
}

/// Sends the request limits of backend servers with every tenth beacon.
fn send_limits(host: &EntryHost, targets: &[SocketAddr], n_beacons: &mut u32) {
    *n_beacons = n_beacons.wrapping_add(1);
    if *n_beacons % BEACONS_PER_LIMITS == 0 {
        limit_notices::send_own(host, targets);
    }
}

/// Returns the addresses of the entry hosts of the own zone, and of the other zones.
fn targets(host: &EntryHost) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let targets = host.beacon_targets.borrow();
    let is_near = |it: &(SocketAddr, &str)| it.1 == host.settings.host.zone;
    let (near, far): (Vec<_>, Vec<_>) =
        targets.iter().map(|it| (*it.0, it.1.as_str())).partition(is_near);
    let addresses = |targets: Vec<(SocketAddr, &str)>| targets.into_iter().map(|it| it.0).collect();
    (addresses(near), addresses(far))
}

/// Returns `true` if the other zones need this host's beacons: it is a representative of its zone,
/// or it saw requests that may crash backend servers.
fn informs_other_zones(host: &EntryHost) -> bool {
    let is_witness = host.crash_suspects.borrow().is_witness(Instant::now());
    is_witness || host.n_preferred_in_zone() < MAX_REPRESENTATIVES
}

/// Applies the beacon of another entry host. A host that has just started gets one in return, so
/// that it knows the requests and parts of prompts that are refused before it serves.
pub(crate) fn apply(host: &EntryHost, from: SocketAddr, beacon: Beacon) {
    host.beacon_targets.borrow_mut().insert(from, beacon.zone.clone());
    host.sources.record_peer(Instant::now());
    crash_reports::merge(host, &beacon.suspected, &beacon.quarantined);
    let is_new = host.peers.borrow().started_ms(&beacon.host) != Some(beacon.started_ms);
    if is_new && host.limited_servers.has_limits() {
        limit_notices::send_all(host, from);
    }
    if is_new && crash_reports::has_any(host) {
        send_at_once(host, from);
    }
    let max_delay = host.stalls.borrow_mut().max_delay(clock::now());
    host.peers.borrow_mut().record_delayed_beacon(beacon, max_delay, Instant::now());
    host.refresh_peers();
}

/// Sends a beacon to a host that has just started, if it is one that gets this host's beacons.
fn send_at_once(host: &EntryHost, target: SocketAddr) {
    let (near, far) = targets(host);
    if near.contains(&target) {
        send(host, &[target], beacon_interval(near.len()));
    } else if informs_other_zones(host) {
        send(host, &[target], beacon_interval(near.len() + far.len()));
    }
}

fn send(host: &EntryHost, targets: &[SocketAddr], interval: Duration) {
    // Before the beacon, after which a host that starts may be ready.
    let lost = host.evacuated.borrow().lost(Instant::now());
    if !lost.is_empty() {
        datagrams::send(host, targets, &PeerMessage::LostEvacuations(lost));
    }
    datagrams::send(host, targets, &PeerMessage::Beacon(host.next_beacon(interval)));
}
