//! An HTTP/1.1 client on `async-h1` with a pool of idle connections.
//!
//! A connection is reused only if the previous exchange on it was complete.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_net::TcpStream;
use http_types::{Request, Response};
use quick_error::quick_error;

use crate::{
    net::{
        byte_stream::ByteStream,
        http_server::{read_body, BodyError},
    },
    runtime,
    verdict::Verdict,
};

/// The maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// The maximum idle time of a connection, well below the idle timeout of servers.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// The reason why a call failed; `verdict` says whether it may have run.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection could not be opened.
        Connect(address: SocketAddr, err: io::Error) {
            source(err)
            display("no connection to {address}: {err}; check that it runs")
        }
        /// The exchange failed after the connection was open.
        Exchange(address: SocketAddr, verdict: Verdict, reason: String) {
            display("the HTTP exchange with {address} failed ({verdict}): {reason}")
        }
        /// The timeout expired.
        TimedOut(address: SocketAddr, verdict: Verdict) {
            display("no response from {address} within the timeout ({verdict})")
        }
        /// The response body was truncated or too long.
        Body(address: SocketAddr, err: BodyError) {
            source(err)
            display("failed to read the response body from {address}: {err}")
        }
    }
}

impl CallError {
    /// Returns whether the server may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Connect(..) => Verdict::NotRun,
            CallError::Exchange(_, verdict, _) | CallError::TimedOut(_, verdict) => *verdict,
            CallError::Body(..) => Verdict::MayHaveRun,
        }
    }
}

/// An HTTP client that any number of tasks can share.
///
/// It keeps idle connections per address and reuses them, so that most requests do not wait for a
/// new connection.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleStream>>>>,
}

#[derive(Debug)]
struct IdleStream {
    stream: ByteStream,
    idle_since: Instant,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new() -> HttpClient {
        HttpClient::default()
    }

    /// Sends `request` to `address` and returns once the head of the response has arrived.
    ///
    /// `timeout` covers sending the request and waiting for the head, but not opening a connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Exchange, CallError> {
        let stream = self.idle_or_new_stream(address).await?;
        // Boxed because the future is large and callers embed it in their own.
        let exchange = Box::pin(async_h1::connect(stream.clone(), request));
        match runtime::timeout(timeout, exchange).await {
            Ok(Ok(response)) => Ok(Exchange { address, response, stream, client: self.clone() }),
            Ok(Err(err)) => {
                Err(CallError::Exchange(address, failure_verdict(&stream), err.to_string()))
            }
            Err(_) => Err(CallError::TimedOut(address, failure_verdict(&stream))),
        }
    }

    /// Sends `request` and reads the complete response, with a body of at most `limit_bytes`.
    ///
    /// `timeout` covers the complete call, including opening a connection.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Result<(Response, Vec<u8>), CallError> {
        let exchange =
            async { self.send(address, request, timeout).await?.read(limit_bytes).await };
        match runtime::timeout(timeout, exchange).await {
            Ok(res) => res,
            Err(_) => Err(CallError::TimedOut(address, Verdict::MayHaveRun)),
        }
    }

    async fn idle_or_new_stream(&self, address: SocketAddr) -> Result<ByteStream, CallError> {
        while let Some(stream) = self.take_idle(address) {
            if !stream.is_stale().await {
                stream.reset_written();
                return Ok(stream);
            }
        }
        let to_connect_error = |err| CallError::Connect(address, err);
        let connected = runtime::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        ByteStream::new(stream.map_err(to_connect_error)?).map_err(to_connect_error)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ByteStream> {
        let mut idle = self.idle.lock().unwrap();
        let streams = idle.get_mut(&address)?;
        streams.retain(|it| it.idle_since.elapsed() < MAX_IDLE_AGE);
        streams.pop().map(|it| it.stream)
    }

    fn put_idle(&self, address: SocketAddr, stream: ByteStream) {
        let mut idle = self.idle.lock().unwrap();
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS {
            streams.push(IdleStream { stream, idle_since: Instant::now() });
        }
    }
}

/// A response whose body has not been read yet; dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    address: SocketAddr,
    /// The head of the response and a reader of its body.
    pub response: Response,
    stream: ByteStream,
    client: HttpClient,
}

impl Exchange {
    /// Reads the complete body of at most `limit_bytes`.
    ///
    /// The connection is reused only if the body was complete and the server did not send
    /// `Connection: close`.
    pub async fn read(self, limit_bytes: usize) -> Result<(Response, Vec<u8>), CallError> {
        let Exchange { address, mut response, stream, client } = self;
        let content_length = response.len();
        let bytes = read_body(&mut response, content_length, limit_bytes)
            .await
            .map_err(|err| CallError::Body(address, err))?;
        if !closes_connection(&response) {
            client.put_idle(address, stream);
        }
        Ok((response, bytes))
    }
}

fn closes_connection(response: &Response) -> bool {
    response.header("connection").is_some_and(|it| it.as_str().eq_ignore_ascii_case("close"))
}

fn failure_verdict(stream: &ByteStream) -> Verdict {
    if stream.has_written() {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}
