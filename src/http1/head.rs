//! Heads of requests and responses.

use crate::http1::{headers::Headers, HttpError};

/// Header fields that a head may have at most.
const MAX_FIELDS: usize = 100;

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Whether the sender speaks HTTP/1.0 and closes unless it says otherwise.
    pub is_http10: bool,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Makes a head without header fields.
    pub fn new(method: &str, target: &str) -> RequestHead {
        RequestHead {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Headers::default(),
        }
    }

    /// Reads a head from the start of `bytes`; gives it with its length, or `None` if it goes on.
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

    /// The bytes of the head.
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

    /// The path of the target, without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }
}

impl ResponseHead {
    /// Makes a head without header fields.
    pub fn new(status: u16, reason: &str) -> ResponseHead {
        ResponseHead {
            status,
            reason: reason.to_owned(),
            is_http10: false,
            headers: Headers::default(),
        }
    }

    /// Reads a head from the start of `bytes`; gives it with its length, or `None` if it goes on.
    pub fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let status = response.parse(bytes).map_err(convert_error)?;
        let httparse::Status::Complete(length) = status else { return Ok(None) };
        let Some(code) = response.code else { return Err(HttpError::Malformed("no status")) };
        let mut head = ResponseHead::new(code, response.reason.unwrap_or(""));
        head.is_http10 = response.version == Some(0);
        copy_fields(response.headers, &mut head.headers);
        Ok(Some((head, length)))
    }

    /// The bytes of the head.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.headers.write_to(&mut out);
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Whether the sender will take no further request on the connection.
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
        _ => HttpError::Malformed("a head that can't be parsed"),
    }
}
