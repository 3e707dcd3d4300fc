//! A response as a caller received it.

use std::{
    io::{ErrorKind, Read},
    net::TcpStream,
};

/// The bytes that a caller received in response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// All bytes until the response was complete or the connection was closed.
    pub bytes: Vec<u8>,
    /// Whether the entry host closed the connection before the response was complete.
    pub is_closed: bool,
}

impl CallerResponse {
    /// Returns the status code; 0 if there is no response.
    pub fn status(&self) -> u16 {
        status_of(&self.bytes)
    }

    /// Returns the response as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// Returns `true` if the bytes are a complete response.
    pub fn is_complete(&self) -> bool {
        is_complete(&self.bytes)
    }
}

/// Reads until the response is complete or the connection is closed.
pub fn read_response(stream: &mut TcpStream) -> CallerResponse {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&bytes) {
        match stream.read(&mut buffer) {
            Ok(0) => return CallerResponse { bytes, is_closed: true },
            Ok(n_read) => bytes.extend_from_slice(&buffer[..n_read]),
            Err(err) if err.kind() == ErrorKind::ConnectionReset => {
                return CallerResponse { bytes, is_closed: true };
            }
            Err(err) => panic!("failed to read a response: {err}"),
        }
    }
    CallerResponse { bytes, is_closed: false }
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let lower = head.to_ascii_lowercase();
    if lower.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = lower.lines().find_map(|it| it.strip_prefix("content-length: "));
    length.and_then(|it| it.parse().ok()) == Some(body.len())
}

pub(super) fn status_of(bytes: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(bytes);
    text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}
