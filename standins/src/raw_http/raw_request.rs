//! Reads a request from a blocking connection.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Waits for the next request; `None` when the connection has ended.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<RawRequest>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split_whitespace();
        let mut request = RawRequest {
            method: words.next().unwrap_or("").to_owned(),
            target: words.next().unwrap_or("").to_owned(),
            ..RawRequest::default()
        };
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            request.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        request.body.resize(length, 0);
        reader.read_exact(&mut request.body)?;
        Ok(Some(request))
    }

    /// The value of a header field, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }
}
