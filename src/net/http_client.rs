//! An HTTP/1.1 client on async-h1 that reuses only connections whose exchange was whole.

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

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Age at which an idle connection is closed, well under the time at which servers close it.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a call failed; `verdict` says whether it may have run.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection could be opened.
        Connect(address: SocketAddr, err: io::Error) {
            source(err)
            display("no connection to {address}: {err}")
        }
        /// The exchange failed after the connection was open.
        Exchange(address: SocketAddr, verdict: Verdict, reason: String) {
            display("the exchange with {address} failed ({verdict}): {reason}")
        }
        /// The time limit passed.
        TimedOut(address: SocketAddr, verdict: Verdict) {
            display("no answer from {address} in time ({verdict})")
        }
        /// The answer's body was cut or too long.
        Body(address: SocketAddr, err: BodyError) {
            source(err)
            display("the answer from {address} is not whole: {err}")
        }
    }
}

impl CallError {
    /// Whether the request may have run at the other side.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Connect(..) => Verdict::NotRun,
            CallError::Exchange(_, verdict, _) | CallError::TimedOut(_, verdict) => *verdict,
            CallError::Body(..) => Verdict::MayHaveRun,
        }
    }
}

/// A client that any number of tasks share.
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
    /// Makes a client without connections.
    pub fn new() -> HttpClient {
        HttpClient::default()
    }

    /// Sends `request` to `address` and gives the answer's head; `limit` bounds the wait for it.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Exchange, CallError> {
        let stream = self.idle_or_new_stream(address).await?;
        // On the heap, because callers nest this large future in their own.
        let exchange = Box::pin(async_h1::connect(stream.clone(), request));
        match runtime::timeout(timeout, exchange).await {
            Ok(Ok(response)) => Ok(Exchange { address, response, stream, client: self.clone() }),
            Ok(Err(err)) => {
                Err(CallError::Exchange(address, failure_verdict(&stream), err.to_string()))
            }
            Err(_) => Err(CallError::TimedOut(address, failure_verdict(&stream))),
        }
    }

    /// Sends `request` and reads the whole answer of at most `limit_bytes` within `limit`.
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

/// An answer whose body is still on the connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    address: SocketAddr,
    /// The head of the answer and the body to be read.
    pub response: Response,
    stream: ByteStream,
    client: HttpClient,
}

impl Exchange {
    /// Reads the whole body of at most `limit_bytes`; the connection is reused only when it was whole.
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
