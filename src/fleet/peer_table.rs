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
    placement::RegionConstraint,
};

/// Minimum time without a beacon after which an entry host counts as failed.
const BEACON_TIMEOUT: Duration = Duration::from_millis(1000);
/// Number of beacon intervals without a beacon after which an entry host counts as failed, if they
/// are longer than `BEACON_TIMEOUT`.
const MISSED_BEACONS: f64 = 2.5;

/// Time for which a beacon may have waited unread in a busy process and still show that its host runs.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(2000);

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
    /// Earliest time at which it may have been sent, if it waited unread in this process.
    pub earliest_sent: Instant,
}

/// A table of the other entry hosts by id.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<HostId, Peer>,
}

impl PeerTable {
    /// Stores a beacon unless a newer one of the same host is stored that hasn't timed out: a start after
    /// the clock was set back looks older than the one before.
    pub fn record_beacon(&mut self, beacon: Beacon, now: Instant) {
        self.record_delayed_beacon(beacon, Duration::ZERO, now);
    }

    /// Stores a beacon that may have waited unread for `max_delay`, unless a newer one of the same host,
    /// or one of a later host at its address, is stored. Earlier hosts at its address are removed.
    pub fn record_delayed_beacon(&mut self, beacon: Beacon, max_delay: Duration, now: Instant) {
        let is_newer = |it: &Peer| {
            (it.beacon.started_ms, it.beacon.number) < (beacon.started_ms, beacon.number)
        };
        let known = self.peers.get(&beacon.host);
        if known.is_some_and(|it| !is_newer(it) && it.is_live(now)) {
            return;
        }
        let is_later_start = |it: &Peer| {
            is_same_address(&it.beacon, &beacon)
                && it.beacon.host != beacon.host
                && it.beacon.started_ms > beacon.started_ms
        };
        if self.peers.values().any(|it| is_later_start(it) && it.is_live(now)) {
            return;
        }
        self.peers.retain(|id, it| *id == beacon.host || !is_same_address(&it.beacon, &beacon));
        let state_before = self.peers.get(&beacon.host).map(|it| it.beacon.state);
        if state_before != Some(beacon.state) {
            log::info!(
                "fleet: state of an entry host changed peer={} state={:?}",
                beacon.host,
                beacon.state
            );
        }
        let earliest_sent = now.checked_sub(max_delay).unwrap_or(now);
        let peer = Peer { beacon, received_at: now, earliest_sent };
        self.peers.insert(peer.beacon.host.clone(), peer);
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
    /// its zone, of those in its region if there are none, else of those in the first of the
    /// `preferred` regions that has any, or else of all. `own` is the beacon of this host.
    ///
    /// A beacon that may have waited unread for long doesn't show that its host still runs.
    pub fn addresses(
        &self,
        own: &Beacon,
        caller: CallerLocation<'_>,
        preferred: &[RegionConstraint],
        now: Instant,
    ) -> Vec<SocketAddr> {
        let is_running = |it: &&Peer| {
            it.is_live(now) && it.was_sent_lately(now) && !is_same_address(&it.beacon, own)
        };
        let others = self.peers.values().filter(is_running);
        let ready: Vec<&Beacon> = std::iter::once(own)
            .chain(others.map(|it| &it.beacon))
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
        let in_preferred =
            preferred.iter().map(|it| matching(&|host| it.allows(Some(&host.region))));
        in_preferred.chain([matching(&|_| true)]).find(|it| !it.is_empty()).unwrap_or_default()
    }
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.duration_since(self.received_at) < self.timeout()
    }

    fn was_sent_lately(&self, now: Instant) -> bool {
        now.duration_since(self.earliest_sent) < self.timeout() + MAX_UNREAD_TIME
    }

    fn timeout(&self) -> Duration {
        let interval = Duration::from_millis(u64::from(self.beacon.interval_ms));
        interval.mul_f64(MISSED_BEACONS).max(BEACON_TIMEOUT)
    }
}

/// Returns `true` if two beacons are of hosts that callers or other processes reach at one address.
fn is_same_address(left: &Beacon, right: &Beacon) -> bool {
    left.callers == right.callers || left.peers == right.peers
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
