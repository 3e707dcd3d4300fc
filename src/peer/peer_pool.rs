//! A pool of connections to other processes.

use std::{
    collections::HashMap,
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_compat::{Compat, CompatExt};
use async_net::TcpStream;
use quick_error::quick_error;
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport,
    tokio_serde::formats::Bincode,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    peer::{
        counted_stream::CountedStream,
        handshake::{self, HandshakeError, PeerKey},
        link_counters::{LinkClass, LinkCounters},
        protocol::PeerClient,
    },
    runtime,
};

/// The maximum length of a frame in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;
/// The timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// The reason why a call to another process failed.
    #[derive(Debug)]
    pub enum PeerError {
        /// The TCP connection could not be opened.
        Connect(address: SocketAddr, err: io::Error) {
            source(err)
            display("no connection to the process at {address}: {err}; check that it runs")
        }
        /// The handshake failed.
        Handshake(address: SocketAddr, err: HandshakeError) {
            source(err)
            display("the handshake with the process at {address} failed: {err}")
        }
        /// The call failed or its deadline passed.
        Call(address: SocketAddr, err: RpcError) {
            source(err)
            display("the call to the process at {address} failed: {err}")
        }
    }
}

/// The maximum number of open connections per class.
///
/// Above it, the least recently used connection is closed to admit a new one.
const MAX_CONNECTIONS: usize = 64;
/// The idle time after which a connection is no longer reused; the server closes it later.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// A pool of connections to other processes, at most one per address and link class.
///
/// A connection is opened on first use and removed when a call on it fails.
#[derive(Debug)]
pub struct PeerPool {
    key: PeerKey,
    counters: Arc<LinkCounters>,
    connections: Mutex<HashMap<(SocketAddr, LinkClass), Connection>>,
}

#[derive(Debug)]
struct Connection {
    client: PeerClient,
    last_used: Instant,
}

impl PeerPool {
    /// Creates a pool without connections.
    pub fn new(key: PeerKey, counters: Arc<LinkCounters>) -> PeerPool {
        PeerPool { key, counters, connections: Mutex::default() }
    }

    /// Returns the counters of the bytes sent and received by the process.
    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Calls the process at `address`.
    ///
    /// `timeout` applies first to connecting and then again to the call. If the call fails, its
    /// connection is removed, so that the next call opens a new one.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        class: LinkClass,
        timeout: Duration,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = runtime::timeout(timeout, self.get_or_connect(address, class))
            .await
            .unwrap_or_else(|_| Err(PeerError::Connect(address, io::ErrorKind::TimedOut.into())))?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let res = call(client, context).compat().await;
        res.map_err(|err| {
            self.remove_connection(address, class);
            PeerError::Call(address, err)
        })
    }

    /// Returns the number of connections in the pool.
    pub fn n_connections(&self) -> usize {
        self.connections.lock().unwrap().len()
    }

    /// Removes the connections to `address` from the pool.
    pub fn close_connections(&self, address: SocketAddr) {
        self.connections.lock().unwrap().retain(|(peer_address, _), _| *peer_address != address);
    }

    fn remove_connection(&self, address: SocketAddr, class: LinkClass) {
        self.connections.lock().unwrap().remove(&(address, class));
    }

    async fn get_or_connect(
        &self,
        address: SocketAddr,
        class: LinkClass,
    ) -> Result<PeerClient, PeerError> {
        if let Some(client) = self.cached_client(address, class) {
            return Ok(client);
        }
        let client = self.connect(address, class).await?;
        self.store_connection(address, class, client.clone());
        Ok(client)
    }

    fn cached_client(&self, address: SocketAddr, class: LinkClass) -> Option<PeerClient> {
        let mut connections = self.connections.lock().unwrap();
        let connection = connections.get_mut(&(address, class))?;
        if connection.last_used.elapsed() > MAX_IDLE {
            return None;
        }
        connection.last_used = Instant::now();
        Some(connection.client.clone())
    }

    /// Adds a connection to the pool.
    ///
    /// Removes connections that were idle for more than `MAX_IDLE` and, if the class has
    /// `MAX_CONNECTIONS`, its least recently used one.
    fn store_connection(&self, address: SocketAddr, class: LinkClass, client: PeerClient) {
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|_, it| it.last_used.elapsed() <= MAX_IDLE);
        let same_class = connections.iter().filter(|it| it.0 .1 == class);
        if same_class.clone().count() >= MAX_CONNECTIONS {
            let least_recent = same_class.min_by_key(|it| it.1.last_used).map(|it| *it.0);
            least_recent.and_then(|it| connections.remove(&it));
        }
        let connection = Connection { client, last_used: Instant::now() };
        connections.insert((address, class), connection);
    }

    async fn connect(
        &self,
        address: SocketAddr,
        class: LinkClass,
    ) -> Result<PeerClient, PeerError> {
        let connected = runtime::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let mut stream = stream.map_err(|err| PeerError::Connect(address, err))?;
        stream.set_nodelay(true).map_err(|err| PeerError::Connect(address, err))?;
        handshake::initiate(&mut stream, &self.key, class)
            .await
            .map_err(|err| PeerError::Handshake(address, err))?;
        let stream = CountedStream::new(stream, class, self.counters.clone());
        let framed = Framed::new(Compat::new(stream), codec());
        let transport = serde_transport::new(framed, Bincode::default());
        let new_client = PeerClient::new(client::Config::default(), transport);
        runtime::spawn(new_client.dispatch.compat()).detach();
        Ok(new_client.client)
    }
}

/// Returns the codec of frames between processes.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
