//! What a caller receives for a request.

use std::{net::SocketAddr, time::Duration};

use crocustiller::{net::HttpClient, verdict::Verdict};
use http_types::{Method, Request, Response, Url};

/// A response that a caller received.
#[derive(Debug)]
pub struct CallerResponse {
    /// The HTTP status; 0 if the request failed without a complete response.
    pub status: u16,
    pub verdict: Option<Verdict>,
    /// The response with its headers.
    pub head: Response,
    /// The body, or the error if the request failed without a complete response.
    pub body: String,
}

impl CallerResponse {
    /// Sends a POST request to the entry host at `address`, with a timeout of 60 s.
    pub async fn of_post(
        address: SocketAddr,
        token: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> CallerResponse {
        let url = Url::parse(&format!("http://{address}{path}")).unwrap();
        let mut request = Request::new(Method::Post, url);
        request.set_body(body);
        request.insert_header("Authorization", format!("Bearer {token}"));
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        let timeout = Duration::from_secs(60);
        let fetched = HttpClient::new().fetch(address, request, timeout, 64 << 20).await;
        match fetched {
            Ok((head, body)) => CallerResponse {
                status: head.status().into(),
                verdict: head.header("X-Verdict").map(|it| Verdict::from_header(it.as_str())),
                body: String::from_utf8(body).unwrap(),
                head,
            },
            Err(err) => CallerResponse {
                status: 0,
                verdict: None,
                head: Response::new(500),
                body: err.to_string(),
            },
        }
    }

    /// Returns the generated text, or an empty string if the body has none.
    pub fn generated_text(&self) -> String {
        let json: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        json["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }
}
