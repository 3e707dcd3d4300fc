//! A TCP stream that remembers whether a byte was written and bounds what is read.

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

use crate::runtime;

/// Pause between two looks at whether the other side has left.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the other side gets to read the last answer before the stream is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the pieces that are read and dropped before the stream is closed.
const LINGER_BUFFER_BYTES: usize = 4096;

/// A cloneable TCP stream without Nagle's delay.
#[derive(Clone, Debug)]
pub struct ByteStream {
    inner: TcpStream,
    has_written: Arc<AtomicBool>,
    n_read: Arc<AtomicU64>,
    read_limit: Arc<AtomicU64>,
}

impl ByteStream {
    /// Wraps `inner` and turns Nagle's delay off.
    pub fn new(inner: TcpStream) -> io::Result<ByteStream> {
        inner.set_nodelay(true)?;
        Ok(ByteStream {
            inner,
            has_written: Arc::default(),
            n_read: Arc::default(),
            read_limit: Arc::new(AtomicU64::new(u64::MAX)),
        })
    }

    /// Whether a byte was handed to the kernel since the last `reset_written`.
    pub fn has_written(&self) -> bool {
        self.has_written.load(Ordering::Relaxed)
    }

    /// Starts a new exchange on the stream.
    pub(crate) fn reset_written(&self) {
        self.has_written.store(false, Ordering::Relaxed);
    }

    /// Starts a new count of the bytes read and allows `limit_bytes` of them.
    pub(crate) fn set_read_limit(&self, limit_bytes: u64) {
        self.n_read.store(0, Ordering::Relaxed);
        self.read_limit.store(limit_bytes, Ordering::Relaxed);
    }

    /// Bytes read since the last `set_read_limit`.
    pub(crate) fn n_read(&self) -> u64 {
        self.n_read.load(Ordering::Relaxed)
    }

    /// Waits for the first byte or the end of the stream.
    pub(crate) async fn wait_until_readable(&self) {
        let _ = self.inner.peek(&mut [0u8; 1]).await;
    }

    /// Waits until the other side has closed its half of the stream or the stream has failed.
    pub(crate) async fn wait_until_closed(&self) {
        let mut byte = [0u8; 1];
        while matches!(self.inner.peek(&mut byte).await, Ok(1..)) {
            runtime::sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Ends the sent half, then drops what still comes in, so that the last answer is not lost.
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

    /// Whether the other side has closed the idle stream or sent bytes nobody asked for.
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
            let message = "the other side sent more than is allowed";
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
