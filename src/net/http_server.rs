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
use async_net::{TcpListener, TcpStream};
use futures_lite::AsyncReadExt;
use http_types::{Request, Response};
use quick_error::quick_error;

use crate::{net::byte_stream::ByteStream, runtime};

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

/// Pause after a failed accept, so that a shortage of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening server; dropping it stops listening, open exchanges go on.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    n_connections: Arc<AtomicUsize>,
    accept_task: Task<()>,
}

impl HttpServer {
    /// Listens on `address` and answers with `handler` until closed.
    pub async fn bind(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let n_connections = Arc::new(AtomicUsize::new(0));
        let accept_task =
            runtime::spawn(accept_loop(listener, limits, handler, n_connections.clone()));
        Ok(HttpServer { address, n_connections, accept_task })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn n_connections(&self) -> usize {
        self.n_connections.load(Ordering::Relaxed)
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
        Short(got_bytes: usize, announced_bytes: usize) {
            display("the body ended after {got_bytes} of {announced_bytes} bytes; send it again")
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
    let announced = request.len();
    read_whole(request, announced, limit_bytes).await
}

/// Reads to the end of `body`, which announced `announced` bytes.
pub(crate) async fn read_whole(
    body: &mut (impl futures_lite::AsyncRead + Unpin),
    announced: Option<usize>,
    limit_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    if announced.is_some_and(|it| it > limit_bytes) {
        return Err(BodyError::TooLong(limit_bytes));
    }
    let mut bytes = Vec::with_capacity(announced.unwrap_or(0));
    let limit = limit_bytes as u64 + 1;
    body.take(limit).read_to_end(&mut bytes).await.map_err(BodyError::Io)?;
    if bytes.len() > limit_bytes {
        return Err(BodyError::TooLong(limit_bytes));
    }
    match announced {
        Some(n) if n != bytes.len() => Err(BodyError::Short(bytes.len(), n)),
        _ => Ok(bytes),
    }
}

async fn accept_loop(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    n_connections: Arc<AtomicUsize>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            runtime::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if n_connections.load(Ordering::Relaxed) >= limits.max_connections {
            continue;
        }
        let guard = ConnectionGuard::new(n_connections.clone());
        runtime::spawn(serve_connection(stream, handler.clone(), guard)).detach();
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler, _guard: ConnectionGuard) {
    let Ok(stream) = ByteStream::new(stream) else { return };
    let res = async_h1::accept(stream, move |req| handler(req)).await;
    if let Err(err) = res {
        log::debug!("http: connection ended error={err}");
    }
}

/// Counts one open connection for as long as it lives.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(count: Arc<AtomicUsize>) -> ConnectionGuard {
        count.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
