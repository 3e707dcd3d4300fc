//! Calls of a model engine's administration routes.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, Url};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::VersionId,
    net::{CallError, HttpClient},
};

/// Longest answer of an administration route.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Time limit for reading the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for loading weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Order to load a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadOrder {
    /// Name of the version.
    pub version: VersionId,
    /// Where the engine gets the bytes.
    pub url: String,
    /// Digest that the engine's bytes must have.
    pub content_digest: Digest,
    /// Fencing number; an engine that checks refuses an order with a smaller one than its last.
    pub fencing: u64,
}

/// What an engine says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Version loaded; none before the first order.
    pub version: Option<VersionId>,
    /// Digest that the engine computed over the bytes that it loaded.
    pub content_digest: Option<Digest>,
    /// Greatest fencing number of an order that it took.
    #[serde(default)]
    pub fencing: u64,
}

quick_error! {
    /// Why an order or a question failed.
    #[derive(Debug)]
    pub enum EngineError {
        /// The engine can't be reached or broke the exchange off.
        Call(err: CallError) {
            source(err)
            from()
            display("the engine does not answer: {err}")
        }
        /// The engine knows a greater fencing number.
        Fenced(fencing: u64) {
            display("the engine refuses the order because its fencing number {fencing} is old; the documents are read again")
        }
        /// The engine answered with an error.
        Refused(status: u16) {
            display("the engine refused the call with status {status}")
        }
        /// The engine has nothing loaded after an order.
        NothingLoaded {
            display("the engine took the order but has no weights loaded")
        }
        /// The answer is not the JSON that was asked for.
        Malformed(err: serde_json::Error) {
            source(err)
            from()
            display("the engine's answer can't be read: {err}")
        }
    }
}

/// A client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    address: SocketAddr,
    http: HttpClient,
}

impl EngineClient {
    /// Makes a client of the engine at `address`.
    pub fn new(address: SocketAddr, http: HttpClient) -> EngineClient {
        EngineClient { address, http }
    }

    /// Asks the engine what it has loaded.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let request = Request::new(Method::Get, self.url("/admin/state"));
        self.call(request, STATE_TIMEOUT, 0).await
    }

    /// Orders the engine to load weights and waits until it has.
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
