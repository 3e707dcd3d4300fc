//! An HTTP client for the JSON routes of the processes under test.

use std::{io, net::SocketAddr, time::Duration};

use crocustiller::net::HttpClient;
use http_types::{Method, Request};
use serde_json::Value;

/// The timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of a request that generates weights or waits for a charter patch to be accepted.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The bearer token of the operators; every process has its digest in its settings.
pub(crate) const OPERATOR_TOKEN: &str = "rig-operator";

/// Sends requests to operator routes and to stand-ins.
#[derive(Clone, Debug, Default)]
pub(crate) struct ApiClient {
    http: HttpClient,
}

impl ApiClient {
    /// Reads JSON from an operator route or a stand-in.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> io::Result<Value> {
        self.call(request(Method::Get, address, path), address, TIMEOUT).await
    }

    /// Sends JSON to a stand-in.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> io::Result<Value> {
        let mut request = request(Method::Post, address, path);
        request.set_body(body.to_string());
        self.call(request, address, LONG_TIMEOUT).await
    }

    /// Creates an object in the platform's store; fails if it exists.
    pub(crate) async fn create_object(
        &self,
        address: SocketAddr,
        name: &str,
        value: &Value,
    ) -> io::Result<Value> {
        let mut request = request(Method::Put, address, &format!("/objects/{name}"));
        request.insert_header("If-None-Match", "*");
        request.set_body(value.to_string());
        self.call(request, address, TIMEOUT).await
    }

    /// Patches the charter if its number is still `number`.
    pub(crate) async fn patch_charter(
        &self,
        address: SocketAddr,
        number: u64,
        key: &str,
        patch: &Value,
    ) -> io::Result<Value> {
        let mut request = request(Method::Patch, address, "/v1/charter");
        request.insert_header("If-Match", number.to_string());
        request.insert_header("Idempotency-Key", key);
        request.set_body(patch.to_string());
        self.call(request, address, LONG_TIMEOUT).await
    }

    async fn call(
        &self,
        request: Request,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Value> {
        let path = request.url().path().to_owned();
        let result = self.http.fetch(address, request, timeout, MAX_RESPONSE_BYTES).await;
        let (response, body) = result.map_err(io::Error::other)?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&body);
            let message = format!(
                "request to {path} at {address} failed: status {} {text}",
                response.status()
            );
            return Err(io::Error::other(message));
        }
        Ok(serde_json::from_slice(&body).unwrap_or(Value::Null))
    }
}

fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    let mut request = Request::new(method, format!("http://{address}{path}").as_str());
    request.insert_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"));
    request.insert_header("Content-Type", "application/json");
    request
}
