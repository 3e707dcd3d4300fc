//! Which hosts a deployment has and where they listen.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

/// First port that is tried.
const FIRST_PORT: u16 = 12_000;
/// Ports stay below those that the system gives to outgoing connections.
const LAST_PORT: u16 = 32_000;
/// Availability zones of a region.
const ZONES_PER_REGION: usize = 2;

/// One host.
#[derive(Clone, Debug)]
pub(crate) struct HostPlan {
    pub(crate) id: String,
    pub(crate) region: String,
    pub(crate) zone: String,
    pub(crate) request: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
    /// The engine; none on an entry host.
    pub(crate) engine: Option<SocketAddr>,
}

impl HostPlan {
    /// Entry host number `idx`.
    pub(crate) fn entry(
        idx: usize,
        regions: usize,
        ports: &mut PortAllocator,
    ) -> io::Result<HostPlan> {
        HostPlan::new(format!("entry-{idx}"), idx, regions, None, ports)
    }

    /// Backend server host number `idx`.
    pub(crate) fn backend(
        idx: usize,
        regions: usize,
        ports: &mut PortAllocator,
    ) -> io::Result<HostPlan> {
        let engine = ports.next_address()?;
        HostPlan::new(format!("backend-{idx}"), idx, regions, Some(engine), ports)
    }

    fn new(
        id: String,
        idx: usize,
        regions: usize,
        engine: Option<SocketAddr>,
        ports: &mut PortAllocator,
    ) -> io::Result<HostPlan> {
        let region = idx % regions;
        let zone = idx / regions % ZONES_PER_REGION;
        Ok(HostPlan {
            id,
            region: format!("region-{region}"),
            zone: format!("zone-{region}-{zone}"),
            request: ports.next_address()?,
            peer: ports.next_address()?,
            operator: ports.next_address()?,
            engine,
        })
    }

    /// `entry` or `backend`.
    pub(crate) fn role(&self) -> &'static str {
        match self.engine {
            Some(_) => "backend",
            None => "entry",
        }
    }
}

/// Gives out free ports on loopback.
#[derive(Debug)]
pub(crate) struct PortAllocator(u16);

impl PortAllocator {
    /// Starts at a random port.
    pub(crate) fn new() -> PortAllocator {
        PortAllocator(fastrand::u16(FIRST_PORT..LAST_PORT - 5_000))
    }

    /// A loopback address that nobody listens on.
    pub(crate) fn next_address(&mut self) -> io::Result<SocketAddr> {
        while self.0 < LAST_PORT {
            self.0 += 1;
            let address = SocketAddr::from(([127, 0, 0, 1], self.0));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::Error::other("no free port left"))
    }
}
