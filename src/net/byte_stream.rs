//! A TCP stream that limits how much is read and records whether anything was written.

use std::{
    io,
    net::Shutdown,
    pin::Pin,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    task::{Context, Poll},
    time::Duration,
};

use async_net::TcpStream;
use futures_lite::{
    io::{AsyncRead, AsyncWrite},
    AsyncReadExt,
};
use rustix::event::{self, PollFd, PollFlags, Timespec};

use crate::runtime;

/// The interval for checking whether the other side has closed the stream.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time that the other side has to read the last response before the stream is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the buffer for incoming bytes that are discarded before the stream is closed.
const LINGER_BUFFER_BYTES: usize = 4096;

/// A cloneable TCP stream with a read limit and with Nagle's algorithm disabled.
///
/// It records whether a byte was written, so that a failed request that was never sent can be
/// retried safely.
#[derive(Clone, Debug)]
pub struct ByteStream {
    inner: TcpStream,
    has_written: Arc<AtomicBool>,
    n_read: Arc<AtomicU64>,
    read_limit: Arc<AtomicU64>,
}

impl ByteStream {
    /// Wraps `inner` and disables Nagle's algorithm on it.
    pub fn new(inner: TcpStream) -> io::Result<ByteStream> {
        inner.set_nodelay(true)?;
        Ok(ByteStream {
            inner,
            has_written: Arc::default(),
            n_read: Arc::default(),
            read_limit: Arc::new(AtomicU64::new(u64::MAX)),
        })
    }

    /// Returns `true` if a byte was passed to the kernel since the last `reset_written`.
    pub fn has_written(&self) -> bool {
        self.has_written.load(Ordering::Relaxed)
    }

    /// Resets `has_written` for a new exchange.
    pub(crate) fn reset_written(&self) {
        self.has_written.store(false, Ordering::Relaxed);
    }

    /// Resets the count of bytes read and allows `limit_bytes` more; reads beyond them fail.
    pub(crate) fn set_read_limit(&self, limit_bytes: u64) {
        self.n_read.store(0, Ordering::Relaxed);
        self.read_limit.store(limit_bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes read since the last `set_read_limit`.
    pub(crate) fn n_read(&self) -> u64 {
        self.n_read.load(Ordering::Relaxed)
    }

    /// Waits for a byte to read, the end of the stream or an error.
    pub(crate) async fn wait_until_readable(&self) {
        let _ = self.inner.peek(&mut [0u8; 1]).await;
    }

    /// Waits until the other side closes its half of the stream or the stream fails, also while bytes
    /// before that are not read yet.
    pub(crate) async fn wait_until_closed(&self) {
        let mut byte = [0u8; 1];
        while !self.is_closed() && matches!(self.inner.peek(&mut byte).await, Ok(1..)) {
            runtime::sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Returns `true` if the other side has closed its half of the stream or the stream has failed.
    fn is_closed(&self) -> bool {
        let mut sockets = [PollFd::new(&self.inner, PollFlags::RDHUP)];
        matches!(event::poll(&mut sockets, Some(&Timespec::default())), Ok(1..))
    }

    /// Closes the write half, then discards incoming bytes until the other side closes the stream or
    /// `LINGER_TIMEOUT` expires.
    ///
    /// Closing a socket with unread bytes resets the connection, and the other side could lose the
    /// last response.
    pub(crate) async fn close_lingering(mut self) {
        if self.inner.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drain = async {
            let mut buf = [0u8; LINGER_BUFFER_BYTES];
            while matches!(self.inner.read(&mut buf).await, Ok(1..)) {}
        };
        let _ = runtime::timeout(LINGER_TIMEOUT, drain).await;
    }

    /// Returns `true` if the other side has closed the idle stream or sent unsolicited bytes.
    pub(crate) async fn is_stale(&self) -> bool {
        let mut byte = [0u8; 1];
        let peek = async { Some(self.inner.peek(&mut byte).await) };
        futures_lite::FutureExt::or(peek, async { None }).await.is_some()
    }
}

impl AsyncRead for ByteStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.read_limit.load(Ordering::Relaxed).saturating_sub(self.n_read());
        if remaining == 0 {
            let message = "the other side sent more bytes than the limit allows";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let max = buf.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let res = Pin::new(&mut self.inner).poll_read(cx, &mut buf[..max]);
        if let Poll::Ready(Ok(n)) = &res {
            self.n_read.fetch_add(*n as u64, Ordering::Relaxed);
        }
        res
    }
}

impl AsyncWrite for ByteStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write(cx, buf);
        if matches!(res, Poll::Ready(Ok(n)) if n > 0) {
            self.has_written.store(true, Ordering::Relaxed);
        }
        res
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
