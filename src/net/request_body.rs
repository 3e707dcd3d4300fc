//! The body of a request, of which the server discards what the handler has not read.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
};

use futures_lite::{
    future,
    io::{AsyncRead, BufReader},
    AsyncReadExt,
};
use http_types::{Body, Request};

/// The size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// A second reader of the body of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestBody {
    body: Arc<Mutex<Body>>,
}

impl RequestBody {
    /// Returns a second reader of the body of `request`.
    pub(crate) fn share(request: &mut Request) -> RequestBody {
        let body = request.take_body();
        let length = body.len();
        let shared = RequestBody { body: Arc::new(Mutex::new(body)) };
        request.set_body(Body::from_reader(BufReader::new(shared.clone()), length));
        shared
    }

    /// Discards at most `limit_bytes` that have arrived; returns `true` if that was the rest.
    pub(crate) async fn discard_arrived(mut self, limit_bytes: u64) -> bool {
        let discard = async {
            let mut buffer = [0u8; DISCARD_BUFFER_BYTES];
            let mut n_discarded = 0;
            while n_discarded <= limit_bytes {
                match self.read(&mut buffer).await {
                    Ok(0) => return true,
                    Ok(n_read) => n_discarded += n_read as u64,
                    Err(_) => return false,
                }
            }
            false
        };
        future::poll_once(discard).await.unwrap_or(false)
    }
}

impl AsyncRead for RequestBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.body.lock().unwrap()).poll_read(cx, buf)
    }
}
