//! Passes an answer's pieces on as they come, and tells a whole stream from a cut one.

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
/// Event that ends a whole stream.
const END_EVENT: &[u8] = b"data: [DONE]";
/// Bytes of the stream's end that are kept to look for the last event.
const TAIL_BYTES: usize = 32;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// All events were passed on.
    Complete,
    /// The sender broke off.
    Truncated,
    /// The deadline passed.
    DeadlineExceeded,
    /// The receiver left.
    Abandoned,
}

/// Called once with the end of a stream; what it holds is dropped with it.
pub(crate) type OnStreamEnd = Box<dyn FnOnce(StreamEnd) + Send + Sync>;

/// Whether an answer comes as a stream of events.
pub(crate) fn is_stream(response: &Response) -> bool {
    let mime = response.header("Content-Type");
    mime.is_some_and(|it| it.as_str().starts_with(EVENT_STREAM))
}

/// The body of a stream; dropping it closes the connection that it comes from.
///
/// A stream without its last event fails, so that it is never taken for a whole one.
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
