//! Serves the HTTP interface of the platform, with injected faults.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crocustiller::net::{HttpServer, ServerLimits};

use crate::platform::{
    host_entry::HostEntry, platform_behaviour::PlatformBehaviour, platform_counts::PlatformCounts,
    platform_state::PlatformState,
};

/// A running stand-in for the platform, which keeps objects and the list of hosts in memory.
#[derive(Debug)]
pub struct PlatformStandin {
    state: Arc<PlatformState>,
    server: HttpServer,
}

impl PlatformStandin {
    /// Starts to listen on `address`, without objects and hosts.
    pub async fn start(address: SocketAddr) -> io::Result<PlatformStandin> {
        let state = Arc::new(PlatformState::new());
        let handler_state = state.clone();
        let handler = Arc::new(move |request| {
            let state = handler_state.clone();
            Box::pin(async move { state.handle_request(request).await }) as _
        });
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await?;
        Ok(PlatformStandin { state, server })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the timing and the injected faults.
    pub fn set_behaviour(&self, behaviour: PlatformBehaviour) {
        self.state.behaviour.set(behaviour);
        self.state.changed.notify(usize::MAX);
    }

    /// Goes back to the objects of `instant`, as if restored from a copy.
    pub fn restore(&self, instant: Instant) {
        self.state.objects.lock().unwrap().restore(instant);
        self.state.changed.notify(usize::MAX);
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        *self.state.hosts.lock().unwrap() = hosts;
    }

    /// Returns the current value of an object, regardless of injected faults.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        let objects = self.state.objects.lock().unwrap();
        objects.get(name, Duration::ZERO, Instant::now()).map(|it| it.1.to_vec())
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> PlatformCounts {
        self.state.counts.snapshot()
    }

    /// Ends waiting watches and stops listening.
    pub async fn close(self) {
        self.state.behaviour.update(|it| it.outage = true);
        self.state.changed.notify(usize::MAX);
        self.server.close().await;
    }
}
