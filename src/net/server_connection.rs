//! One connection of an HTTP server, from its first request to its end.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use async_h1::server::{ConnectionStatus, Server};
use async_net::TcpStream;
use futures_lite::{AsyncWriteExt, FutureExt};
use http_types::{Request, Response};

use crate::{
    net::{
        byte_stream::ByteStream,
        http_server::{Handler, ServerCounts},
    },
    runtime,
};

/// Time within which the head of a request must arrive after its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at how far a head has come.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest head of a request.
const MAX_HEAD_BYTES: u64 = 8 << 10;
/// Bytes read before a head must be complete; the reader takes pieces of this size.
const HEAD_READ_LIMIT_BYTES: u64 = 2 * MAX_HEAD_BYTES;
/// Bytes of an unread body that are dropped after the answer; with more, the connection ends.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;

/// Serves the requests of one connection, one at a time.
pub(crate) struct ServerConnection {
    stream: ByteStream,
    handler: Handler,
    counts: Arc<ServerCounts>,
    _open_guard: CountGuard,
}

/// How one exchange ended.
enum ExchangeOutcome {
    /// The answer is sent; the connection may be used again.
    Reusable,
    /// The connection ends.
    Closed,
    /// The request's head can't be read.
    MalformedHead,
    /// The request's head took too long.
    HeadTimeout,
}

impl ServerConnection {
    /// Takes an accepted connection, which counts as open until `serve` ends.
    pub(crate) fn new(
        stream: TcpStream,
        handler: Handler,
        counts: Arc<ServerCounts>,
    ) -> io::Result<ServerConnection> {
        let stream = ByteStream::new(stream)?;
        let open_guard = CountGuard::new(counts.clone(), |it| &it.connections);
        Ok(ServerConnection { stream, handler, counts, _open_guard: open_guard })
    }

    /// Answers requests until one side ends the connection.
    pub(crate) async fn serve(self) {
        loop {
            match self.serve_one().await {
                ExchangeOutcome::Reusable => continue,
                ExchangeOutcome::Closed => break,
                ExchangeOutcome::MalformedHead => {
                    self.reject_head().await;
                    break;
                }
                ExchangeOutcome::HeadTimeout => {
                    let message = "the request's head did not arrive in time; send it faster";
                    self.send_error("408 Request Timeout", message).await;
                    break;
                }
            }
        }
        self.stream.clone().close_lingering().await;
    }

    /// Serves one request; its handler is dropped when the sender leaves before the answer ends.
    async fn serve_one(&self) -> ExchangeOutcome {
        self.stream.set_read_limit(HEAD_READ_LIMIT_BYTES);
        let has_head = AtomicBool::new(false);
        let exchange_guard = Mutex::new(None);
        let endpoint = |request| {
            has_head.store(true, Ordering::Relaxed);
            let guard = CountGuard::new(self.counts.clone(), |it| &it.exchanges);
            *exchange_guard.lock().unwrap() = Some(guard);
            self.call_handler(request)
        };
        let mut server = Server::new(self.stream.clone(), endpoint);
        let exchange = async {
            let res = server.accept_one().await;
            match res {
                Ok(ConnectionStatus::KeepAlive) => ExchangeOutcome::Reusable,
                Ok(ConnectionStatus::Close) => ExchangeOutcome::Closed,
                Err(_) if !has_head.load(Ordering::Relaxed) => ExchangeOutcome::MalformedHead,
                Err(err) => {
                    log::debug!("http: connection ended error=\"{err}\"");
                    ExchangeOutcome::Closed
                }
            }
        };
        exchange.or(self.wait_for_abort(&has_head)).await
    }

    async fn call_handler(&self, request: Request) -> http_types::Result<Response> {
        self.stream.set_read_limit(u64::MAX);
        let response = (self.handler)(request).await?;
        let closes_connection =
            response.header("Connection").is_some_and(|it| it.as_str() == "close");
        self.stream.set_read_limit(if closes_connection { 0 } else { MAX_DISCARDED_BYTES });
        Ok(response)
    }

    /// Ends when the head takes too long or, after the head, when the sender leaves.
    async fn wait_for_abort(&self, has_head: &AtomicBool) -> ExchangeOutcome {
        self.stream.wait_until_readable().await;
        let started = Instant::now();
        while !has_head.load(Ordering::Relaxed) {
            if started.elapsed() > HEAD_TIMEOUT {
                return ExchangeOutcome::HeadTimeout;
            }
            runtime::sleep(HEAD_CHECK_INTERVAL).await;
        }
        self.stream.wait_until_closed().await;
        ExchangeOutcome::Closed
    }

    async fn reject_head(&self) {
        if self.stream.n_read() >= MAX_HEAD_BYTES {
            let message = "the request's head is longer than 8 KiB; send fewer or shorter headers";
            self.send_error("431 Request Header Fields Too Large", message).await;
            return;
        }
        let message = "the request's head can't be read; send HTTP/1.1 with Host and one length";
        self.send_error("400 Bad Request", message).await;
    }

    async fn send_error(&self, status: &str, message: &str) {
        let body = format!(
            "{{\"error\":{{\"message\":\"{message}\",\"verdict\":\"not-run\",\"request_id\":\"\"}}}}"
        );
        let response = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Verdict: not-run\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = self.stream.clone();
        if let Err(err) = stream.write_all(response.as_bytes()).await {
            log::debug!("http: refusal not sent error=\"{err}\"");
        }
    }
}

/// Adds one to a count for as long as it lives.
struct CountGuard {
    counts: Arc<ServerCounts>,
    counter: fn(&ServerCounts) -> &AtomicUsize,
}

impl CountGuard {
    fn new(counts: Arc<ServerCounts>, counter: fn(&ServerCounts) -> &AtomicUsize) -> CountGuard {
        counter(&counts).fetch_add(1, Ordering::Relaxed);
        CountGuard { counts, counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.counts).fetch_sub(1, Ordering::Relaxed);
    }
}
