//! A connection of the HTTP server.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use async_h1::server::{ConnectionStatus, Server};
use async_net::TcpStream;
use futures_lite::{AsyncWriteExt, FutureExt};
use http_types::{Request, Response};

use crate::{
    http1::ConnectionSlot,
    net::{
        byte_stream::ByteStream,
        http_server::{Handler, ServerCounts},
        request_body::RequestBody,
    },
    runtime,
};

/// The timeout for receiving the head of a request, from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval for checking whether the head is complete or its timeout has expired.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum length of a request head in bytes.
const MAX_HEAD_BYTES: u64 = 8 << 10;
/// The number of bytes that may be read before the head is complete.
///
/// It allows two reads of the HTTP parser, which reads up to `MAX_HEAD_BYTES` at a time.
const HEAD_READ_LIMIT_BYTES: u64 = 2 * MAX_HEAD_BYTES;
/// The maximum length of an unread request body that is discarded before the response.
///
/// The connection is closed if more of the body is left.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;

/// A server connection, which serves its requests one at a time.
///
/// It limits the length of a request head and the time for its arrival, and drops the handler when
/// the client disconnects.
pub(crate) struct ServerConnection {
    stream: ByteStream,
    handler: Handler,
    counts: Arc<ServerCounts>,
    slot: Arc<ConnectionSlot>,
}

/// The outcome of an exchange.
enum ExchangeOutcome {
    /// The response was sent and the connection can be reused.
    Reusable,
    /// The connection must be closed.
    Closed,
    /// The head of the request could not be parsed or was too long.
    MalformedHead,
    /// The head of the request did not arrive within `HEAD_TIMEOUT`.
    HeadTimeout,
}

impl ServerConnection {
    /// Wraps an accepted connection, which counts as open until `slot` is dropped.
    pub(crate) fn new(
        stream: TcpStream,
        handler: Handler,
        counts: Arc<ServerCounts>,
        slot: Arc<ConnectionSlot>,
    ) -> io::Result<ServerConnection> {
        let stream = ByteStream::new(stream)?;
        Ok(ServerConnection { stream, handler, counts, slot })
    }

    /// Serves requests until one side closes the connection, or it is closed for another one.
    pub(crate) async fn serve_until_evicted(self) {
        let slot = self.slot.clone();
        // An eviction comes first: a request that arrives at the same time stays unread.
        slot.wait_until_evicted().or(self.serve()).await;
    }

    async fn serve(self) {
        loop {
            self.slot.begin_wait();
            match self.serve_one().await {
                ExchangeOutcome::Reusable => continue,
                ExchangeOutcome::Closed => break,
                ExchangeOutcome::MalformedHead => {
                    self.reject_head().await;
                    break;
                }
                ExchangeOutcome::HeadTimeout => {
                    let message =
                        "the head did not arrive in time; send the request again at a higher rate";
                    self.send_error("408 Request Timeout", message).await;
                    break;
                }
            }
        }
        // The client has the response, or can still read it.
        self.slot.begin_wait();
        self.stream.clone().close_lingering().await;
    }

    /// Serves one request.
    ///
    /// The handler is dropped if the client disconnects before the response is sent completely.
    async fn serve_one(&self) -> ExchangeOutcome {
        self.stream.set_read_limit(HEAD_READ_LIMIT_BYTES);
        let has_head = AtomicBool::new(false);
        let exchange_guard = Mutex::new(None);
        let endpoint = |request| {
            has_head.store(true, Ordering::Relaxed);
            self.slot.begin_exchange();
            let guard = ExchangeGuard::new(self.counts.clone());
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
                    log::debug!("http: connection failed during a request error=\"{err}\"");
                    ExchangeOutcome::Closed
                }
            }
        };
        exchange.or(self.wait_for_abort(&has_head)).await
    }

    /// Returns the response of the handler.
    ///
    /// The rest of the body must be read before the client has the response: with the bytes after it,
    /// which the HTTP parser may have buffered, the start of the next request would be lost.
    async fn call_handler(&self, mut request: Request) -> http_types::Result<Response> {
        self.stream.set_read_limit(u64::MAX);
        // Reading the body would ask the client for it.
        let expects_continue = request.header("Expect").is_some();
        let has_body = request.is_empty() != Some(true);
        let body = has_body.then(|| RequestBody::share(&mut request));
        let mut response = (self.handler)(request).await?;
        let is_read = match body {
            Some(body) => !expects_continue && body.discard_arrived(MAX_DISCARDED_BYTES).await,
            None => true,
        };
        if !is_read {
            response.insert_header("Connection", "close");
        }
        self.stream.set_read_limit(0);
        Ok(response)
    }

    /// Waits until the head exceeds its timeout or, after the head, until the client disconnects.
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
            let message = "the request head is longer than 8 KiB; send fewer or shorter headers";
            self.send_error("431 Request Header Fields Too Large", message).await;
            return;
        }
        let message =
            "the request head is malformed; send HTTP/1.1 with one Host and one length header";
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
            log::debug!("http: failed to send an error response error=\"{err}\"");
        }
    }
}

/// Counts an exchange until it is dropped.
struct ExchangeGuard {
    counts: Arc<ServerCounts>,
}

impl ExchangeGuard {
    fn new(counts: Arc<ServerCounts>) -> ExchangeGuard {
        counts.exchanges.fetch_add(1, Ordering::Relaxed);
        ExchangeGuard { counts }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.counts.exchanges.fetch_sub(1, Ordering::Relaxed);
    }
}
