//! Serves any path and counts how often the call of each idempotency key ran.

use std::{
    collections::BTreeMap,
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
    net::{HttpServer, ServerLimits},
    runtime,
};
use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::{
    behaviour::{consume_fault, Behaviour},
    channel_body::ChannelBody,
    http,
};

/// The timing and the injected faults of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceBehaviour {
    /// The number of calls that run but whose connection is closed without a response.
    pub lose_answers: u32,
    /// The delay before a call runs.
    pub delay_ms: u64,
    /// The delay between the run of a call and its response.
    pub answer_delay_ms: u64,
    /// The number of calls that run and then crash the service.
    pub crash: u32,
    /// The number of responses that are cut off after half of the body.
    pub short: u32,
}

/// Counts of the calls that ran, with which tests detect calls that ran twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The number of runs by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// The number of runs without an idempotency key.
    pub runs_without_key: u64,
}

impl ServiceCounts {
    /// Returns the highest number of runs of any one key.
    pub fn max_runs(&self) -> u32 {
        self.runs.values().copied().max().unwrap_or(0)
    }
}

/// The body of a response.
#[derive(Serialize)]
struct RunResponse {
    key: Option<String>,
    run: u32,
    path: String,
    body_digest: Digest,
}

/// A running stand-in for a plain service.
#[derive(Debug)]
pub struct ServiceStandin {
    inner: Arc<Inner>,
    server: HttpServer,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour<ServiceBehaviour>,
    counts: Mutex<ServiceCounts>,
    is_crashed: AtomicBool,
    exits_on_crash: bool,
}

impl ServiceStandin {
    /// Starts to listen on `address`; after a crash every connection is closed without a response.
    pub async fn start(address: SocketAddr) -> io::Result<ServiceStandin> {
        ServiceStandin::start_with(address, false).await
    }

    /// Starts like `start`, except that a crash ends the process if `exits_on_crash` is set.
    pub async fn start_with(
        address: SocketAddr,
        exits_on_crash: bool,
    ) -> io::Result<ServiceStandin> {
        let inner = Arc::new(Inner {
            behaviour: Behaviour::default(),
            counts: Mutex::default(),
            is_crashed: AtomicBool::new(false),
            exits_on_crash,
        });
        let state = inner.clone();
        let handler = Arc::new(move |request| {
            let inner = state.clone();
            Box::pin(async move { inner.handle_request(request).await }) as _
        });
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await?;
        Ok(ServiceStandin { inner, server })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the timing and the injected faults.
    pub fn set_behaviour(&self, behaviour: ServiceBehaviour) {
        self.inner.behaviour.set(behaviour);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> ServiceCounts {
        self.inner.counts.lock().unwrap().clone()
    }

    /// Serves calls again after a crash.
    pub fn restart(&self) {
        self.inner.is_crashed.store(false, Ordering::Relaxed);
    }

    /// Stops listening.
    pub async fn close(self) {
        self.inner.is_crashed.store(true, Ordering::Relaxed);
        self.server.close().await;
    }
}

impl Inner {
    async fn handle_request(&self, mut request: Request) -> http_types::Result<Response> {
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
            _ => self.handle_call(request, path).await,
        }
    }

    async fn handle_call(
        &self,
        mut request: Request,
        path: String,
    ) -> http_types::Result<Response> {
        if self.is_crashed.load(Ordering::Relaxed) {
            return http::abort_connection();
        }
        let body = http::read_body(&mut request).await?;
        let behaviour = self.behaviour.get();
        runtime::sleep(Duration::from_millis(behaviour.delay_ms)).await;
        let key = http::header(&request, "Idempotency-Key");
        let run = self.record_run(key.as_deref());
        runtime::sleep(Duration::from_millis(behaviour.answer_delay_ms)).await;
        if self.behaviour.update(|it| consume_fault(&mut it.crash)) {
            return self.crash();
        }
        if self.behaviour.update(|it| consume_fault(&mut it.lose_answers)) {
            return http::abort_connection();
        }
        let run_response = RunResponse { key, run, path, body_digest: Digest::of(&body) };
        let mut response = http::json_response(200, &run_response);
        if let Some(request_id) = http::header(&request, "X-Request-Id") {
            response.insert_header("X-Request-Id", request_id);
        }
        if self.behaviour.update(|it| consume_fault(&mut it.short)) {
            let text = serde_json::to_vec(&run_response)?;
            let (sender, receiver) = async_channel::bounded(2);
            let _ = sender.try_send(Ok(text[..text.len() / 2].to_vec()));
            let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
            response.set_body(ChannelBody::body(receiver, Some(text.len())));
        }
        Ok(response)
    }

    fn record_run(&self, key: Option<&str>) -> u32 {
        let mut counts = self.counts.lock().unwrap();
        let Some(key) = key else {
            counts.runs_without_key += 1;
            return 1;
        };
        let runs = counts.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    fn crash(&self) -> http_types::Result<Response> {
        if self.exits_on_crash {
            std::process::exit(101);
        }
        self.is_crashed.store(true, Ordering::Relaxed);
        http::abort_connection()
    }
}
