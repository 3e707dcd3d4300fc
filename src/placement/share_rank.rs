//! The place of an entry host in the division of requests to one server.

/// The place of an entry host among all hosts in the division of requests to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareRank {
    /// Number of hosts that come before this one.
    pub rank: usize,
    /// Number of hosts with this one.
    pub n_hosts: usize,
}

impl ShareRank {
    /// Returns how many of `n_requests` are this host's. The shares of all hosts add up to `n_requests`; the
    /// remainder of the division goes to those that come first.
    pub fn of(&self, n_requests: usize) -> usize {
        n_requests / self.n_hosts + usize::from(self.rank < n_requests % self.n_hosts)
    }
}
