//! Decides which entry hosts watch the store directly, and through which of them the others do.
//!
//! Load pattern: hundreds of processes at a store that answers a bounded number of calls. The number
//! of followers is the same in deployments of all sizes, but each zone has at least two, so that
//! its processes can follow the store while one of them fails.

use std::net::SocketAddr;

use crate::{
    digest::Digest,
    fleet::{entry_registry, Beacon, KindCache},
    ids::{HostId, ZoneId},
    platform::{wire_config, wire_evacuation, wire_server},
    weights::rank::digest_hash,
};

/// Number of followers in all zones together.
const N_FOLLOWERS: usize = 9;
/// Minimum number of followers of each zone.
const MIN_FOLLOWERS_PER_ZONE: usize = 2;
/// The kinds that a host must watch without a gap before other processes watch the store through
/// it.
const WATCHED_KINDS: [&str; 4] = [
    wire_config::CONFIG_KIND,
    wire_server::SERVER_KIND,
    wire_server::VERSION_KIND,
    entry_registry::KIND,
];

/// Returns `true` if an entry host should watch the store directly: `n_preferred` ready hosts of its
/// zone come before it, and the deployment has `n_zones` zones.
pub fn follows_store(n_preferred: usize, n_zones: usize) -> bool {
    let per_zone = (N_FOLLOWERS / n_zones.max(1)).max(MIN_FOLLOWERS_PER_ZONE);
    n_preferred < per_zone
}

/// Returns `true` if a host with this cache watches all kinds without a gap that other processes
/// watch through it; with evacuations, if the platform has them.
pub(crate) fn is_current_follower(cache: &KindCache, has_evacuations: bool) -> bool {
    let is_current = cache.is_current(&WATCHED_KINDS);
    is_current && (!has_evacuations || cache.is_current(&[wire_evacuation::EVACUATION_KIND]))
}

/// Returns the followers among `live` through which a host can watch the store, those of its own
/// zone first.
pub(crate) fn relays_for<'a>(
    client: &HostId,
    zone: &ZoneId,
    live: impl Iterator<Item = &'a Beacon>,
) -> Vec<SocketAddr> {
    let mut relays: Vec<&Beacon> = live.filter(|it| it.follows_store).collect();
    relays.sort_by_key(|it| (it.zone != *zone, relay_order(client, &it.host)));
    relays.into_iter().map(|it| it.peers).collect()
}

/// Returns the sort key of a relay for a client, a hash of both ids, which spreads the clients
/// evenly over the relays.
fn relay_order(client: &HostId, relay: &HostId) -> u64 {
    let digest = Digest::of(format!("{client} {relay}").as_bytes());
    digest_hash(&digest)
}
