//! Reads an HTTP request from a blocking connection.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request as received, without validation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// Header fields in the order received, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as long as `Content-Length` says.
    pub body: Vec<u8>,
    /// Number of the server's connection on which it arrived, if the server counts them.
    pub connection: u32,
}

impl RawRequest {
    /// Reads the next request, or returns `None` if the connection has ended.
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

    /// Returns the value of a header field; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }
}
