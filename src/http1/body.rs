//! Length of message bodies, and reading a body to its end.

use crate::http1::{
    chunk_decoder::ChunkDecoder, connection::Connection, headers::Headers, HttpError, RequestHead,
    ResponseHead,
};

/// How a message marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this many bytes.
    Fixed(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl BodyLength {
    /// Returns the length of a request's body, from its header fields.
    pub fn of_request(head: &RequestHead) -> Result<BodyLength, HttpError> {
        Ok(declared_length(&head.headers)?.unwrap_or(BodyLength::Fixed(0)))
    }

    /// Returns the length of the body of a response to a request with `method`.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<BodyLength, HttpError> {
        if method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(BodyLength::Fixed(0));
        }
        Ok(declared_length(&head.headers)?.unwrap_or(BodyLength::UntilClose))
    }
}

/// Reads one message body from a connection and detects its end.
#[derive(Debug)]
pub struct BodyReader {
    remaining: Remaining,
}

/// The part of the body that has not been read yet.
#[derive(Debug)]
enum Remaining {
    Fixed(u64),
    Chunked(ChunkDecoder),
    UntilClose { is_closed: bool },
}

impl BodyReader {
    /// Creates a reader for a body of `length`; the connection must be positioned after the head.
    pub fn new(length: BodyLength) -> BodyReader {
        let remaining = match length {
            BodyLength::Fixed(n_bytes) => Remaining::Fixed(n_bytes),
            BodyLength::Chunked => Remaining::Chunked(ChunkDecoder::default()),
            BodyLength::UntilClose => Remaining::UntilClose { is_closed: false },
        };
        BodyReader { remaining }
    }

    /// Returns `true` if only the close of the connection ends the body.
    pub fn ends_by_close(&self) -> bool {
        matches!(self.remaining, Remaining::UntilClose { .. })
    }

    /// Returns the stated length of what has not been read yet; 0 if none is stated.
    pub fn stated_bytes(&self) -> u64 {
        match &self.remaining {
            Remaining::Fixed(n_bytes) => *n_bytes,
            Remaining::Chunked(_) | Remaining::UntilClose { .. } => 0,
        }
    }

    /// Returns `true` if the complete body has been read.
    pub fn is_done(&self) -> bool {
        match &self.remaining {
            Remaining::Fixed(n_bytes) => *n_bytes == 0,
            Remaining::Chunked(decoder) => decoder.is_done(),
            Remaining::UntilClose { is_closed } => *is_closed,
        }
    }

    /// Waits for more of the body and appends it to `out`; returns `false` once the body is
    /// complete.
    pub async fn read(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        loop {
            if self.is_done() {
                return Ok(false);
            }
            if self.read_buffered(connection, out)? {
                return Ok(true);
            }
            if self.is_done() {
                return Ok(false);
            }
            if connection.fill().await? {
                continue;
            }
            let Remaining::UntilClose { is_closed } = &mut self.remaining else {
                return Err(HttpError::Truncated);
            };
            *is_closed = true;
        }
    }

    /// Reads the rest of the body and drops it; fails if it is longer than `limit_bytes`.
    pub async fn discard(
        &mut self,
        connection: &mut Connection,
        limit_bytes: usize,
    ) -> Result<(), HttpError> {
        let mut n_bytes = 0;
        loop {
            // No memory is kept while the next part is awaited.
            let mut part = Vec::new();
            if !self.read(connection, &mut part).await? {
                return Ok(());
            }
            n_bytes += part.len();
            if n_bytes > limit_bytes {
                return Err(HttpError::BodyTooLong);
            }
        }
    }

    /// Reads the rest of the body; fails if it is longer than `limit_bytes`.
    pub async fn read_all(
        &mut self,
        connection: &mut Connection,
        limit_bytes: usize,
    ) -> Result<Vec<u8>, HttpError> {
        let mut out = Vec::new();
        while self.read(connection, &mut out).await? {
            if out.len() > limit_bytes {
                return Err(HttpError::BodyTooLong);
            }
        }
        Ok(out)
    }

    /// Moves the body bytes that are already buffered to `out`; returns `true` if there were any.
    fn read_buffered(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        let length_before = out.len();
        let buffered = connection.buffered();
        let n_consumed = match &mut self.remaining {
            Remaining::Fixed(remaining) => {
                let n_bytes = buffered.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                out.extend_from_slice(&buffered[..n_bytes]);
                *remaining -= n_bytes as u64;
                n_bytes
            }
            Remaining::Chunked(decoder) => decoder.decode(buffered, out)?,
            Remaining::UntilClose { .. } => {
                out.extend_from_slice(buffered);
                buffered.len()
            }
        };
        connection.consume(n_consumed);
        Ok(out.len() > length_before)
    }
}

/// Returns the length that the header fields declare, if any.
///
/// Two different values of `Content-Length` are rejected, and so is a `Content-Length` together
/// with a transfer coding.
fn declared_length(headers: &Headers) -> Result<Option<BodyLength>, HttpError> {
    let mut lengths = headers.all("content-length");
    let first = lengths.next();
    if lengths.any(|it| Some(it) != first) {
        return Err(HttpError::Malformed("conflicting Content-Length fields"));
    }
    let mut codings = headers.all("transfer-encoding");
    match (codings.next(), first) {
        (None, None) => Ok(None),
        (None, Some(length)) => parse_length(length).map(|it| Some(BodyLength::Fixed(it))),
        (Some(_), Some(_)) => Err(HttpError::Malformed("both length and transfer coding")),
        (Some(coding), None) => {
            let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || codings.next().is_some() {
                return Err(HttpError::Malformed("unsupported transfer coding"));
            }
            Ok(Some(BodyLength::Chunked))
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HttpError> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::Malformed("Content-Length is not a number"));
    }
    let text = std::str::from_utf8(digits).unwrap_or("");
    text.parse().map_err(|_| HttpError::Malformed("Content-Length is too large"))
}
