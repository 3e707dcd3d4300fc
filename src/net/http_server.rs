//! An HTTP/1.1 server on `async-h1` with a limited number of connections.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use async_executor::Task;
use async_net::TcpListener;
use futures_lite::AsyncReadExt;
use http_types::{Request, Response};
use quick_error::quick_error;

use crate::{
    http1::{is_out_of_descriptors, PortConnections},
    net::server_connection::ServerConnection,
    runtime::{self, TimedOut},
};

/// A function that returns the response to a request; an error closes the connection.
pub type Handler = Arc<dyn Fn(Request) -> HandlerFuture + Send + Sync>;

type HandlerFuture = Pin<Box<dyn Future<Output = http_types::Result<Response>> + Send>>;

/// The limits that bound a server's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// The maximum number of open connections. For a further one, that which has waited longest for a
    /// request is closed; if there is none, the further one is closed as soon as it is accepted.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { max_connections: 4096 }
    }
}

/// The interval for checking whether all exchanges have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An HTTP server that listens on one address.
///
/// Dropping it stops listening; exchanges in progress continue.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    counts: Arc<ServerCounts>,
    accept_task: Task<()>,
}

/// The open connections and the number of exchanges in progress at a server.
#[derive(Debug)]
pub(crate) struct ServerCounts {
    /// The open connections.
    pub(crate) connections: Arc<PortConnections>,
    /// The number of exchanges in progress, from the head of a request to the end of its response.
    pub(crate) exchanges: AtomicUsize,
}

impl HttpServer {
    /// Listens on `address` as the port `request`; see `bind_port`.
    pub async fn bind(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<HttpServer> {
        HttpServer::bind_port("request", address, limits, handler).await
    }

    /// Listens on `address` and serves requests with `handler` until closed or dropped; metrics and log
    /// lines name the port `port`.
    pub async fn bind_port(
        port: &'static str,
        address: SocketAddr,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::try_from(crate::net::listen::listen(address)?)?;
        let address = listener.local_addr()?;
        let connections = PortConnections::new(port, limits.max_connections);
        let counts = Arc::new(ServerCounts { connections, exchanges: AtomicUsize::new(0) });
        let accept_task = runtime::spawn(accept_loop(listener, handler, counts.clone()));
        Ok(HttpServer { address, counts, accept_task })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn n_connections(&self) -> usize {
        self.counts.connections.n_open()
    }

    /// Returns the number of exchanges whose response has not been sent completely.
    pub fn n_exchanges(&self) -> usize {
        self.counts.exchanges.load(Ordering::Relaxed)
    }

    /// Waits until no exchange is in progress, for at most `timeout`.
    pub async fn wait_until_idle(&self, timeout: Duration) -> Result<(), TimedOut> {
        let idle = async {
            while self.n_exchanges() > 0 {
                runtime::sleep(IDLE_CHECK_INTERVAL).await;
            }
        };
        runtime::timeout(timeout, idle).await
    }

    /// Stops listening; open connections continue until one side closes them.
    pub async fn close(self) {
        self.accept_task.cancel().await;
    }
}

quick_error! {
    /// The reason why the body of a message could not be read completely.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is longer than the limit.
        TooLong(limit_bytes: usize) {
            display("the body is longer than {limit_bytes} bytes; send a smaller one")
        }
        /// The connection ended before `Content-Length` bytes had arrived.
        Truncated(received_bytes: usize, content_length: usize) {
            display("the body ended after {received_bytes} of {content_length} bytes; send it again")
        }
        /// The connection failed.
        Io(err: io::Error) {
            source(err)
            display("failed to read the body: {err}; send it again")
        }
    }
}

/// Reads the complete request body of at most `limit_bytes`.
///
/// Returns an error if its length differs from `Content-Length`.
pub async fn read_request_body(
    request: &mut Request,
    limit_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    let content_length = request.len();
    read_body(request, content_length, limit_bytes).await
}

/// Reads `body` to its end, at most `limit_bytes`, and compares its length with `content_length`.
pub(crate) async fn read_body(
    body: &mut (impl futures_lite::AsyncRead + Unpin),
    content_length: Option<usize>,
    limit_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    if content_length.is_some_and(|it| it > limit_bytes) {
        return Err(BodyError::TooLong(limit_bytes));
    }
    let mut bytes = Vec::with_capacity(content_length.unwrap_or(0));
    let read_limit = limit_bytes as u64 + 1;
    body.take(read_limit).read_to_end(&mut bytes).await.map_err(BodyError::Io)?;
    if bytes.len() > limit_bytes {
        return Err(BodyError::TooLong(limit_bytes));
    }
    match content_length {
        Some(n) if n != bytes.len() => Err(BodyError::Truncated(bytes.len(), n)),
        _ => Ok(bytes),
    }
}

async fn accept_loop(listener: TcpListener, handler: Handler, counts: Arc<ServerCounts>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                if is_out_of_descriptors(&err) {
                    counts.connections.evict_oldest();
                }
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(slot) = counts.connections.admit() else { continue };
        let (handler, counts) = (handler.clone(), counts.clone());
        let Ok(connection) = ServerConnection::new(stream, handler, counts, slot) else { continue };
        runtime::spawn(connection.serve_until_evicted()).detach();
    }
}
