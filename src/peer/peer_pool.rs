//! Connections to other processes, opened on first use and dropped when they fail.

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

/// Longest frame between processes.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;
/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a call to another process failed.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection could be opened.
        Connect(address: SocketAddr, err: io::Error) {
            source(err)
            display("no connection to the process at {address}: {err}")
        }
        /// The connection was refused.
        Handshake(address: SocketAddr, err: HandshakeError) {
            source(err)
            display("the process at {address} was refused: {err}")
        }
        /// The call failed or its time limit passed.
        Call(address: SocketAddr, err: RpcError) {
            source(err)
            display("the call to the process at {address} failed: {err}")
        }
    }
}

/// Open connections of one class at most; the one used least recently is closed for a new one.
const MAX_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not used again; the server closes it later.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Connections to other processes, one an address and class.
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
    /// Makes a pool without connections.
    pub fn new(key: PeerKey, counters: Arc<LinkCounters>) -> PeerPool {
        PeerPool { key, counters, connections: Mutex::default() }
    }

    /// Bytes sent and received.
    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Calls the process at `address`; `limit` bounds the call and connecting.
    ///
    /// The connection is dropped when the call fails, so that the next call opens a new one.
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

    /// Number of open connections.
    pub fn n_connections(&self) -> usize {
        self.connections.lock().unwrap().len()
    }

    /// Closes the connections to `address`.
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

    /// Keeps a new connection; the idle ones and, above the limit, the oldest make room.
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

/// Codec of the frames between processes.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
