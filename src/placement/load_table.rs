//! Counts the requests that this entry host has in progress at each backend server.

use std::{collections::HashMap, net::SocketAddr};

/// The load of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of requests in progress.
    pub n_requests: u32,
    /// Prompt tokens of the requests whose first event has not arrived.
    pub unread_tokens: u32,
}

/// A table of loads by the address of the backend server.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: HashMap<SocketAddr, Load>,
}

impl LoadTable {
    /// Records the start of a request.
    pub fn begin(&mut self, backend: SocketAddr, prompt_tokens: u32) {
        let load = self.loads.entry(backend).or_default();
        load.n_requests += 1;
        load.unread_tokens += prompt_tokens;
    }

    /// Subtracts the prompt tokens of a request, after its first event or when it ends without one.
    pub fn remove_unread_tokens(&mut self, backend: SocketAddr, prompt_tokens: u32) {
        if let Some(load) = self.loads.get_mut(&backend) {
            load.unread_tokens = load.unread_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records the end of a request whose prompt tokens have been subtracted.
    pub fn end(&mut self, backend: SocketAddr) {
        let Some(load) = self.loads.get_mut(&backend) else { return };
        load.n_requests = load.n_requests.saturating_sub(1);
        if load.n_requests == 0 {
            self.loads.remove(&backend);
        }
    }

    /// Returns the load of one backend server.
    pub fn get(&self, backend: &SocketAddr) -> Load {
        self.loads.get(backend).copied().unwrap_or_default()
    }

    /// Returns an iterator over the backend servers with requests in progress.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Load)> {
        self.loads.iter()
    }
}

impl std::ops::Add for Load {
    type Output = Load;

    fn add(self, other: Load) -> Load {
        Load {
            n_requests: self.n_requests + other.n_requests,
            unread_tokens: self.unread_tokens + other.unread_tokens,
        }
    }
}
