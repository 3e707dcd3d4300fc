//! Divides requests per second among the entry hosts without messages.

use std::net::SocketAddr;

use crate::weights::rank::{host_hash, score};

/// This entry host among all that it knows.
#[derive(Clone, Debug)]
pub struct EntryShare {
    /// Address of this host.
    pub own: SocketAddr,
    /// Addresses of the other hosts.
    pub others: Vec<SocketAddr>,
}

impl EntryShare {
    /// Returns how many of `n_requests` to a server are this host's. All hosts compute shares that add up
    /// to `n_requests`; the remainder of the division goes to those that rank first for the server.
    pub fn of(&self, n_requests: usize, server: &str) -> usize {
        let item = host_hash(server);
        let key = |it: &SocketAddr| (score(item, host_hash(&it.to_string())), *it);
        let own = key(&self.own);
        let others = || self.others.iter().filter(|it| **it != self.own);
        let rank = others().filter(|it| key(it) > own).count();
        let n_hosts = others().count() + 1;
        n_requests / n_hosts + usize::from(rank < n_requests % n_hosts)
    }
}
