//! Serves chat requests and orders, with faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_channel::Sender;
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
    behaviour::{take_one, Behaviour},
    engine::{
        answer::{self, ChatRequest},
        batch::{Batch, Place},
        engine_behaviour::{EngineBehaviour, EngineCounts, MAX_COUNTED_IDS},
        loaded_weights::{joined, LoadOrder, LoadedWeights, StateAnswer},
    },
    piece_body::PieceBody,
    respond,
};

/// Time limit for the head of the answer that carries weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a byte after which a load fails.
const LOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of weights read at a time.
const LOAD_PIECE_BYTES: usize = 256 << 10;
/// Characters of a prompt that count as its prefix in the cache.
const PREFIX_CHARS: usize = 64;
/// Cache events that are kept.
const MAX_CACHE_EVENTS: usize = 1000;

/// A running stand-in of a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    inner: Arc<Inner>,
    address: SocketAddr,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour<EngineBehaviour>,
    weights: Mutex<LoadedWeights>,
    batch: Arc<Batch>,
    counts: Mutex<EngineCounts>,
    last_text: Mutex<Option<(String, String)>>,
    cache_events: Mutex<Vec<serde_json::Value>>,
    server: Mutex<Option<HttpServer>>,
    is_crashed: AtomicBool,
    crashed: Event,
    exits_on_crash: bool,
    http: HttpClient,
}

impl EngineStandin {
    /// Listens on `address`, without weights; a crash closes the address and all connections.
    pub async fn start(address: SocketAddr) -> io::Result<EngineStandin> {
        EngineStandin::start_with(address, false).await
    }

    /// Like `start`; with `exits_on_crash` a crash ends the process.
    pub async fn start_with(
        address: SocketAddr,
        exits_on_crash: bool,
    ) -> io::Result<EngineStandin> {
        let inner = Arc::new(Inner {
            behaviour: Behaviour::default(),
            weights: Mutex::default(),
            batch: Arc::default(),
            counts: Mutex::default(),
            last_text: Mutex::default(),
            cache_events: Mutex::default(),
            server: Mutex::default(),
            is_crashed: AtomicBool::new(false),
            crashed: Event::new(),
            exits_on_crash,
            http: HttpClient::new(),
        });
        let address = inner.listen(address).await?;
        Ok(EngineStandin { inner, address })
    }

    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces timing and faults.
    pub fn set_behaviour(&self, behaviour: EngineBehaviour) {
        self.inner.behaviour.set(behaviour);
        self.inner.batch.notify();
    }

    /// What the engine did so far.
    pub fn counts(&self) -> EngineCounts {
        self.inner.counts.lock().unwrap().clone()
    }

    /// Digest of the weights that answer now.
    pub fn content_digest(&self) -> Option<Digest> {
        self.inner.weights.lock().unwrap().content_digest
    }

    /// Fills the memory with the weights of `content_digest`, without a load order.
    pub fn preload(&self, version: &str, content_digest: Digest) {
        let mut weights = self.inner.weights.lock().unwrap();
        weights.version = Some(version.to_owned());
        weights.content_digest = Some(content_digest);
    }

    /// Whether the engine has crashed and does not listen.
    pub fn is_crashed(&self) -> bool {
        self.inner.is_crashed.load(Ordering::Relaxed)
    }

    /// Listens again after a crash, without weights.
    pub async fn restart(&self) -> io::Result<()> {
        self.inner.clone().restart(self.address).await
    }

    /// Ends the engine as a crash does.
    pub async fn close(self) {
        self.inner.stop();
    }
}

impl Inner {
    async fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<SocketAddr> {
        let state = self.clone();
        let handler = Arc::new(move |request| {
            let inner = state.clone();
            Box::pin(async move { inner.answer_unless_crashed(request).await }) as _
        });
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await?;
        let address = server.address();
        *self.server.lock().unwrap() = Some(server);
        Ok(address)
    }

    async fn restart(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        *self.weights.lock().unwrap() = LoadedWeights::default();
        self.is_crashed.store(false, Ordering::Relaxed);
        self.listen(address).await.map(|_| ())
    }

    /// Stops listening and cuts all exchanges.
    fn stop(&self) {
        self.is_crashed.store(true, Ordering::Relaxed);
        self.crashed.notify(usize::MAX);
        drop(self.server.lock().unwrap().take());
    }

    fn crash(self: &Arc<Self>) {
        if self.exits_on_crash {
            std::process::exit(101);
        }
        self.counts.lock().unwrap().crashes += 1;
        let address = self.server.lock().unwrap().as_ref().map(HttpServer::address);
        self.stop();
        let pause = self.behaviour.get().restart_after_ms;
        let (Some(address), true) = (address, pause > 0) else { return };
        let inner = self.clone();
        runtime::spawn(async move {
            runtime::sleep(Duration::from_millis(pause)).await;
            let _ = inner.restart(address).await;
        })
        .detach();
    }

    async fn answer_unless_crashed(
        self: Arc<Self>,
        request: Request,
    ) -> http_types::Result<Response> {
        let crashed = self.crashed.listen();
        if self.is_crashed.load(Ordering::Relaxed) {
            return respond::cut();
        }
        let cut = async {
            crashed.await;
            respond::cut()
        };
        self.clone().answer(request).or(cut).await
    }

    async fn answer(self: Arc<Self>, mut request: Request) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => self.chat(request).await,
            (Method::Post, "/admin/load") => self.load(request).await,
            (Method::Get, "/admin/state") => Ok(respond::json(200, &self.state())),
            (Method::Get, "/admin/cache-events") => Ok(self.cache_events_since(&request)),
            (Method::Get, "/counts") => {
                Ok(respond::json(200, &self.counts.lock().unwrap().clone()))
            }
            (Method::Post, "/crash") => {
                self.crash();
                respond::cut()
            }
            (Method::Post, "/faults") => {
                let body = respond::read(&mut request).await?;
                let res = self.behaviour.merge(&body);
                self.batch.notify();
                Ok(res.map_or_else(
                    |err| respond::error(422, &err.to_string()),
                    |()| respond::empty(204),
                ))
            }
            _ => Ok(respond::error(404, "no such route")),
        }
    }

    fn state(&self) -> StateAnswer {
        let weights = self.weights.lock().unwrap().clone();
        StateAnswer {
            version: weights.version,
            content_digest: weights.content_digest,
            running: self.batch.n_running(),
            queued: self.batch.n_queued(),
            fencing: weights.fencing,
        }
    }

    async fn load(&self, mut request: Request) -> http_types::Result<Response> {
        let body = respond::read(&mut request).await?;
        let order: LoadOrder = match serde_json::from_slice(&body) {
            Ok(order) => order,
            Err(err) => return Ok(respond::error(422, &err.to_string())),
        };
        let behaviour = self.behaviour.get();
        runtime::sleep(Duration::from_millis(behaviour.load_delay_ms)).await;
        {
            let mut weights = self.weights.lock().unwrap();
            if !behaviour.ignore_fencing && order.fencing < weights.fencing {
                self.counts.lock().unwrap().refused_loads += 1;
                return Ok(respond::error(409, "the fencing number is old"));
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
            Err(err) => Ok(respond::error(502, &format!("the weights were not read: {err}"))),
            Ok(content_digest) => {
                weights.version = Some(order.version);
                weights.content_digest = Some(content_digest);
                drop(weights);
                self.counts.lock().unwrap().loads += 1;
                Ok(respond::json(200, &self.state()))
            }
        }
    }

    /// Digest of the bytes behind `url`, which are not kept.
    async fn fetch_digest(&self, url: &str) -> http_types::Result<Digest> {
        let url = Url::parse(url)?;
        let addresses = url.socket_addrs(|| None)?;
        let no_address = || io::Error::from(io::ErrorKind::AddrNotAvailable);
        let address = *addresses.first().ok_or_else(no_address)?;
        let request = Request::new(Method::Get, url);
        let mut exchange = self.http.send(address, request, LOAD_TIMEOUT).await?;
        if !exchange.response.status().is_success() {
            let message = format!("status {}", exchange.response.status());
            return Err(io::Error::other(message).into());
        }
        let announced = exchange.response.len();
        let mut hasher = blake3::Hasher::new();
        let mut buffer = vec![0; LOAD_PIECE_BYTES];
        let mut n_total = 0;
        loop {
            let read = exchange.response.read(&mut buffer);
            let read = runtime::timeout(LOAD_IDLE_TIMEOUT, read).await;
            let n = read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
            if n == 0 {
                break;
            }
            hasher.update(&buffer[..n]);
            n_total += n;
        }
        if announced.is_some_and(|it| it != n_total) {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(hasher.finalize().into())
    }

    async fn chat(self: Arc<Self>, mut request: Request) -> http_types::Result<Response> {
        let body = respond::read(&mut request).await?;
        let chat: ChatRequest = match serde_json::from_slice(&body) {
            Ok(chat) => chat,
            Err(err) => return Ok(respond::error(400, &err.to_string())),
        };
        let request_id = respond::header(&request, "X-Request-Id").unwrap_or_default();
        let priority = respond::header(&request, "X-Priority").and_then(|it| it.parse().ok());
        self.count_request(&request_id);
        let behaviour = self.behaviour.get();
        let crash_text = behaviour.crash_on_prompt.as_str();
        if !crash_text.is_empty() && chat.prompt().contains(crash_text) {
            self.crash();
            return respond::cut();
        }
        if self.weights.lock().unwrap().fingerprint().is_none() {
            return Ok(respond::error(503, "no weights are loaded"));
        }
        let concurrency = || self.behaviour.get().concurrency;
        let place = self.batch.enter(priority.unwrap_or(0), concurrency).await;
        self.note_prefix(&chat.prompt());
        self.pause(behaviour.first_token_ms).await;
        let answered = self.crossed(request_id, chat);
        if answered.chat.stream {
            return Ok(self.stream(answered, place));
        }
        self.whole(answered, place).await
    }

    async fn whole(
        self: Arc<Self>,
        answered: Answered,
        place: Place,
    ) -> http_types::Result<Response> {
        let mut guard = CancelGuard::new(self.clone());
        let mut fingerprint = self.fingerprint();
        for _ in 1..answered.chat.n_tokens() {
            self.pause(self.behaviour.get().token_ms).await;
            fingerprint = joined(&fingerprint, &self.fingerprint());
        }
        drop(place);
        guard.finish(&fingerprint);
        let Answered { request_id, chat, prompt } = answered;
        let text = answer::expected_answer(&prompt, chat.n_tokens());
        let value = answer::completion(&request_id, &chat, &text, &fingerprint);
        let mut response = respond::json(200, &value);
        response.insert_header("X-Request-Id", request_id);
        let text = serde_json::to_vec(&value)?;
        let half = text[..text.len() / 2].to_vec();
        if self.behaviour.update(|it| take_one(&mut it.short_answers)) {
            response.set_body(half);
        } else if self.behaviour.update(|it| take_one(&mut it.cut_answers)) {
            let (sender, receiver) = async_channel::bounded(2);
            let _ = sender.try_send(Ok(half));
            let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
            response.set_body(PieceBody::body(receiver, Some(text.len())));
        }
        Ok(response)
    }

    fn stream(self: Arc<Self>, answered: Answered, place: Place) -> Response {
        let (sender, receiver) = async_channel::bounded(1);
        let mut response = respond::empty(200);
        response.insert_header("Content-Type", "text/event-stream");
        response.insert_header("X-Request-Id", answered.request_id.as_str());
        response.set_body(PieceBody::body(receiver, None));
        runtime::spawn(async move {
            let crashed = self.crashed.listen();
            let cut = async {
                crashed.await;
                let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
            };
            self.clone().send_events(&sender, &answered).or(cut).await;
            drop(place);
        })
        .detach();
        response
    }

    async fn send_events(
        self: Arc<Self>,
        sender: &Sender<io::Result<Vec<u8>>>,
        answered: &Answered,
    ) {
        let mut guard = CancelGuard::new(self.clone());
        let is_cut = self.behaviour.update(|it| take_one(&mut it.cut_answers));
        let is_short = self.behaviour.update(|it| take_one(&mut it.short_answers));
        let is_doubled = self.behaviour.update(|it| take_one(&mut it.duplicate_answers));
        let n_tokens = answered.chat.n_tokens();
        let mut fingerprint = self.fingerprint();
        for idx in 0..n_tokens {
            if idx > 0 {
                self.pause(self.behaviour.get().token_ms).await;
                fingerprint = joined(&fingerprint, &self.fingerprint());
            }
            if is_short && idx >= n_tokens / 2 {
                return;
            }
            if is_cut && idx >= n_tokens / 2 {
                let _ = sender.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
                return;
            }
            let piece = answered.event(idx, &fingerprint);
            if is_doubled && sender.send(Ok(piece.clone())).await.is_err() {
                return;
            }
            if sender.send(Ok(piece)).await.is_err() {
                return;
            }
        }
        guard.finish(&fingerprint);
        let _ = sender.send(Ok(answer::END_EVENT.to_vec())).await;
    }

    /// Swaps id and prompt with those of an earlier request while that fault is on.
    fn crossed(&self, request_id: String, chat: ChatRequest) -> Answered {
        let prompt = chat.prompt();
        let own = (request_id.clone(), prompt.clone());
        let earlier = self.last_text.lock().unwrap().replace(own);
        let is_crossed = self.behaviour.update(|it| take_one(&mut it.cross_request_ids));
        match earlier.filter(|_| is_crossed) {
            Some((request_id, prompt)) => Answered { request_id, chat, prompt },
            None => Answered { request_id, chat, prompt },
        }
    }

    fn fingerprint(&self) -> String {
        self.weights.lock().unwrap().fingerprint().unwrap_or_default()
    }

    /// Waits for a time of the model, and for the end of a stall.
    async fn pause(&self, time_ms: u64) {
        let slow = u64::from(self.behaviour.get().slow);
        runtime::sleep(Duration::from_millis(time_ms * slow)).await;
        while self.behaviour.get().stall {
            runtime::sleep(Duration::from_millis(20)).await;
        }
    }

    fn count_request(&self, request_id: &str) {
        let mut counts = self.counts.lock().unwrap();
        counts.requests += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        counts.last_request_unix_ms = now.as_millis() as u64;
        if counts.runs.len() < MAX_COUNTED_IDS {
            *counts.runs.entry(request_id.to_owned()).or_default() += 1;
        }
    }

    fn note_prefix(&self, prompt: &str) {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let mut events = self.cache_events.lock().unwrap();
        let number = events.last().and_then(|it| it["number"].as_u64()).unwrap_or(0) + 1;
        events.push(json!({"number": number, "prefix": prefix, "kind": "stored"}));
        if events.len() > MAX_CACHE_EVENTS {
            events.remove(0);
        }
    }

    fn cache_events_since(&self, request: &Request) -> Response {
        let since = respond::query(request, "since").and_then(|it| it.parse().ok()).unwrap_or(0);
        let events = self.cache_events.lock().unwrap();
        let newer: Vec<_> =
            events.iter().filter(|it| it["number"].as_u64() > Some(since)).cloned().collect();
        respond::json(200, &json!({ "events": newer }))
    }
}

/// A request with the id and the prompt that its answer is made from.
struct Answered {
    request_id: String,
    chat: ChatRequest,
    prompt: String,
}

impl Answered {
    fn event(&self, idx: usize, fingerprint: &str) -> Vec<u8> {
        let is_last = idx + 1 == self.chat.n_tokens();
        let text = answer::token(&self.prompt, idx);
        answer::event(&self.request_id, &self.chat, &text, is_last, fingerprint)
    }
}

/// Counts a request as cancelled unless it was finished.
struct CancelGuard {
    inner: Arc<Inner>,
    is_finished: bool,
}

impl CancelGuard {
    fn new(inner: Arc<Inner>) -> CancelGuard {
        CancelGuard { inner, is_finished: false }
    }

    fn finish(&mut self, fingerprint: &str) {
        self.is_finished = true;
        let mut counts = self.inner.counts.lock().unwrap();
        counts.completed += 1;
        let is_whole = fingerprint.parse::<Digest>().is_ok();
        counts.answered_mixed += u64::from(!is_whole);
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.inner.counts.lock().unwrap().cancelled += 1;
        }
    }
}
