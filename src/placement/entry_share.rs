//! Divides requests per second among the entry hosts without messages.

use std::net::SocketAddr;

use crate::{
    placement::ShareRank,
    weights::rank::{host_hash, score},
};

/// This entry host among all that it knows.
#[derive(Clone, Debug)]
pub struct EntryShare {
    /// Address of this host.
    pub own: SocketAddr,
    /// Addresses of the other hosts.
    pub others: Vec<SocketAddr>,
}

impl EntryShare {
    /// Returns the place of this host in the division of requests to a server.
    pub fn rank(&self, server: &str) -> ShareRank {
        let item = host_hash(server);
        let key = |it: &SocketAddr| (score(item, host_hash(&it.to_string())), *it);
        let own = key(&self.own);
        let others = || self.others.iter().filter(|it| **it != self.own);
        let rank = others().filter(|it| key(it) > own).count();
        ShareRank { rank, n_hosts: others().count() + 1 }
    }

    /// Returns how many of `n_requests` to a server are this host's. All hosts compute shares that add up
    /// to `n_requests`; the remainder of the division goes to those that rank first for the server.
    pub fn of(&self, n_requests: usize, server: &str) -> usize {
        self.rank(server).of(n_requests)
    }

    /// Returns which part of a rate to a server is this host's. A rate below 1 goes to the host that ranks
    /// first for the server; others are rounded down and divided.
    pub fn of_rate(&self, per_s: f64, server: &str) -> f64 {
        match per_s < 1.0 {
            true => per_s * self.of(1, server) as f64,
            false => self.of(per_s as usize, server) as f64,
        }
    }
}
