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
        http_server::{read_whole, BodyError},
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
    since: Instant,
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
        limit: Duration,
    ) -> Result<Exchange, CallError> {
        let stream = self.connection(address).await?;
        // On the heap, because callers nest this large future in their own.
        let wait = Box::pin(async_h1::connect(stream.clone(), request));
        match runtime::timeout(limit, wait).await {
            Ok(Ok(response)) => Ok(Exchange { address, response, stream, client: self.clone() }),
            Ok(Err(err)) => Err(CallError::Exchange(address, verdict_of(&stream), err.to_string())),
            Err(_) => Err(CallError::TimedOut(address, verdict_of(&stream))),
        }
    }

    /// Sends `request` and reads the whole answer of at most `limit_bytes` within `limit`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
        limit_bytes: usize,
    ) -> Result<(Response, Vec<u8>), CallError> {
        let whole = async { self.send(address, request, limit).await?.read(limit_bytes).await };
        match runtime::timeout(limit, whole).await {
            Ok(res) => res,
            Err(_) => Err(CallError::TimedOut(address, Verdict::MayHaveRun)),
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<ByteStream, CallError> {
        while let Some(stream) = self.take_idle(address) {
            if !stream.is_stale().await {
                stream.reset_written();
                return Ok(stream);
            }
        }
        let connect = |err| CallError::Connect(address, err);
        let open = runtime::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = open.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        ByteStream::new(stream.map_err(connect)?).map_err(connect)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ByteStream> {
        let mut idle = self.idle.lock().unwrap();
        let streams = idle.get_mut(&address)?;
        streams.retain(|it| it.since.elapsed() < MAX_IDLE_AGE);
        streams.pop().map(|it| it.stream)
    }

    fn put_idle(&self, address: SocketAddr, stream: ByteStream) {
        let mut idle = self.idle.lock().unwrap();
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS {
            streams.push(IdleStream { stream, since: Instant::now() });
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
        let announced = response.len();
        let bytes = read_whole(&mut response, announced, limit_bytes)
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

fn verdict_of(stream: &ByteStream) -> Verdict {
    if stream.is_written() {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}
