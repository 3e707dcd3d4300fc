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
const MAX_DROPPED_BYTES: u64 = 64 << 10;

/// Serves the requests of one connection, one at a time.
pub(crate) struct ServerConnection {
    stream: ByteStream,
    handler: Handler,
    counts: Arc<ServerCounts>,
    _open: CountGuard,
}

/// How one exchange ended.
enum ExchangeEnd {
    /// The answer is sent; the connection may be used again.
    Reusable,
    /// The connection ends.
    Ended,
    /// The request's head can't be read.
    BadHead,
    /// The request's head took too long.
    SlowHead,
}

impl ServerConnection {
    /// Takes an accepted connection, which counts as open until `serve` ends.
    pub(crate) fn new(
        stream: TcpStream,
        handler: Handler,
        counts: Arc<ServerCounts>,
    ) -> io::Result<ServerConnection> {
        let stream = ByteStream::new(stream)?;
        let open = CountGuard::new(counts.clone(), |it| &it.connections);
        Ok(ServerConnection { stream, handler, counts, _open: open })
    }

    /// Answers requests until one side ends the connection.
    pub(crate) async fn serve(self) {
        loop {
            match self.serve_one().await {
                ExchangeEnd::Reusable => continue,
                ExchangeEnd::Ended => break,
                ExchangeEnd::BadHead => {
                    self.refuse_head().await;
                    break;
                }
                ExchangeEnd::SlowHead => {
                    let message = "the request's head did not arrive in time; send it faster";
                    self.refuse("408 Request Timeout", message).await;
                    break;
                }
            }
        }
        self.stream.clone().close_lingering().await;
    }

    /// Serves one request; its handler is dropped when the sender leaves before the answer ends.
    async fn serve_one(&self) -> ExchangeEnd {
        self.stream.limit_reading(HEAD_READ_LIMIT_BYTES);
        let is_started = AtomicBool::new(false);
        let in_progress = Mutex::new(None);
        let endpoint = |request| {
            is_started.store(true, Ordering::Relaxed);
            let guard = CountGuard::new(self.counts.clone(), |it| &it.exchanges);
            *in_progress.lock().unwrap() = Some(guard);
            self.answer(request)
        };
        let mut server = Server::new(self.stream.clone(), endpoint);
        let exchange = async {
            let res = server.accept_one().await;
            match res {
                Ok(ConnectionStatus::KeepAlive) => ExchangeEnd::Reusable,
                Ok(ConnectionStatus::Close) => ExchangeEnd::Ended,
                Err(_) if !is_started.load(Ordering::Relaxed) => ExchangeEnd::BadHead,
                Err(err) => {
                    log::debug!("http: connection ended error=\"{err}\"");
                    ExchangeEnd::Ended
                }
            }
        };
        exchange.or(self.watch(&is_started)).await
    }

    async fn answer(&self, request: Request) -> http_types::Result<Response> {
        self.stream.limit_reading(u64::MAX);
        let response = (self.handler)(request).await?;
        let closes = response.header("Connection").is_some_and(|it| it.as_str() == "close");
        self.stream.limit_reading(if closes { 0 } else { MAX_DROPPED_BYTES });
        Ok(response)
    }

    /// Ends when the head takes too long or, after the head, when the sender leaves.
    async fn watch(&self, is_started: &AtomicBool) -> ExchangeEnd {
        self.stream.wait_until_readable().await;
        let since = Instant::now();
        while !is_started.load(Ordering::Relaxed) {
            if since.elapsed() > HEAD_TIMEOUT {
                return ExchangeEnd::SlowHead;
            }
            runtime::sleep(HEAD_CHECK_INTERVAL).await;
        }
        self.stream.wait_until_left().await;
        ExchangeEnd::Ended
    }

    async fn refuse_head(&self) {
        if self.stream.n_read() >= MAX_HEAD_BYTES {
            let message = "the request's head is longer than 8 KiB; send fewer or shorter headers";
            self.refuse("431 Request Header Fields Too Large", message).await;
            return;
        }
        let message = "the request's head can't be read; send HTTP/1.1 with Host and one length";
        self.refuse("400 Bad Request", message).await;
    }

    async fn refuse(&self, status: &str, message: &str) {
        let body = format!(
            "{{\"error\":{{\"message\":\"{message}\",\"verdict\":\"not-run\",\"request_id\":\"\"}}}}"
        );
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Verdict: not-run\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = self.stream.clone();
        if let Err(err) = stream.write_all(text.as_bytes()).await {
            log::debug!("http: refusal not sent error=\"{err}\"");
        }
    }
}

/// Adds one to a count for as long as it lives.
struct CountGuard {
    counts: Arc<ServerCounts>,
    count: fn(&ServerCounts) -> &AtomicUsize,
}

impl CountGuard {
    fn new(counts: Arc<ServerCounts>, count: fn(&ServerCounts) -> &AtomicUsize) -> CountGuard {
        count(&counts).fetch_add(1, Ordering::Relaxed);
        CountGuard { counts, count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.count)(&self.counts).fetch_sub(1, Ordering::Relaxed);
    }
}
