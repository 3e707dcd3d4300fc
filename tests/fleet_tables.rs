//! The tables of backend servers and peers of an entry host, before, during and after outages.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::{
        beacon_interval, BackendTable, Beacon, CallerLocation, EngineNotice, EntryState, PeerTable,
    },
    routing::{BackendServer, BackendState},
};

fn server(number: u8, state: BackendState) -> BackendServer {
    BackendServer {
        id: format!("i-{number}"),
        service: "pool".to_owned(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: "depot".to_owned(),
        slots: 16,
        state,
        weights: Vec::new(),
        is_switching: false,
        n_orders: 0,
        started_ms: 1000,
    }
}

fn ready(n_servers: u8) -> Vec<BackendServer> {
    (1..=n_servers).map(|it| server(it, BackendState::Ready)).collect()
}

fn n_ready(table: &BackendTable) -> usize {
    table.ready_of(&"pool".to_owned()).count()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn removed_backend_is_not_ready() {
    let now = Instant::now();
    let mut table = BackendTable::default();
    table.replace_all(ready(9), false, now);
    table.remove_all(vec!["i-1".to_owned()], now);
    table.insert(server(2, BackendState::Draining));
    assert_eq!(n_ready(&table), 7);
}

/// Entries that lapsed during an outage of the store are kept for about two seconds, in which
/// servers that still run register again.
#[test]
fn lapsed_entries_kept_two_seconds() {
    let now = Instant::now();
    let mut table = BackendTable::default();
    table.replace_all(ready(9), false, now);
    table.replace_all(Vec::new(), true, now);
    assert_eq!(n_ready(&table), 9);
    table.insert(server(1, BackendState::Ready));
    assert!(table.expire(now + ms(1900)).is_empty());
    table.expire(now + ms(2300));
    assert_eq!(n_ready(&table), 1);
}

/// An entry that is removed after the store is available again is not kept as a lapsed one.
/// Seen in a hunt (SENARC, trouble-1): an entry removed 1.3 s after an outage was kept for 2.2 s
/// more, and its backend server got requests later than 2 s after it had left.
#[test]
fn later_removal_is_immediate() {
    let now = Instant::now();
    let mut table = BackendTable::default();
    table.replace_all(ready(9), false, now);
    table.replace_all(ready(9), true, now);
    table.remove_all(vec!["i-1".to_owned()], now + ms(1300));
    assert_eq!(n_ready(&table), 8);
}

/// Many removals at once are treated as an undetected outage of the store: the entries are kept
/// for a while.
#[test]
fn mass_removal_is_delayed() {
    let now = Instant::now();
    let mut table = BackendTable::default();
    table.replace_all(ready(9), false, now);
    table.remove_all((1..=9).map(|it| format!("i-{it}")).collect(), now);
    assert_eq!(n_ready(&table), 9);
    table.expire(now + ms(2300));
    assert_eq!(n_ready(&table), 0);
}

/// A notice from the slot process is newer than the store's list, until the engine restarts.
#[test]
fn notice_overrides_stale_list() {
    let mut table = BackendTable::default();
    table.insert(server(1, BackendState::Ready));
    let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let mut notice = EngineNotice {
        engine: address,
        started_ms: 1000,
        n_orders: 1,
        model: "lots".to_owned(),
        serves: Some(2),
    };
    assert!(table.apply_notice(&notice));
    assert_eq!(table.get("i-1").unwrap().complete_version("lots", 16), Some(2));
    // The list lags behind and still has no weights.
    table.insert(server(1, BackendState::Ready));
    assert_eq!(table.get("i-1").unwrap().complete_version("lots", 16), Some(2));
    notice.serves = None;
    assert!(table.apply_notice(&notice));
    assert!(table.get("i-1").unwrap().is_switching);
    let restarted = BackendServer { started_ms: 2000, ..server(1, BackendState::Ready) };
    table.insert(restarted);
    assert!(!table.get("i-1").unwrap().is_switching);
}

fn beacon(host: &str, zone: &str, state: EntryState, number: u64) -> Beacon {
    Beacon {
        host: host.to_owned(),
        started_ms: 1,
        number,
        state,
        callers: format!("10.0.1.{}:80", host.as_bytes()[0]).parse().unwrap(),
        peers: format!("10.0.1.{}:7700", host.as_bytes()[0]).parse().unwrap(),
        follows_store: true,
        region: zone.to_owned(),
        zone: zone.to_owned(),
        loads: Vec::new(),
        losses: Vec::new(),
    }
}

#[test]
fn callers_get_near_ready_hosts() {
    let now = Instant::now();
    let own = beacon("a", "x", EntryState::Ready, 1);
    let near = CallerLocation { region: "x", zone: "x" };
    let mut peers = PeerTable::default();
    peers.record_beacon(beacon("b", "x", EntryState::Ready, 1), now);
    peers.record_beacon(beacon("c", "y", EntryState::Ready, 1), now);
    assert_eq!(peers.addresses(&own, near, now).len(), 2);
    // A host that leaves is removed from the list at once; an older beacon does not add it again.
    peers.record_beacon(beacon("b", "x", EntryState::Leaving, 3), now);
    peers.record_beacon(beacon("b", "x", EntryState::Ready, 2), now);
    assert_eq!(peers.addresses(&own, near, now), [own.callers]);
    // A host that sends no beacons is removed too; callers of its zone get other hosts.
    let far = CallerLocation { region: "y", zone: "y" };
    assert_eq!(peers.addresses(&own, far, now).len(), 1);
    assert_eq!(peers.addresses(&own, far, now + ms(1100)), [own.callers]);
}

/// In a large deployment beacons are rare; a host is not regarded as failed between two of them.
#[test]
fn rare_beacons_keep_hosts_live() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    for idx in 0..119 {
        peers.record_beacon(beacon(&format!("host-{idx}"), "x", EntryState::Ready, 1), now);
    }
    let interval = beacon_interval(120);
    assert_eq!(interval, Duration::from_millis(1500));
    assert_eq!(peers.live_beacons(now + interval * 2).count(), 119);
    assert_eq!(peers.live_beacons(now + interval * 3).count(), 0);
}
