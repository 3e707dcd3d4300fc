//! JSON over HTTP to the processes under test.

use std::{io, net::SocketAddr, time::Duration};

use crocustiller::net::HttpClient;
use http_types::{Method, Request};
use serde_json::Value;

/// Time limit of one call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of a call that makes weights or settles a patch.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest answer.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Token of the operators, whose digest stands in every process's settings.
pub(crate) const OPERATOR_TOKEN: &str = "rig-operator";

/// Calls operators' and stand-ins' routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ApiClient {
    http: HttpClient,
}

impl ApiClient {
    /// The JSON of an operator route or of a stand-in.
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

    /// Puts a new object at the platform.
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

    /// Patches the charter built on `number`.
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
            let message = format!("{path} at {address}: status {} {text}", response.status());
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
