//! The last known state of the other entry hosts, from their beacons.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    fleet::{
        beacon::{Beacon, EntryState},
        DocumentNumbers,
    },
    ids::HostId,
};

/// Minimum time without a beacon after which an entry host counts as failed.
const BEACON_TIMEOUT: Duration = Duration::from_millis(1000);
/// Number of beacon intervals without a beacon after which an entry host counts as failed, if they
/// are longer than `BEACON_TIMEOUT`.
const MISSED_BEACONS: f64 = 2.5;

/// Interval between two beacons in a small deployment.
const BEACON_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of entry hosts of a small deployment.
const SMALL_DEPLOYMENT_HOSTS: usize = 8;

/// Another entry host, as its newest beacon describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its newest beacon.
    pub beacon: Beacon,
    /// Time at which that beacon arrived.
    pub received_at: Instant,
}

/// A table of the other entry hosts by id.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<HostId, Peer>,
}

impl PeerTable {
    /// Stores a beacon unless a newer one of the same host is stored.
    pub fn record_beacon(&mut self, beacon: Beacon, now: Instant) {
        let is_newer = |it: &Peer| {
            (it.beacon.started_ms, it.beacon.number) < (beacon.started_ms, beacon.number)
        };
        if self.peers.get(&beacon.host).is_some_and(|it| !is_newer(it)) {
            return;
        }
        let state_before = self.peers.get(&beacon.host).map(|it| it.beacon.state);
        if state_before != Some(beacon.state) {
            log::info!(
                "fleet: state of an entry host changed peer={} state={:?}",
                beacon.host,
                beacon.state
            );
        }
        self.peers.insert(beacon.host.clone(), Peer { beacon, received_at: now });
    }

    /// Returns the newest beacons of the entry hosts that have not timed out.
    pub fn live_beacons(&self, now: Instant) -> impl Iterator<Item = &Beacon> {
        self.peers.values().filter(move |it| it.is_live(now)).map(|it| &it.beacon)
    }

    /// Returns the newest beacons of the live entry hosts that know newer documents than `own`.
    pub(crate) fn ahead_of<'a>(
        &'a self,
        own: &'a DocumentNumbers,
        now: Instant,
    ) -> impl Iterator<Item = &'a Beacon> {
        self.live_beacons(now).filter(move |it| it.documents.is_ahead_of(own))
    }

    /// Returns `true` if a live entry host knows newer documents than `own`.
    pub(crate) fn knows_newer_than(&self, own: &DocumentNumbers, now: Instant) -> bool {
        self.ahead_of(own, now).next().is_some()
    }

    /// Returns `true` if no beacon has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the start time in the newest beacon of an entry host, also of one that timed out.
    pub fn started_ms(&self, host: &HostId) -> Option<u64> {
        self.peers.get(host).map(|it| it.beacon.started_ms)
    }

    /// Returns the newest beacon of an entry host, unless it has timed out.
    pub fn live_beacon(&self, host: &HostId, now: Instant) -> Option<&Beacon> {
        self.peers.get(host).filter(|it| it.is_live(now)).map(|it| &it.beacon)
    }

    /// Returns the addresses at which a caller should connect: those of the ready entry hosts in
    /// its zone, of those in its region if there are none, or else of all. `own` is the beacon of
    /// this host.
    pub fn addresses(
        &self,
        own: &Beacon,
        caller: CallerLocation<'_>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let ready: Vec<&Beacon> = std::iter::once(own)
            .chain(self.live_beacons(now))
            .filter(|it| it.state == EntryState::Ready)
            .collect();
        let matching = |is_near: &dyn Fn(&Beacon) -> bool| -> Vec<SocketAddr> {
            ready.iter().filter(|it| is_near(it)).map(|it| it.callers).collect()
        };
        let in_zone = matching(&|it| it.zone == caller.zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = matching(&|it| it.region == caller.region);
        if !in_region.is_empty() {
            return in_region;
        }
        matching(&|_| true)
    }
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        let interval = Duration::from_millis(u64::from(self.beacon.interval_ms));
        let timeout = interval.mul_f64(MISSED_BEACONS).max(BEACON_TIMEOUT);
        now.duration_since(self.received_at) < timeout
    }
}

/// Returns the interval between two beacons of a host in a deployment of `n_hosts` hosts.
///
/// In large deployments the interval grows with `n_hosts`, so that the number of beacons that a
/// host receives per second does not.
pub fn beacon_interval(n_hosts: usize) -> Duration {
    BEACON_INTERVAL.mul_f64((n_hosts as f64 / SMALL_DEPLOYMENT_HOSTS as f64).max(1.0))
}

/// The location of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerLocation<'a> {
    /// Region.
    pub region: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}
