//! Connections to backend servers, each with one exchange at a time.

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

/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age at which an idle connection is no longer used, unless the backend server names less.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Margin before the idle time at which a backend server closes.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one backend server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A connection to one backend server.
#[derive(Debug)]
pub struct BackendConnection {
    /// The connection.
    pub connection: Connection,
    backend: BackendId,
    idle_limit: Duration,
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

/// Idle connections by backend server.
#[derive(Debug, Default)]
pub struct BackendConnections {
    idle: RefCell<HashMap<BackendId, Vec<IdleConnection>>>,
}

impl BackendConnections {
    /// An idle connection that is still good, if there is one.
    pub fn take_idle(&self, backend: &str) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(backend)?;
        kept.retain(|it| it.is_usable());
        kept.pop().map(|it| it.connection)
    }

    /// Opens a connection.
    pub async fn open(
        &self,
        backend: &str,
        address: SocketAddr,
    ) -> Result<BackendConnection, HttpError> {
        let connection = Connection::open(address, CONNECT_TIMEOUT).await?;
        Ok(BackendConnection { connection, backend: backend.to_owned(), idle_limit: MAX_IDLE })
    }

    /// Keeps a connection whose exchange was whole; closes it when there is any doubt.
    pub fn put_back(&self, mut connection: BackendConnection, head: &ResponseHead) {
        if head.closes() || connection.connection.is_stale() {
            return;
        }
        connection.learn_idle_limit(head);
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.backend.clone()).or_default();
        if kept.len() < MAX_IDLE_CONNECTIONS {
            kept.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes all idle connections to a backend server.
    pub fn forget(&self, backend: &str) {
        self.idle.borrow_mut().remove(backend);
    }
}

impl BackendConnection {
    fn learn_idle_limit(&mut self, head: &ResponseHead) {
        let fields = head.headers.get("Keep-Alive").unwrap_or("");
        let seconds = fields.split(',').find_map(|it| it.trim().strip_prefix("timeout="));
        let Some(seconds) = seconds.and_then(|it| it.parse().ok()) else { return };
        let limit = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        self.idle_limit = limit.min(MAX_IDLE);
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < self.connection.idle_limit && !self.connection.connection.is_stale()
    }
}
