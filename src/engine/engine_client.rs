//! An HTTP client for the administration routes of a model engine.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, Url};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::VersionId,
    net::{CallError, HttpClient},
};

/// The maximum length of a response of an administration route.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// The timeout for reading the state of the engine.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for loading weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// An order to an engine to load one version of the weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadOrder {
    /// Name of the version.
    pub version: VersionId,
    /// URL from which the engine reads the weights.
    pub url: String,
    /// Expected digest of the loaded bytes.
    pub content_digest: Digest,
    /// Fencing number; an engine that checks it refuses an order with a smaller number than its
    /// last one.
    pub fencing: u64,
}

/// The state that an engine reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Loaded version; `None` before the first order.
    pub version: Option<VersionId>,
    /// Digest that the engine computed over the loaded bytes.
    pub content_digest: Option<Digest>,
    /// Greatest fencing number of an order that the engine accepted.
    #[serde(default)]
    pub fencing: u64,
}

quick_error! {
    /// An error from a call to an engine.
    #[derive(Debug)]
    pub enum EngineError {
        /// The engine can't be reached, or the connection failed during the call.
        Call(err: CallError) {
            source(err)
            from()
            display("failed to call the engine: {err}; check that it runs and listens on its configured address")
        }
        /// The engine refused an order with this fencing number because it accepted a greater one.
        Fenced(fencing: u64) {
            display("the engine refused the order because its fencing number {fencing} is outdated; the slot reads the documents again and retries")
        }
        /// The engine responded with an error status.
        Refused(status: u16) {
            display("the engine refused the call with status {status}; see the log of the engine")
        }
        /// The engine accepted an order but reports no loaded weights.
        NothingLoaded {
            display("the engine accepted the order but reports no loaded weights; see the log of the engine")
        }
        /// The response, or the order, is not valid JSON for its type.
        Malformed(err: serde_json::Error) {
            source(err)
            from()
            display("invalid JSON in a call to the engine: {err}; check that the engine supports the administration routes")
        }
    }
}

/// An HTTP client for one engine, which reads its state and orders it to load weights.
#[derive(Clone, Debug)]
pub struct EngineClient {
    address: SocketAddr,
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client for the engine at `address`; no connection is opened yet.
    pub fn new(address: SocketAddr, http: HttpClient) -> EngineClient {
        EngineClient { address, http }
    }

    /// Reads the state of the engine, including the loaded version.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let request = Request::new(Method::Get, self.url("/admin/state"));
        self.call(request, STATE_TIMEOUT, 0).await
    }

    /// Orders the engine to load weights and waits until they are loaded.
    pub async fn load(&self, order: &LoadOrder) -> Result<EngineState, EngineError> {
        let mut request = Request::new(Method::Post, self.url("/admin/load"));
        request.set_body(serde_json::to_vec(order)?);
        request.insert_header("Content-Type", "application/json");
        self.call(request, LOAD_TIMEOUT, order.fencing).await
    }

    async fn call(
        &self,
        request: Request,
        timeout: Duration,
        fencing: u64,
    ) -> Result<EngineState, EngineError> {
        let res = self.http.fetch(self.address, request, timeout, MAX_RESPONSE_BYTES).await;
        let (response, body) = res?;
        match u16::from(response.status()) {
            200 => Ok(serde_json::from_slice(&body)?),
            409 => Err(EngineError::Fenced(fencing)),
            status => Err(EngineError::Refused(status)),
        }
    }

    fn url(&self, path: &str) -> Url {
        let text = format!("http://{}{path}", self.address);
        Url::parse(&text).expect("an address and a path make a URL")
    }
}
