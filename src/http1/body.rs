//! Where a body ends, and reading it to there.

use crate::http1::{
    chunk_decoder::ChunkDecoder, connection::Connection, headers::Headers, HttpError, RequestHead,
    ResponseHead,
};

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// This many bytes.
    Fixed(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with its connection.
    UntilClose,
}

impl BodyLength {
    /// The length of a request's body.
    pub fn of_request(head: &RequestHead) -> Result<BodyLength, HttpError> {
        Ok(declared_length(&head.headers)?.unwrap_or(BodyLength::Fixed(0)))
    }

    /// The length of a response's body; `method` is that of the request.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<BodyLength, HttpError> {
        if method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(BodyLength::Fixed(0));
        }
        Ok(declared_length(&head.headers)?.unwrap_or(BodyLength::UntilClose))
    }
}

/// Reads one body from a connection.
#[derive(Debug)]
pub struct BodyReader {
    remaining: Remaining,
}

#[derive(Debug)]
enum Remaining {
    Fixed(u64),
    Chunked(ChunkDecoder),
    UntilClose { is_closed: bool },
}

impl BodyReader {
    /// Starts after the head.
    pub fn new(length: BodyLength) -> BodyReader {
        let remaining = match length {
            BodyLength::Fixed(n_bytes) => Remaining::Fixed(n_bytes),
            BodyLength::Chunked => Remaining::Chunked(ChunkDecoder::default()),
            BodyLength::UntilClose => Remaining::UntilClose { is_closed: false },
        };
        BodyReader { remaining }
    }

    /// Whether the whole body was read.
    pub fn is_done(&self) -> bool {
        match &self.remaining {
            Remaining::Fixed(n_bytes) => *n_bytes == 0,
            Remaining::Chunked(decoder) => decoder.is_done(),
            Remaining::UntilClose { is_closed } => *is_closed,
        }
    }

    /// Waits for more of the body and appends it to `out`; `false` once the body is whole.
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

    /// Reads the rest of the body of at most `limit_bytes`.
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

    /// Moves bytes that have come already; says whether any data did.
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

/// The length that the header fields tell; two different ones are refused.
fn declared_length(headers: &Headers) -> Result<Option<BodyLength>, HttpError> {
    let mut lengths = headers.all("content-length");
    let first = lengths.next();
    if lengths.any(|it| Some(it) != first) {
        return Err(HttpError::Malformed("two lengths"));
    }
    let mut codings = headers.all("transfer-encoding");
    match (codings.next(), first) {
        (None, None) => Ok(None),
        (None, Some(length)) => parse_length(length).map(|it| Some(BodyLength::Fixed(it))),
        (Some(_), Some(_)) => Err(HttpError::Malformed("a length beside a transfer coding")),
        (Some(coding), None) => {
            let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || codings.next().is_some() {
                return Err(HttpError::Malformed("an unknown transfer coding"));
            }
            Ok(Some(BodyLength::Chunked))
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HttpError> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::Malformed("a length that is no number"));
    }
    let text = std::str::from_utf8(digits).unwrap_or("");
    text.parse().map_err(|_| HttpError::Malformed("a length that is too large"))
}
