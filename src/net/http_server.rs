//! A bounded HTTP/1.1 server on async-h1.

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
    net::server_connection::ServerConnection,
    runtime::{self, TimedOut},
};

/// Answers one request; an error closes the connection.
pub type Handler = Arc<dyn Fn(Request) -> HandlerFuture + Send + Sync>;

type HandlerFuture = Pin<Box<dyn Future<Output = http_types::Result<Response>> + Send>>;

/// Limits that keep a server's memory bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections open at once; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { max_connections: 4096 }
    }
}

/// Pause between two looks at whether all exchanges have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a failed accept, so that a shortage of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening server; dropping it stops listening, open exchanges go on.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    counts: Arc<ServerCounts>,
    accept_task: Task<()>,
}

/// What a server has open.
#[derive(Debug, Default)]
pub(crate) struct ServerCounts {
    /// Open connections.
    pub(crate) connections: AtomicUsize,
    /// Exchanges in progress: from a request's head to the end of its answer.
    pub(crate) exchanges: AtomicUsize,
}

impl HttpServer {
    /// Listens on `address` and answers with `handler` until closed.
    pub async fn bind(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::try_from(crate::net::listen::listen(address)?)?;
        let address = listener.local_addr()?;
        let counts = Arc::new(ServerCounts::default());
        let accept_task = runtime::spawn(accept_loop(listener, limits, handler, counts.clone()));
        Ok(HttpServer { address, counts, accept_task })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn n_connections(&self) -> usize {
        self.counts.connections.load(Ordering::Relaxed)
    }

    /// Number of exchanges in progress, whose answers are not yet wholly sent.
    pub fn n_exchanges(&self) -> usize {
        self.counts.exchanges.load(Ordering::Relaxed)
    }

    /// Waits until no exchange is in progress, for at most `limit`.
    pub async fn wait_until_idle(&self, timeout: Duration) -> Result<(), TimedOut> {
        let idle = async {
            while self.n_exchanges() > 0 {
                runtime::sleep(IDLE_CHECK_INTERVAL).await;
            }
        };
        runtime::timeout(timeout, idle).await
    }

    /// Stops listening; open connections end by themselves.
    pub async fn close(self) {
        self.accept_task.cancel().await;
    }
}

quick_error! {
    /// Why the body of a message is not whole.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is longer than the limit.
        TooLong(limit_bytes: usize) {
            display("the body is longer than {limit_bytes} bytes; send a smaller one")
        }
        /// The connection ended before the announced length.
        Truncated(received_bytes: usize, content_length: usize) {
            display("the body ended after {received_bytes} of {content_length} bytes; send it again")
        }
        /// The connection failed.
        Io(err: io::Error) {
            source(err)
            display("the body could not be read: {err}")
        }
    }
}

/// Reads a whole request body of at most `limit_bytes` and checks it against its announced length.
pub async fn read_request_body(
    request: &mut Request,
    limit_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    let content_length = request.len();
    read_body(request, content_length, limit_bytes).await
}

/// Reads to the end of `body`, which announced `announced` bytes.
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

async fn accept_loop(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    counts: Arc<ServerCounts>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            runtime::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if counts.connections.load(Ordering::Relaxed) >= limits.max_connections {
            continue;
        }
        let Ok(connection) = ServerConnection::new(stream, handler.clone(), counts.clone()) else {
            continue;
        };
        runtime::spawn(connection.serve()).detach();
    }
}
