//! Decides which entry hosts watch the store directly.
//!
//! Load pattern: hundreds of processes at a store that answers a bounded number of calls. The number
//! of followers is the same in deployments of all sizes, but each zone has at least two, so that
//! its processes can follow the store while one of them fails.

use crate::{digest::Digest, ids::HostId, weights::rank::digest_hash};

/// Number of followers in all zones together.
const N_FOLLOWERS: usize = 9;
/// Minimum number of followers of each zone.
const MIN_FOLLOWERS_PER_ZONE: usize = 2;

/// Returns `true` if an entry host should watch the store directly: `n_preferred` ready hosts of its
/// zone come before it, and the deployment has `n_zones` zones.
pub fn follows_store(n_preferred: usize, n_zones: usize) -> bool {
    let per_zone = (N_FOLLOWERS / n_zones.max(1)).max(MIN_FOLLOWERS_PER_ZONE);
    n_preferred < per_zone
}

/// Returns the sort key of a relay for a client, a hash of both ids, which spreads the clients
/// evenly over the relays.
pub fn relay_order(client: &HostId, relay: &HostId) -> u64 {
    let digest = Digest::of(format!("{client} {relay}").as_bytes());
    digest_hash(&digest)
}
