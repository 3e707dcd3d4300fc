//! Counts the requests that this entry host has in progress at each backend server.

use std::{collections::HashMap, net::SocketAddr};

/// The numbers of requests in progress, by the address of the backend server.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts {
    counts: HashMap<SocketAddr, u32>,
}

impl RequestCounts {
    /// Records the start of a request.
    pub fn begin(&mut self, backend: SocketAddr) {
        *self.counts.entry(backend).or_default() += 1;
    }

    /// Records the end of a request.
    pub fn end(&mut self, backend: SocketAddr) {
        let Some(count) = self.counts.get_mut(&backend) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.counts.remove(&backend);
        }
    }

    /// Returns the number of requests in progress at one backend server.
    pub fn get(&self, backend: &SocketAddr) -> u32 {
        self.counts.get(backend).copied().unwrap_or_default()
    }

    /// Returns the number of requests in progress at all backend servers.
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }
}
