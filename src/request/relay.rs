//! Passes an answer's pieces on as they come.

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

/// Whether an answer comes as a stream of events.
pub(crate) fn is_stream(response: &Response) -> bool {
    let mime = response.header("Content-Type");
    mime.is_some_and(|it| it.as_str().starts_with(EVENT_STREAM))
}

/// The body of a stream; dropping it closes the connection that it comes from.
///
/// `guards` live until the stream ends or the receiver leaves.
pub(crate) fn stream_body(
    exchange: Exchange,
    deadline: Instant,
    guards: impl Send + Sync + Unpin + 'static,
) -> Body {
    let reader = RelayReader { exchange, expire: Timer::at(deadline), _guards: guards };
    let mut body = Body::from_reader(BufReader::new(reader), None);
    body.set_mime(EVENT_STREAM);
    body
}

struct RelayReader<G> {
    exchange: Exchange,
    expire: Timer,
    _guards: G,
}

impl<G: Unpin> AsyncRead for RelayReader<G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if Pin::new(&mut self.expire).poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.exchange.response).poll_read(cx, buf)
    }
}
