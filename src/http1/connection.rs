//! A TCP connection with a read buffer.

use std::{
    cell::RefCell,
    io::{self, Read},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use async_io::Async;
use futures_lite::{future, AsyncWriteExt};
use socket2::{SockRef, TcpKeepalive};

use crate::{
    http1::{peer_watch::PeerState, AckStatus, HttpError, RequestHead, ResponseHead},
    runtime,
};

/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 << 10;
/// Number of reads after which other tasks get a turn, though more bytes may be ready.
const READS_PER_TURN: u32 = 8;
/// Maximum number of interim responses before a final one.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Number of bytes of the next request at which reading ahead stops while the response to the
/// current one is pending.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Idle time before the first TCP keepalive probe, and interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keepalive probes after which the connection is considered broken.
const KEEPALIVE_PROBES: u32 = 2;

thread_local! {
    /// Memory that reads of all connections share: a connection keeps only what it has read.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A buffered TCP connection that reads and writes HTTP/1.1 messages.
///
/// A peer whose system no longer responds is detected by TCP keepalive, or by its missing
/// acknowledgements if sent bytes wait for them. A peer that reads nothing keeps its connection: how
/// long to wait for it is up to the caller of `write`. Dropping the connection closes it, unless a
/// writer of it is still in use.
#[derive(Debug)]
pub struct Connection {
    stream: Arc<Async<TcpStream>>,
    buffer: Vec<u8>,
    n_consumed: usize,
    is_eof: bool,
    n_reads_in_turn: u32,
    /// Whether a request was taken from the buffer since the last read.
    has_read_request: bool,
    has_failed_write: Arc<AtomicBool>,
    peer: PeerState,
}

/// The write half of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionWriter {
    stream: Arc<Async<TcpStream>>,
    has_failed: Arc<AtomicBool>,
    peer: PeerState,
}

impl ConnectionWriter {
    /// Writes all of `bytes`.
    pub async fn write(&self, bytes: &[u8]) -> Result<(), HttpError> {
        let res = (&*self.stream).write_all(bytes).await;
        if res.is_err() {
            self.has_failed.store(true, Ordering::Relaxed);
            self.peer.check()?;
        }
        Ok(res?)
    }
}

impl Connection {
    /// Wraps an open stream and sets its TCP options.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Connection> {
        stream.get_ref().set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        let socket = SockRef::from(stream.get_ref());
        socket.set_tcp_keepalive(&keepalive)?;
        let stream = Arc::new(stream);
        let peer = PeerState::watch(&stream);
        Ok(Connection {
            stream,
            buffer: Vec::new(),
            n_consumed: 0,
            is_eof: false,
            n_reads_in_turn: 0,
            has_read_request: false,
            has_failed_write: Arc::default(),
            peer,
        })
    }

    /// Opens a connection; fails if that takes longer than `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, HttpError> {
        let connect = Async::<TcpStream>::connect(address);
        let stream =
            runtime::timeout(timeout, connect).await.map_err(|_| HttpError::TimedOut)??;
        Ok(Connection::new(stream)?)
    }

    /// Returns the bytes that were read and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.n_consumed..]
    }

    /// Removes `n_bytes` from the front of the buffered bytes.
    pub fn consume(&mut self, n_bytes: usize) {
        self.n_consumed += n_bytes;
        if self.n_consumed == self.buffer.len() {
            // The connection may stay idle, so that it keeps no memory.
            self.buffer = Vec::new();
            self.n_consumed = 0;
        }
    }

    /// Removes all buffered bytes.
    pub fn drop_buffered(&mut self) {
        self.consume(self.buffered().len());
    }

    /// Waits until more bytes are buffered; returns `false` if the peer has closed its write half.
    ///
    /// Fails if the peer is gone or has reset the connection, also if a write has already reported
    /// the reset.
    pub async fn fill(&mut self) -> Result<bool, HttpError> {
        if self.is_eof {
            return Ok(false);
        }
        if self.n_consumed > 0 {
            self.buffer.drain(..self.n_consumed);
            self.n_consumed = 0;
        }
        self.yield_between_turns().await;
        self.has_read_request = false;
        let stream = self.stream.clone();
        let n_read = stream.read_with(|mut it| read_into(&mut it, &mut self.buffer)).await?;
        if n_read == 0 {
            self.peer.check()?;
        }
        // The system reports a reset once; after that, a read returns no bytes, as at a close.
        if n_read == 0 && self.has_failed_write.load(Ordering::Relaxed) {
            return Err(io::Error::from(io::ErrorKind::ConnectionReset).into());
        }
        self.is_eof = n_read == 0;
        Ok(n_read > 0)
    }

    /// Lets other tasks run now and then. A peer that sends fast always has bytes ready, so that a
    /// read never waits.
    async fn yield_between_turns(&mut self) {
        self.n_reads_in_turn += 1;
        if self.n_reads_in_turn >= READS_PER_TURN {
            self.n_reads_in_turn = 0;
            future::yield_now().await;
        }
    }

    /// Waits until the peer closes the connection or the connection fails.
    ///
    /// Buffers what the peer sends meanwhile, and calls `may_keep` with the length of each part. Once
    /// that returns `false`, or `MAX_READ_AHEAD_BYTES` are buffered, it stops reading, no longer notices
    /// a close, and never returns.
    pub async fn wait_until_closed(&mut self, may_keep: impl Fn(usize) -> bool) {
        let mut n_known = 0;
        while self.buffered().len() < MAX_READ_AHEAD_BYTES {
            if !may_keep(self.buffered().len() - n_known) {
                break;
            }
            n_known = self.buffered().len();
            match self.fill().await {
                Ok(true) => continue,
                Ok(false) => return,
                Err(err) => {
                    log::debug!("http: failed to read from a connection error=\"{err}\"");
                    return;
                }
            }
        }
        std::future::pending().await
    }

    /// Waits until bytes have arrived, which stay unread; returns `false` if the peer has closed its
    /// write half or the connection fails instead.
    pub async fn wait_for_input(&self) -> bool {
        if !self.buffered().is_empty() {
            return true;
        }
        let peek = self.stream.read_with(|it| it.peek(&mut [0])).await;
        matches!(peek, Ok(1..))
    }

    /// Returns `true` if the peer has not acknowledged everything that was sent.
    pub fn awaits_ack(&self) -> bool {
        let status = AckStatus::read(self.stream.get_ref());
        status.is_ok_and(|it| it.n_unacked > 0 || it.n_probes > 0)
    }

    /// Returns `true` if an idle connection cannot be reused, because it was closed, failed or
    /// received bytes outside of an exchange.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        let res = self.stream.get_ref().peek(&mut byte);
        let has_no_input = matches!(&res, Err(err) if err.kind() == io::ErrorKind::WouldBlock);
        self.is_eof || !self.buffered().is_empty() || !has_no_input
    }

    /// Returns `true` if bytes have arrived that were not consumed.
    pub fn has_input(&self) -> bool {
        let mut byte = [0; 1];
        let is_arrived = matches!(self.stream.get_ref().peek(&mut byte), Ok(1..));
        is_arrived || !self.buffered().is_empty()
    }

    /// Returns the write half, for writing while the connection is being read.
    pub fn writer(&self) -> ConnectionWriter {
        ConnectionWriter {
            stream: self.stream.clone(),
            has_failed: self.has_failed_write.clone(),
            peer: self.peer.clone(),
        }
    }

    /// Writes all of `bytes`.
    pub async fn write(&self, bytes: &[u8]) -> Result<(), HttpError> {
        self.writer().write(bytes).await
    }

    /// Reads the head of a request; fails if it is longer than `limit_bytes`.
    pub async fn read_request_head(
        &mut self,
        limit_bytes: usize,
    ) -> Result<RequestHead, HttpError> {
        self.read_request_head_while(limit_bytes, |_| true).await
    }

    /// Reads the head of a request as `read_request_head` does. While it is incomplete, calls `may_keep` with
    /// the length of each part that is buffered, and fails once that returns `false`.
    pub async fn read_request_head_while(
        &mut self,
        limit_bytes: usize,
        may_keep: impl Fn(usize) -> bool,
    ) -> Result<RequestHead, HttpError> {
        if self.has_read_request {
            // The peer sends requests ahead, so that reading the next one may never wait.
            future::yield_now().await;
        }
        let mut n_known = 0;
        let mut n_parsed = 0;
        loop {
            if may_complete_head(self.buffered(), n_parsed) {
                n_parsed = self.buffered().len();
                if let Some((head, length)) = RequestHead::parse(self.buffered())? {
                    if length > limit_bytes {
                        return Err(HttpError::HeadTooLong);
                    }
                    self.consume(length);
                    self.has_read_request = true;
                    return Ok(head);
                }
            }
            if !may_keep(self.buffered().len() - n_known) {
                return Err(HttpError::BuffersFull);
            }
            n_known = self.buffered().len();
            self.fill_head(limit_bytes).await?;
        }
    }

    /// Reads the head of the final response and skips interim (1xx) responses.
    ///
    /// Fails if the head is still incomplete after `limit_bytes`, and after too many interim
    /// responses.
    pub async fn read_response_head(
        &mut self,
        limit_bytes: usize,
    ) -> Result<ResponseHead, HttpError> {
        let mut n_interim = 0;
        loop {
            if let Some((head, length)) = ResponseHead::parse(self.buffered())? {
                self.consume(length);
                if !(100..200).contains(&head.status) {
                    return Ok(head);
                }
                n_interim += 1;
                if n_interim > MAX_INTERIM_RESPONSES {
                    return Err(HttpError::Malformed("too many interim responses"));
                }
                continue;
            }
            self.fill_head(limit_bytes).await?;
        }
    }

    /// Shuts down the write half, so that the peer reads everything written and then end-of-file.
    pub fn shutdown_write(&self) {
        if let Err(err) = self.stream.get_ref().shutdown(Shutdown::Write) {
            log::debug!("http: failed to shut down the write half of a connection error=\"{err}\"");
        }
    }

    /// Waits for more bytes of a head that is not complete yet.
    async fn fill_head(&mut self, limit_bytes: usize) -> Result<(), HttpError> {
        if self.buffered().len() > limit_bytes {
            return Err(HttpError::HeadTooLong);
        }
        if self.fill().await? {
            return Ok(());
        }
        match self.buffered().is_empty() {
            true => Err(HttpError::Closed),
            false => Err(HttpError::Truncated),
        }
    }
}

/// Returns `true` if a head of which `n_parsed` bytes are known not to complete it may be complete, or has
/// grown so much that its errors should be found.
///
/// A head that arrives byte by byte would otherwise be parsed from its start for each of them.
fn may_complete_head(buffered: &[u8], n_parsed: usize) -> bool {
    let since = n_parsed.saturating_sub(2);
    let has_end = buffered[since..].windows(2).any(|it| it == b"\n\n" || it == b"\n\r");
    has_end || buffered.len() >= 2 * n_parsed
}

/// Appends the bytes that can be read now; the buffer is unchanged if there are none.
fn read_into(stream: &mut &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    READ_BUFFER.with_borrow_mut(|it| {
        let n_read = stream.read(it)?;
        buffer.reserve_exact(n_read);
        buffer.extend_from_slice(&it[..n_read]);
        Ok(n_read)
    })
}
