//! Relays a stream of server-sent events as its data arrives, and detects truncated streams.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use async_io::Timer;
use futures_lite::{
    io::{AsyncRead, BufReader},
    Future,
};
use http_types::{Body, Response};

use crate::net::Exchange;

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";
/// Event that ends a complete stream.
const END_EVENT: &[u8] = b"data: [DONE]";
/// Number of bytes at the end of the stream that are kept to search for the last event.
const TAIL_BYTES: usize = 32;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// All events were relayed, including the last one.
    Complete,
    /// The sender closed the connection before the last event, or the connection failed.
    Truncated,
    /// The deadline passed.
    DeadlineExceeded,
    /// The receiver closed the connection before the end.
    Abandoned,
}

/// Callback that is called once with the end of a stream; its captured values are dropped then.
pub(crate) type OnStreamEnd = Box<dyn FnOnce(StreamEnd) + Send + Sync>;

/// Returns `true` if the body of `response` is a stream of server-sent events.
pub(crate) fn is_stream(response: &Response) -> bool {
    let mime = response.header("Content-Type");
    mime.is_some_and(|it| it.as_str().starts_with(EVENT_STREAM))
}

/// Returns a body that relays the stream of `exchange`; dropping it closes the source connection.
///
/// Reading fails if the stream ends without its last event, so that a truncated stream is never
/// mistaken for a complete one.
pub(crate) fn stream_body(exchange: Exchange, deadline: Instant, on_end: OnStreamEnd) -> Body {
    let reader = RelayReader {
        exchange,
        deadline_timer: Timer::at(deadline),
        tail: Vec::with_capacity(2 * TAIL_BYTES),
        on_end: Some(on_end),
    };
    let mut body = Body::from_reader(BufReader::new(reader), None);
    body.set_mime(EVENT_STREAM);
    body
}

struct RelayReader {
    exchange: Exchange,
    deadline_timer: Timer,
    tail: Vec<u8>,
    on_end: Option<OnStreamEnd>,
}

impl RelayReader {
    fn finish(&mut self, end: StreamEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn update_tail(&mut self, data: &[u8]) {
        let start = data.len().saturating_sub(TAIL_BYTES);
        self.tail.extend_from_slice(&data[start..]);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }

    fn is_complete(&self) -> bool {
        self.tail.windows(END_EVENT.len()).any(|it| it == END_EVENT)
    }
}

impl AsyncRead for RelayReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if Pin::new(&mut self.deadline_timer).poll(cx).is_ready() {
            self.finish(StreamEnd::DeadlineExceeded);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        match Pin::new(&mut self.exchange.response).poll_read(cx, buf) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(0)) if self.is_complete() => {
                self.finish(StreamEnd::Complete);
                Poll::Ready(Ok(0))
            }
            Poll::Ready(Ok(0)) => {
                self.finish(StreamEnd::Truncated);
                Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            Poll::Ready(Ok(n)) => {
                self.update_tail(&buf[..n]);
                Poll::Ready(Ok(n))
            }
            Poll::Ready(Err(err)) => {
                self.finish(StreamEnd::Truncated);
                Poll::Ready(Err(err))
            }
        }
    }
}

impl Drop for RelayReader {
    fn drop(&mut self) {
        self.finish(StreamEnd::Abandoned);
    }
}
