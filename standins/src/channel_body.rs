//! A message body that is produced while it is sent.

use std::{
    io,
    pin::Pin,
    task::{ready, Context, Poll},
};

use async_channel::Receiver;
use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use http_types::Body;

/// A message body that reads blocks of bytes from a channel.
///
/// An error in the channel closes the connection, so that a stand-in can cut off a response.
pub(crate) struct ChannelBody {
    blocks: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    current: Vec<u8>,
    position: usize,
}

impl ChannelBody {
    /// Returns a body of `length` bytes, or a chunked body if there is no length.
    pub(crate) fn body(blocks: Receiver<io::Result<Vec<u8>>>, length: Option<usize>) -> Body {
        let reader = ChannelBody { blocks: Box::pin(blocks), current: Vec::new(), position: 0 };
        Body::from_reader(reader, length)
    }
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let n = available.len().min(buf.len());
        buf[..n].copy_from_slice(&available[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}

impl AsyncBufRead for ChannelBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.current.len() {
            match ready!(this.blocks.as_mut().poll_next(cx)) {
                Some(Ok(block)) => {
                    this.current = block;
                    this.position = 0;
                }
                Some(Err(err)) => return Poll::Ready(Err(err)),
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&this.current[this.position..]))
    }

    fn consume(mut self: Pin<&mut Self>, n: usize) {
        self.position += n;
    }
}
