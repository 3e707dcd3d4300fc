//! The state of an engine: its lifecycle, load orders and administrative requests.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use crocustiller::{
    digest::Digest,
    net::{HttpClient, HttpServer, ServerLimits},
    runtime,
};
use event_listener::Event;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};
use serde_json::json;

use crate::{
    behaviour::Behaviour,
    engine::{
        batch::Batch,
        engine_behaviour::{EngineBehaviour, EngineCounts},
        loaded_weights::{LoadOrder, LoadedWeights, StateResponse},
    },
    http,
};

/// The timeout for the response head of a request for weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The time without received data after which a load fails.
const LOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The size of the buffer for weights.
const LOAD_BUFFER_BYTES: usize = 256 << 10;
/// The number of characters of a prompt that form its prefix in the cache.
const PREFIX_CHARS: usize = 64;
/// The maximum number of cache events that are kept.
const MAX_CACHE_EVENTS: usize = 1000;

/// A model engine: its weights, its batch of requests, its counts and its injected faults.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) behaviour: Behaviour<EngineBehaviour>,
    pub(crate) weights: Mutex<LoadedWeights>,
    pub(crate) batch: Arc<Batch>,
    pub(crate) counts: Mutex<EngineCounts>,
    pub(crate) last_request: Mutex<Option<(String, String)>>,
    pub(crate) cache_events: Mutex<Vec<serde_json::Value>>,
    pub(crate) server: Mutex<Option<HttpServer>>,
    pub(crate) is_crashed: AtomicBool,
    pub(crate) crashed: Event,
    pub(crate) exits_on_crash: bool,
    pub(crate) http_client: HttpClient,
}

impl Engine {
    pub(crate) fn new(exits_on_crash: bool) -> Arc<Engine> {
        Arc::new(Engine {
            behaviour: Behaviour::default(),
            weights: Mutex::default(),
            batch: Arc::default(),
            counts: Mutex::default(),
            last_request: Mutex::default(),
            cache_events: Mutex::default(),
            server: Mutex::default(),
            is_crashed: AtomicBool::new(false),
            crashed: Event::new(),
            exits_on_crash,
            http_client: HttpClient::new(),
        })
    }

    pub(crate) async fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<SocketAddr> {
        let state = self.clone();
        let handler = Arc::new(move |request| {
            let engine = state.clone();
            Box::pin(async move { engine.handle_unless_crashed(request).await }) as _
        });
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await?;
        let address = server.address();
        *self.server.lock().unwrap() = Some(server);
        Ok(address)
    }

    /// Listens again, without weights.
    pub(crate) async fn restart(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        *self.weights.lock().unwrap() = LoadedWeights::default();
        self.is_crashed.store(false, Ordering::Relaxed);
        self.listen(address).await.map(|_| ())
    }

    /// Stops listening and cuts off all exchanges.
    pub(crate) fn stop(&self) {
        self.is_crashed.store(true, Ordering::Relaxed);
        self.crashed.notify(usize::MAX);
        drop(self.server.lock().unwrap().take());
    }

    /// Exits the process or closes the listener and all connections; the latter is followed by a
    /// restart if `restart_after_ms` is set.
    pub(crate) fn crash(self: &Arc<Self>) {
        if self.exits_on_crash {
            std::process::exit(101);
        }
        self.counts.lock().unwrap().crashes += 1;
        let address = self.server.lock().unwrap().as_ref().map(HttpServer::address);
        self.stop();
        let pause = self.behaviour.get().restart_after_ms;
        let (Some(address), true) = (address, pause > 0) else { return };
        let engine = self.clone();
        runtime::spawn(async move {
            runtime::sleep(Duration::from_millis(pause)).await;
            let _ = engine.restart(address).await;
        })
        .detach();
    }

    async fn handle_unless_crashed(
        self: Arc<Self>,
        request: Request,
    ) -> http_types::Result<Response> {
        let crashed = self.crashed.listen();
        if self.is_crashed.load(Ordering::Relaxed) {
            return http::abort_connection();
        }
        let cut = async {
            crashed.await;
            http::abort_connection()
        };
        self.clone().handle_request(request).or(cut).await
    }

    async fn handle_request(self: Arc<Self>, mut request: Request) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => self.chat(request).await,
            (Method::Post, "/admin/load") => self.load(request).await,
            (Method::Get, "/admin/state") => Ok(http::json_response(200, &self.state())),
            (Method::Get, "/admin/cache-events") => Ok(self.cache_events_since(&request)),
            (Method::Get, "/counts") => {
                Ok(http::json_response(200, &self.counts.lock().unwrap().clone()))
            }
            (Method::Post, "/crash") => {
                self.crash();
                http::abort_connection()
            }
            (Method::Post, "/faults") => {
                let body = http::read_body(&mut request).await?;
                let res = self.behaviour.merge(&body);
                self.batch.wake_waiting();
                Ok(res.map_or_else(
                    |err| http::error_response(422, &err.to_string()),
                    |()| http::empty_response(204),
                ))
            }
            _ => Ok(http::error_response(
                404,
                "no such path; use /v1/chat/completions, /admin/load or /admin/state",
            )),
        }
    }

    fn state(&self) -> StateResponse {
        let weights = self.weights.lock().unwrap().clone();
        StateResponse {
            version: weights.version,
            content_digest: weights.content_digest,
            running: self.batch.n_running(),
            queued: self.batch.n_queued(),
            fencing: weights.fencing,
        }
    }

    async fn load(&self, mut request: Request) -> http_types::Result<Response> {
        let body = http::read_body(&mut request).await?;
        let order: LoadOrder = match serde_json::from_slice(&body) {
            Ok(order) => order,
            Err(err) => return Ok(http::error_response(422, &err.to_string())),
        };
        let behaviour = self.behaviour.get();
        runtime::sleep(Duration::from_millis(behaviour.load_delay_ms)).await;
        {
            let mut weights = self.weights.lock().unwrap();
            if !behaviour.ignore_fencing && order.fencing < weights.fencing {
                self.counts.lock().unwrap().refused_loads += 1;
                return Ok(http::error_response(
                    409,
                    "the fencing number is older than that of the last load; use the current one",
                ));
            }
            *weights = LoadedWeights {
                is_loading: true,
                fencing: order.fencing,
                ..LoadedWeights::default()
            };
        }
        let res = self.fetch_digest(&order.url).await;
        let mut weights = self.weights.lock().unwrap();
        weights.is_loading = false;
        match res {
            Err(err) => Ok(http::error_response(
                502,
                &format!("failed to read the weights: {err}; check the URL and load again"),
            )),
            Ok(content_digest) => {
                weights.version = Some(order.version);
                weights.content_digest = Some(content_digest);
                drop(weights);
                self.counts.lock().unwrap().loads += 1;
                Ok(http::json_response(200, &self.state()))
            }
        }
    }

    /// Downloads the weights at `url` and returns their digest, without storing them.
    async fn fetch_digest(&self, url: &str) -> http_types::Result<Digest> {
        let url = Url::parse(url)?;
        let addresses = url.socket_addrs(|| None)?;
        let no_address = || io::Error::from(io::ErrorKind::AddrNotAvailable);
        let address = *addresses.first().ok_or_else(no_address)?;
        let request = Request::new(Method::Get, url);
        let mut exchange = self.http_client.send(address, request, LOAD_TIMEOUT).await?;
        if !exchange.response.status().is_success() {
            let message = format!("status {}", exchange.response.status());
            return Err(io::Error::other(message).into());
        }
        let expected_bytes = exchange.response.len();
        let mut hasher = blake3::Hasher::new();
        let mut buffer = vec![0; LOAD_BUFFER_BYTES];
        let mut n_read_bytes = 0;
        loop {
            let read = exchange.response.read(&mut buffer);
            let read = runtime::timeout(LOAD_IDLE_TIMEOUT, read).await;
            let n = read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
            if n == 0 {
                break;
            }
            hasher.update(&buffer[..n]);
            n_read_bytes += n;
            // Lets other engines of the process serve requests during a long download.
            futures_lite::future::yield_now().await;
        }
        if expected_bytes.is_some_and(|it| it != n_read_bytes) {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(hasher.finalize().into())
    }

    /// Records that the prefix of `prompt` is now in the cache.
    pub(crate) fn record_cache_event(&self, prompt: &str) {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let mut events = self.cache_events.lock().unwrap();
        let number = events.last().and_then(|it| it["number"].as_u64()).unwrap_or(0) + 1;
        events.push(json!({"number": number, "prefix": prefix, "kind": "stored"}));
        if events.len() > MAX_CACHE_EVENTS {
            events.remove(0);
        }
    }

    fn cache_events_since(&self, request: &Request) -> Response {
        let since =
            http::query_parameter(request, "since").and_then(|it| it.parse().ok()).unwrap_or(0);
        let events = self.cache_events.lock().unwrap();
        let newer: Vec<_> =
            events.iter().filter(|it| it["number"].as_u64() > Some(since)).cloned().collect();
        http::json_response(200, &json!({ "events": newer }))
    }
}
