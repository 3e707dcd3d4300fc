//! The other entry hosts, as their beacons tell.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    fleet::beacon::{Beacon, EntryState},
    ids::HostId,
};

/// Silence after which an entry host of a small deployment is no longer named to callers.
const SILENCE_LIMIT: Duration = Duration::from_millis(1000);
/// Pauses between beacons after which a host counts as silent where these are longer.
const MISSED_BEACONS: f64 = 2.5;

/// Pause between two beacons of a small deployment.
const BEACON_INTERVAL: Duration = Duration::from_millis(100);
/// Entry hosts up to which that pause holds.
const SMALL_DEPLOYMENT: usize = 8;

/// Another entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its newest beacon.
    pub beacon: Beacon,
    /// When that came.
    pub heard: Instant,
}

/// Entry hosts by id.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<HostId, Peer>,
}

impl PeerTable {
    /// Takes a beacon; one that is older than what is known changes nothing.
    pub fn hear(&mut self, beacon: Beacon, now: Instant) {
        let is_newer = |it: &Peer| {
            (it.beacon.started_ms, it.beacon.number) < (beacon.started_ms, beacon.number)
        };
        if self.peers.get(&beacon.host).is_some_and(|it| !is_newer(it)) {
            return;
        }
        let before = self.peers.get(&beacon.host).map(|it| it.beacon.state);
        if before != Some(beacon.state) {
            log::info!("fleet: entry host peer={} state={:?}", beacon.host, beacon.state);
        }
        self.peers.insert(beacon.host.clone(), Peer { beacon, heard: now });
    }

    /// The peers that were heard lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Beacon> {
        let limit = beacon_interval(self.peers.len() + 1).mul_f64(MISSED_BEACONS);
        let limit = limit.max(SILENCE_LIMIT);
        let is_alive = move |it: &&Peer| now.duration_since(it.heard) < limit;
        self.peers.values().filter(is_alive).map(|it| &it.beacon)
    }

    /// Where the peers of a zone that were heard lately take datagrams.
    pub fn peers_of_zone(&self, zone: &str, now: Instant) -> Vec<SocketAddr> {
        self.alive(now).filter(|it| it.zone == zone).map(|it| it.peers).collect()
    }

    /// Addresses of the ready entry hosts, with `own` if it is ready; the nearest that there are.
    pub fn addresses(&self, own: &Beacon, near: Nearness<'_>, now: Instant) -> Vec<SocketAddr> {
        let ready: Vec<&Beacon> = std::iter::once(own)
            .chain(self.alive(now))
            .filter(|it| it.state == EntryState::Ready)
            .collect();
        let of = |is_near: &dyn Fn(&Beacon) -> bool| -> Vec<SocketAddr> {
            ready.iter().filter(|it| is_near(it)).map(|it| it.callers).collect()
        };
        let in_zone = of(&|it| it.zone == near.zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = of(&|it| it.region == near.region);
        if !in_region.is_empty() {
            return in_region;
        }
        of(&|_| true)
    }
}

/// Pause between two beacons of a host to `n_hosts` hosts; it grows so that the beacons that a host
/// gets in a second do not.
pub fn beacon_interval(n_hosts: usize) -> Duration {
    BEACON_INTERVAL.mul_f64((n_hosts as f64 / SMALL_DEPLOYMENT as f64).max(1.0))
}

/// Where a caller is.
#[derive(Clone, Copy, Debug)]
pub struct Nearness<'a> {
    /// Region.
    pub region: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}
