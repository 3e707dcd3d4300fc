//! HTTP client that sends and receives complete bodies, without streaming.
//!
//! It is used for the store, the origin, and the reports and orders of engines.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    http1::{
        body::{BodyLength, BodyReader},
        connection::Connection,
        head::RequestHead,
        HttpError, ResponseHead,
    },
    runtime,
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after which an idle connection is no longer used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of idle connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A request, with the timeout and the size limit of its response.
#[derive(Clone, Debug)]
pub struct Call {
    /// Head without `Host` and `Content-Length`, which the client adds.
    pub head: RequestHead,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// Timeout for the complete exchange, including opening the connection.
    pub timeout: Duration,
    /// Maximum length of the response body.
    pub limit_bytes: usize,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status and header fields.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Vec<u8>,
}

/// A client that reuses idle connections.
///
/// A client created by `closing` opens a new connection for each call instead.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    closes_after_call: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl Client {
    /// Creates a client that closes its connection after each call, for servers that accept only a
    /// few connections.
    pub fn closing() -> Client {
        Client { closes_after_call: true, ..Client::default() }
    }

    /// Sends the request and returns the complete response; an incomplete one is an error.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Result<Response, HttpError> {
        let exchange = self.exchange(address, call);
        runtime::timeout(call.timeout, exchange).await.map_err(|_| HttpError::TimedOut)?
    }

    async fn exchange(&self, address: SocketAddr, call: &Call) -> Result<Response, HttpError> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT).await?,
        };
        connection.write(&encode_call(address, call)).await?;
        let head = connection.read_response_head(MAX_HEAD_BYTES).await?;
        let mut reader = BodyReader::new(BodyLength::of_response(&head, &call.head.method)?);
        let body = reader.read_all(&mut connection, call.limit_bytes).await?;
        if !self.closes_after_call && !head.closes_connection() && !connection.is_stale() {
            self.put_idle(address, connection);
        }
        Ok(Response { head, body })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections
            .retain(|it| it.idle_since.elapsed() < IDLE_TIMEOUT && !it.connection.is_stale());
        connections.pop().map(|it| it.connection)
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }
}

impl Call {
    /// Creates a `GET` request without a body.
    pub fn get(target: &str, timeout: Duration, limit_bytes: usize) -> Call {
        Call { head: RequestHead::new("GET", target), body: Vec::new(), timeout, limit_bytes }
    }

    /// Creates a request with a JSON body.
    pub fn json(method: &str, target: &str, body: Vec<u8>, timeout: Duration) -> Call {
        let mut head = RequestHead::new(method, target);
        head.headers.push("Content-Type", "application/json");
        Call { head, body, timeout, limit_bytes: 1 << 20 }
    }
}

fn encode_call(address: SocketAddr, call: &Call) -> Vec<u8> {
    let mut head = call.head.clone();
    head.headers.push("Host", address.to_string());
    if !call.body.is_empty() || call.head.method != "GET" {
        head.headers.push("Content-Length", call.body.len().to_string());
    }
    let mut bytes = head.to_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}
