//! A pool of connections to backend servers, each with one request in progress at a time.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    http1::{Connection, HttpError, ResponseHead},
    ids::BackendId,
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a connection is no longer used, unless the backend server sets a shorter
/// one.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Margin by which a connection is dropped before the backend server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections that are kept to one backend server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A connection to one backend server.
#[derive(Debug)]
pub struct BackendConnection {
    /// The HTTP connection.
    pub connection: Connection,
    backend: BackendId,
    idle_timeout: Duration,
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

/// The idle connections to each backend server, kept for reuse.
#[derive(Debug, Default)]
pub struct BackendConnections {
    idle: RefCell<HashMap<BackendId, Vec<IdleConnection>>>,
}

impl BackendConnections {
    /// Removes and returns a usable idle connection, or `None` if there is none.
    pub fn take_idle(&self, backend: &str) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(backend)?;
        connections.retain(|it| it.is_usable());
        connections.pop().map(|it| it.connection)
    }

    /// Opens a new connection.
    pub async fn open(
        &self,
        backend: &str,
        address: SocketAddr,
    ) -> Result<BackendConnection, HttpError> {
        let connection = Connection::open(address, CONNECT_TIMEOUT).await?;
        Ok(BackendConnection { connection, backend: backend.to_owned(), idle_timeout: MAX_IDLE })
    }

    /// Keeps a connection for reuse after a complete exchange. Closes it if the response requires
    /// that, if it may no longer be usable, or if enough idle connections are kept.
    pub fn put_back(&self, mut connection: BackendConnection, head: &ResponseHead) {
        if head.closes_connection() || connection.connection.is_stale() {
            return;
        }
        connection.apply_keep_alive_timeout(head);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.backend.clone()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes all idle connections to a backend server.
    pub fn close_idle(&self, backend: &str) {
        self.idle.borrow_mut().remove(backend);
    }
}

impl BackendConnection {
    fn apply_keep_alive_timeout(&mut self, head: &ResponseHead) {
        let fields = head.headers.get("Keep-Alive").unwrap_or("");
        let seconds = fields.split(',').find_map(|it| it.trim().strip_prefix("timeout="));
        let Some(seconds) = seconds.and_then(|it| it.parse().ok()) else { return };
        let timeout = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        self.idle_timeout = timeout.min(MAX_IDLE);
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < self.connection.idle_timeout
            && !self.connection.connection.is_stale()
    }
}
