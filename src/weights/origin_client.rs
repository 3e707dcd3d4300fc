//! A client of the origin of weights.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use http_types::{Method, Request, Response, Url};
use quick_error::quick_error;

use crate::{
    net::HttpClient,
    weights::{
        manifest::MAX_MANIFEST_BYTES, origin_backoff::OriginBackoff, ChunkBytes, Manifest,
        ManifestError,
    },
};

/// Timeout of one call; long because all hosts share the origin's send rate.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the origin refuses a request without a valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// The reason why a request to the origin failed.
    #[derive(Debug)]
    pub enum OriginError {
        /// No request was sent because of an earlier refusal or failure.
        Paused {
            display("no request sent to the origin, it recently refused one or failed; retry later")
        }
        /// The origin refused the request and set a pause.
        Refused(retry_after: Duration) {
            display("the origin refused the request; retry after {} s", retry_after.as_secs())
        }
        /// The origin could not be reached or its response was incomplete.
        Unavailable(reason: String) {
            display("the origin is unavailable: {reason}; check its addresses and its process")
        }
        /// The origin responded with an unexpected status.
        Status(path: String, status: u16) {
            display("the origin responded to {path} with status {status}; check the name of the version")
        }
        /// The manifest is invalid.
        Manifest(err: ManifestError) {
            source(err)
            from()
            display("{err}")
        }
    }
}

/// A client of the origin that sends no requests while the origin is refusing or failing.
///
/// After a refusal it waits for the delay that the origin sent, up to a limit; after a failure it
/// backs off exponentially. Hosts that all fetch at once thus do not keep the origin overloaded.
#[derive(Debug)]
pub struct OriginClient {
    addresses: Vec<SocketAddr>,
    http: HttpClient,
    backoff: Mutex<OriginBackoff>,
}

impl OriginClient {
    /// Creates a client that tries `addresses` in order until one responds.
    pub fn new(addresses: Vec<SocketAddr>, http: HttpClient) -> OriginClient {
        OriginClient { addresses, http, backoff: Mutex::default() }
    }

    /// Returns `true` if a request may be sent now.
    pub fn allows_request(&self) -> bool {
        self.backoff.lock().unwrap().allows_request(Instant::now())
    }

    /// Returns the JSON text of a version's manifest.
    pub async fn manifest(&self, version: &str) -> Result<Vec<u8>, OriginError> {
        let path = format!("/weights/{version}/manifest");
        let (response, json) = self.get(&path, None, MAX_MANIFEST_BYTES).await?;
        self.check_status(&path, &response, 200)?;
        Ok(json)
    }

    /// Returns the bytes of one chunk, not yet verified.
    pub async fn chunk(&self, manifest: &Manifest, idx: u32) -> Result<ChunkBytes, OriginError> {
        let path = format!("/weights/{}/content", manifest.version);
        let bytes = manifest.byte_range(idx);
        let n_bytes = (bytes.end - bytes.start) as usize;
        let range = format!("bytes={}-{}", bytes.start, bytes.end - 1);
        let (response, bytes) = self.get(&path, Some(range), n_bytes).await?;
        self.check_status(&path, &response, 206)?;
        Ok(ChunkBytes::new(bytes))
    }

    /// Records that the origin sent a chunk that does not match its digest; requests then back off.
    pub(crate) fn report_corruption(&self) {
        self.backoff.lock().unwrap().record_failure(Instant::now(), fastrand::f64());
    }

    async fn get(
        &self,
        path: &str,
        range: Option<String>,
        limit_bytes: usize,
    ) -> Result<(Response, Vec<u8>), OriginError> {
        if !self.allows_request() {
            return Err(OriginError::Paused);
        }
        let mut reason = "no address is configured".to_owned();
        for address in &self.addresses {
            let mut request = Request::new(Method::Get, url(*address, path));
            if let Some(range) = &range {
                request.insert_header("Range", range.as_str());
            }
            // The body of an error response may be longer than the requested bytes.
            let limit_bytes = limit_bytes.max(4096);
            match self.http.fetch(*address, request, CALL_TIMEOUT, limit_bytes).await {
                Ok(response) => return Ok(response),
                Err(err) => reason = err.to_string(),
            }
        }
        self.backoff.lock().unwrap().record_failure(Instant::now(), fastrand::f64());
        Err(OriginError::Unavailable(reason))
    }

    fn check_status(
        &self,
        path: &str,
        response: &Response,
        expected: u16,
    ) -> Result<(), OriginError> {
        let status = u16::from(response.status());
        let mut backoff = self.backoff.lock().unwrap();
        if status == expected {
            backoff.record_success();
            return Ok(());
        }
        let now = Instant::now();
        if status == 429 || status == 503 {
            let retry_after = retry_after(response);
            backoff.record_refusal(retry_after, now, fastrand::f64());
            return Err(OriginError::Refused(retry_after));
        }
        backoff.record_failure(now, fastrand::f64());
        Err(OriginError::Status(path.to_owned(), status))
    }
}

fn retry_after(response: &Response) -> Duration {
    let seconds = response.header("Retry-After").and_then(|it| it.as_str().parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}

fn url(address: SocketAddr, path: &str) -> Url {
    let mut url = Url::parse(&format!("http://{address}/")).expect("an address makes a URL");
    url.set_path(path);
    url
}
