//! The hosts of a deployment, their locations and their addresses.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

/// The lowest port to allocate.
const FIRST_PORT: u16 = 12_000;
/// The highest port to allocate.
///
/// It is below the ephemeral ports, which the system assigns to outgoing connections.
const LAST_PORT: u16 = 32_000;
/// The number of availability zones per region.
const ZONES_PER_REGION: usize = 2;

/// The name, location and listen addresses of one host.
#[derive(Clone, Debug)]
pub(crate) struct HostPlan {
    pub(crate) id: String,
    pub(crate) region: String,
    pub(crate) zone: String,
    pub(crate) request: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
    /// The address of the engine; `None` on an entry host.
    pub(crate) engine: Option<SocketAddr>,
}

impl HostPlan {
    /// Plans the entry host with index `idx`.
    pub(crate) fn entry(
        idx: usize,
        regions: usize,
        ports: &mut PortAllocator,
    ) -> io::Result<HostPlan> {
        HostPlan::new(format!("entry-{idx}"), idx, regions, None, ports)
    }

    /// Plans the backend server host with index `idx`.
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

    /// Returns the role in the host's settings: `entry` or `backend`.
    pub(crate) fn role(&self) -> &'static str {
        match self.engine {
            Some(_) => "backend",
            None => "entry",
        }
    }
}

/// Allocates free ports on loopback.
#[derive(Debug)]
pub(crate) struct PortAllocator(u16);

impl PortAllocator {
    /// Creates an allocator that starts at a random port.
    pub(crate) fn new() -> PortAllocator {
        PortAllocator(fastrand::u16(FIRST_PORT..LAST_PORT - 5_000))
    }

    /// Returns the next loopback address on which no process listens.
    pub(crate) fn next_address(&mut self) -> io::Result<SocketAddr> {
        while self.0 < LAST_PORT {
            self.0 += 1;
            let address = SocketAddr::from(([127, 0, 0, 1], self.0));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::Error::other(
            "no free loopback port left; start the run again, as it starts at a random port",
        ))
    }
}
