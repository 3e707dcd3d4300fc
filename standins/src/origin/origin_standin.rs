//! Serves manifests and ranges of weights, with injected faults.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    time::Instant,
};

use async_channel::Sender;
use crocustiller::{
    digest::Digest,
    net::{HttpServer, ServerLimits},
    runtime,
    weights::Manifest,
};
use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::{
    behaviour::Behaviour, channel_body::ChannelBody, http, origin::new_version::NewVersion,
    token_bucket::TokenBucket,
};

/// The size of the blocks that the rate limit lets through one at a time.
const SEND_BLOCK_BYTES: usize = 16 << 10;

/// The timing and the injected faults of the origin.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginBehaviour {
    /// Bytes per second over all responses; 0 for no limit.
    pub rate_bytes_per_s: u64,
    /// Closes every connection without a response.
    pub down: bool,
    /// The percentage of the ranges in which one byte is corrupted.
    pub corrupt_percent: u32,
    /// Responds with status 429 and `Retry-After`.
    pub status_429: bool,
    /// Sends half of each range, then keeps the connection open without sending.
    pub stall: bool,
    /// The text that is served in place of every manifest.
    pub manifest_text: Option<String>,
    /// The number of ranges in progress from which on requests get status 429; 0 for no limit.
    pub max_in_progress: u32,
}

/// Counts of the requests for one version and of the bytes sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Bytes of content sent so far.
    pub content_bytes: u64,
    /// The number of requests for content.
    pub requests: u64,
    /// The number of requests for the manifest.
    pub manifest_requests: u64,
    /// The size of the weights.
    pub size_bytes: u64,
}

/// Counts of the requests that the origin served or refused.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginCounts {
    /// Counts by the name of the version.
    pub versions: BTreeMap<String, VersionCounts>,
    /// The number of responses with status 429.
    pub refused_by_rate: u64,
    /// The number of ranges that are being sent.
    pub in_progress: u32,
}

/// A running stand-in for the origin, which serves the registered versions from memory.
#[derive(Debug)]
pub struct OriginStandin {
    inner: Arc<Inner>,
    server: HttpServer,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour<OriginBehaviour>,
    versions: Mutex<BTreeMap<String, StoredVersion>>,
    counts: Mutex<OriginCounts>,
    rate: TokenBucket,
}

#[derive(Clone, Debug)]
struct StoredVersion {
    manifest: Arc<Manifest>,
    bytes: Arc<Vec<u8>>,
}

/// The response to the registration of a version.
#[derive(Serialize)]
struct RegisteredVersion {
    version: String,
    size_bytes: u64,
    content_digest: Digest,
    manifest_digest: Digest,
}

impl OriginStandin {
    /// Starts to listen on `address`, without versions.
    pub async fn start(address: SocketAddr) -> io::Result<OriginStandin> {
        let inner = Arc::new(Inner {
            behaviour: Behaviour::default(),
            versions: Mutex::default(),
            counts: Mutex::default(),
            rate: TokenBucket::new(),
        });
        let state = inner.clone();
        let handler = Arc::new(move |request| {
            let inner = state.clone();
            Box::pin(async move { inner.handle_request(request).await }) as _
        });
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await?;
        Ok(OriginStandin { inner, server })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the timing and the injected faults.
    pub fn set_behaviour(&self, behaviour: OriginBehaviour) {
        self.inner.behaviour.set(behaviour);
    }

    /// Registers a version and returns its manifest.
    ///
    /// The manifest is returned as stored, also while requests get `manifest_text` instead.
    pub fn add_version(&self, new_version: &NewVersion) -> io::Result<Arc<Manifest>> {
        self.inner.add_version(new_version)
    }

    /// Returns the content of a version.
    pub fn content(&self, version: &str) -> Option<Arc<Vec<u8>>> {
        self.inner.versions.lock().unwrap().get(version).map(|it| it.bytes.clone())
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> OriginCounts {
        self.inner.counts.lock().unwrap().clone()
    }

    /// Stops listening and cuts off the responses in progress.
    pub async fn close(self) {
        self.inner.behaviour.update(|it| it.down = true);
        self.server.close().await;
    }
}

impl Inner {
    async fn handle_request(self: Arc<Self>, mut request: Request) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/faults") => {
                let body = http::read_body(&mut request).await?;
                Ok(self.behaviour.merge(&body).map_or_else(
                    |err| http::error_response(422, &err.to_string()),
                    |()| http::empty_response(204),
                ))
            }
            (Method::Get, "/counts") => {
                Ok(http::json_response(200, &self.counts.lock().unwrap().clone()))
            }
            (Method::Post, "/versions") => {
                let body = http::read_body(&mut request).await?;
                let new_version: NewVersion = serde_json::from_slice(&body)?;
                let manifest = self.add_version(&new_version)?;
                Ok(http::json_response(
                    200,
                    &RegisteredVersion {
                        version: new_version.version,
                        size_bytes: manifest.size_bytes,
                        content_digest: manifest.content_digest,
                        manifest_digest: Digest::of(&manifest.to_json()),
                    },
                ))
            }
            (Method::Get, _) => self.serve_weights(&request, &path),
            _ => Ok(http::error_response(405, "method not supported; use GET")),
        }
    }

    fn add_version(&self, new_version: &NewVersion) -> io::Result<Arc<Manifest>> {
        let base = new_version.similar_to.as_ref().map(|it| self.stored_version(it));
        let base = base.map(|it| it.ok_or(io::ErrorKind::NotFound)).transpose()?;
        let bytes = new_version.build_content(base.as_ref().map(|it| it.bytes.as_slice()))?;
        let previous =
            self.stored_version(&new_version.version).filter(|_| new_version.keep_manifest);
        let manifest = match previous {
            Some(previous) => previous.manifest,
            None => Arc::new(Manifest::build(&new_version.version, &bytes)),
        };
        let size_bytes = manifest.size_bytes;
        let stored = StoredVersion { manifest: manifest.clone(), bytes: Arc::new(bytes) };
        self.versions.lock().unwrap().insert(new_version.version.clone(), stored);
        self.update_counts(&new_version.version, |it| it.size_bytes = size_bytes);
        Ok(manifest)
    }

    fn stored_version(&self, version: &str) -> Option<StoredVersion> {
        self.versions.lock().unwrap().get(version).cloned()
    }

    fn update_counts(&self, version: &str, change: impl FnOnce(&mut VersionCounts)) {
        change(self.counts.lock().unwrap().versions.entry(version.to_owned()).or_default());
    }

    fn serve_weights(
        self: Arc<Self>,
        request: &Request,
        path: &str,
    ) -> http_types::Result<Response> {
        let behaviour = self.behaviour.get();
        if behaviour.down {
            return http::abort_connection();
        }
        let mut parts = path.trim_start_matches("/weights/").rsplitn(2, '/');
        let (kind, version) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let Some(stored) = self.stored_version(version) else {
            return Ok(http::error_response(
                404,
                "the version is not registered; register it with POST /versions",
            ));
        };
        if self.refuse_over_limit(&behaviour) {
            let mut response =
                http::error_response(429, "too many requests; retry after the time in Retry-After");
            response.insert_header("Retry-After", "1");
            return Ok(response);
        }
        match kind {
            "manifest" => {
                self.update_counts(version, |it| it.manifest_requests += 1);
                let mut response = http::json_response(200, &*stored.manifest);
                if let Some(text) = behaviour.manifest_text {
                    response.set_body(text);
                }
                Ok(response)
            }
            "content" => Ok(self.serve_content(request, version, &stored, &behaviour)),
            _ => Ok(http::error_response(
                404,
                "no such path; use /weights/<version>/manifest or /weights/<version>/content",
            )),
        }
    }

    fn refuse_over_limit(&self, behaviour: &OriginBehaviour) -> bool {
        let mut counts = self.counts.lock().unwrap();
        let limit = behaviour.max_in_progress;
        let is_refused = behaviour.status_429 || (limit > 0 && counts.in_progress >= limit);
        counts.refused_by_rate += u64::from(is_refused);
        is_refused
    }

    fn serve_content(
        self: Arc<Self>,
        request: &Request,
        version: &str,
        stored: &StoredVersion,
        behaviour: &OriginBehaviour,
    ) -> Response {
        self.update_counts(version, |it| it.requests += 1);
        let size = stored.bytes.len();
        let (status, range) = match http::header(request, "Range") {
            None => (200, 0..size),
            Some(text) => match parse_range(&text, size) {
                Some(range) => (206, range),
                None => {
                    return http::error_response(
                        416,
                        "the range is invalid or exceeds the content; use bytes=<first>-<last>",
                    )
                }
            },
        };
        let mut response = http::empty_response(status);
        if status == 206 {
            let text = format!("bytes {}-{}/{size}", range.start, range.end - 1);
            response.insert_header("Content-Range", text);
        }
        let corrupt_index = (fastrand::u32(0..100) < behaviour.corrupt_percent)
            .then(|| fastrand::usize(range.clone()));
        let (sender, receiver) = async_channel::bounded(2);
        response.set_body(ChannelBody::body(receiver, Some(range.len())));
        let bytes = stored.bytes.clone();
        let version = version.to_owned();
        runtime::spawn(async move {
            self.counts.lock().unwrap().in_progress += 1;
            self.send_range(&sender, &version, &bytes, range, corrupt_index).await;
            self.counts.lock().unwrap().in_progress -= 1;
        })
        .detach();
        response
    }

    async fn send_range(
        &self,
        sender: &Sender<io::Result<Vec<u8>>>,
        version: &str,
        bytes: &[u8],
        range: Range<usize>,
        corrupt_index: Option<usize>,
    ) {
        let mut start = range.start;
        while start < range.end {
            let end = range.end.min(start + SEND_BLOCK_BYTES);
            let behaviour = self.behaviour.get();
            if behaviour.stall && start > range.start + range.len() / 2 {
                return wait_until_closed(sender).await;
            }
            if behaviour.down {
                let _ = sender.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
                return;
            }
            if behaviour.rate_bytes_per_s > 0 {
                let amount = (end - start) as u64;
                let send_at = self.rate.reserve(amount, behaviour.rate_bytes_per_s, Instant::now());
                runtime::sleep_until(send_at).await;
            }
            let mut block = bytes[start..end].to_vec();
            if let Some(corrupt) = corrupt_index.filter(|it| (start..end).contains(it)) {
                block[corrupt - start] ^= 0xff;
            }
            if sender.send(Ok(block)).await.is_err() {
                return;
            }
            self.update_counts(version, |it| it.content_bytes += (end - start) as u64);
            start = end;
        }
    }
}

/// Keeps a response open without sending until the client closes the connection.
async fn wait_until_closed(sender: &Sender<io::Result<Vec<u8>>>) {
    while !sender.is_closed() {
        runtime::sleep(std::time::Duration::from_millis(100)).await;
    }
}

fn parse_range(text: &str, size: usize) -> Option<Range<usize>> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let first: usize = first.parse().ok()?;
    let last: usize = if last.is_empty() { size.checked_sub(1)? } else { last.parse().ok()? };
    (first <= last && last < size).then_some(first..last + 1)
}
