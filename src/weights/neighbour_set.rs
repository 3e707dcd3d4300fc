//! The bounded set of hosts that a host exchanges chunks with.

use crate::{ids::HostId, weights::rank};

/// Chooses at most `n_neighbours` of `hosts`, the hosts of one region, as neighbours of `own`.
///
/// The hosts form a ring in the order of their hashes, which mixes the zones. Neighbours are the
/// hosts at fixed distances in both directions, in geometric progression. So the choice is mutual,
/// the number of hops grows with the logarithm of the region's size, and when one host joins or
/// leaves, few neighbours change.
pub fn choose_neighbours(own: &str, hosts: &[HostId], n_neighbours: usize) -> Vec<HostId> {
    let mut ring: Vec<&HostId> = hosts.iter().collect();
    ring.sort_by_key(|it| (rank::host_hash(it), *it));
    ring.dedup();
    let Some(own_idx) = ring.iter().position(|it| *it == own) else { return Vec::new() };
    let n_hosts = ring.len();
    if n_hosts <= n_neighbours + 1 {
        return ring.into_iter().filter(|it| *it != own).cloned().collect();
    }
    let mut chosen = Vec::new();
    for distance in distances((n_neighbours / 2).max(1), (n_hosts - 1) / 2) {
        chosen.push(ring[(own_idx + distance) % n_hosts].clone());
        chosen.push(ring[(own_idx + n_hosts - distance) % n_hosts].clone());
    }
    chosen
}

/// Returns `n` different distances from 1 to about `longest`, in geometric progression.
fn distances(n: usize, longest: usize) -> Vec<usize> {
    let mut distances: Vec<usize> = Vec::new();
    for step in 1..=n {
        let exponent = step as f64 / n as f64;
        let wanted = (longest as f64).powf(exponent).floor() as usize;
        let least = distances.last().map_or(1, |it| it + 1);
        distances.push(wanted.max(least));
    }
    distances
}
