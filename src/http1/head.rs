//! Heads of requests and responses: the start line and the header fields.

use std::ops::RangeInclusive;

use crate::http1::{headers::Headers, HttpError};

/// Maximum number of header fields in a head.
const MAX_FIELDS: usize = 100;

/// The status codes that HTTP has. A server that sends another one may have done anything.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// The request line and header fields of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, unchanged as sent.
    pub method: String,
    /// Request target, unchanged as sent: usually a path with an optional query.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
}

/// The status line and header fields of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Whether the sender uses HTTP/1.0, and so closes the connection unless it sends `keep-alive`.
    pub is_http10: bool,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Creates a head without header fields.
    pub fn new(method: &str, target: &str) -> RequestHead {
        RequestHead {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Headers::default(),
        }
    }

    /// Parses the head at the start of `bytes` and returns it with its length in bytes; returns
    /// `None` if it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let status = request.parse(bytes).map_err(convert_error)?;
        let httparse::Status::Complete(length) = status else { return Ok(None) };
        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(HttpError::Malformed("no method or target"));
        };
        let mut head = RequestHead::new(method, target);
        copy_fields(request.headers, &mut head.headers);
        Ok(Some((head, length)))
    }

    /// Returns the head as it is sent, with the empty line at its end.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write_to(&mut out);
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }
}

impl ResponseHead {
    /// Creates a head without header fields.
    pub fn new(status: u16, reason: &str) -> ResponseHead {
        ResponseHead {
            status,
            reason: reason.to_owned(),
            is_http10: false,
            headers: Headers::default(),
        }
    }

    /// Parses the head at the start of `bytes` and returns it with its length in bytes; returns
    /// `None` if it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let status = response.parse(bytes).map_err(convert_error)?;
        let httparse::Status::Complete(length) = status else { return Ok(None) };
        let Some(code) = response.code.filter(|it| VALID_STATUSES.contains(it)) else {
            return Err(HttpError::Malformed("no valid status"));
        };
        let mut head = ResponseHead::new(code, response.reason.unwrap_or(""));
        head.is_http10 = response.version == Some(0);
        copy_fields(response.headers, &mut head.headers);
        Ok(Some((head, length)))
    }

    /// Returns the head as it is sent, with the empty line at its end.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.headers.write_to(&mut out);
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Returns `true` if the sender closes the connection after this response.
    pub fn closes_connection(&self) -> bool {
        let keeps_alive = self.headers.has_member("connection", "keep-alive");
        self.headers.has_member("connection", "close") || (self.is_http10 && !keeps_alive)
    }
}

fn copy_fields(fields: &[httparse::Header<'_>], headers: &mut Headers) {
    for field in fields.iter().take_while(|it| !it.name.is_empty()) {
        headers.push(field.name, field.value);
    }
}

fn convert_error(err: httparse::Error) -> HttpError {
    match err {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
        _ => HttpError::Malformed("the head cannot be parsed"),
    }
}
