//! A TCP stream that counts the bytes it sends and receives per link class.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use async_net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};

use crate::peer::link_counters::{LinkClass, LinkCounters};

/// A TCP stream that adds the bytes it reads and writes to `counters`, under `class`.
#[derive(Debug)]
pub(crate) struct CountedStream {
    inner: TcpStream,
    class: LinkClass,
    counters: Arc<LinkCounters>,
}

impl CountedStream {
    pub(crate) fn new(
        inner: TcpStream,
        class: LinkClass,
        counters: Arc<LinkCounters>,
    ) -> CountedStream {
        CountedStream { inner, class, counters }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = res {
            self.counters.add_received(self.class, n);
        }
        res
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = res {
            self.counters.add_sent(self.class, n);
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
