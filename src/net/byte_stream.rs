//! A TCP stream that remembers whether a byte was written.

use std::{
    io,
    pin::Pin,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    task::{Context, Poll},
};

use async_net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};

/// A cloneable TCP stream without Nagle's delay.
#[derive(Clone, Debug)]
pub struct ByteStream {
    inner: TcpStream,
    is_written: Arc<AtomicBool>,
}

impl ByteStream {
    /// Wraps `inner` and turns Nagle's delay off.
    pub fn new(inner: TcpStream) -> io::Result<ByteStream> {
        inner.set_nodelay(true)?;
        Ok(ByteStream { inner, is_written: Arc::new(AtomicBool::new(false)) })
    }

    /// Whether a byte was handed to the kernel since the last `reset_written`.
    pub fn is_written(&self) -> bool {
        self.is_written.load(Ordering::Relaxed)
    }

    /// Starts a new exchange on the stream.
    pub(crate) fn reset_written(&self) {
        self.is_written.store(false, Ordering::Relaxed);
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
        Pin::new(&mut self.inner).poll_read(cx, buf)
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
            self.is_written.store(true, Ordering::Relaxed);
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
