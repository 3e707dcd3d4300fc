//! The state of the platform stand-in and its answers.

use std::{
    sync::{atomic::Ordering, Mutex},
    time::{Duration, Instant},
};

use crocustiller::runtime;
use event_listener::Event;
use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::{
    behaviour::{consume_fault, Behaviour},
    http,
    platform::{
        call_counters::CallCounters,
        host_entry::HostEntry,
        object_store::{ObjectStore, Precondition, WriteOutcome},
        platform_behaviour::PlatformBehaviour,
    },
    token_bucket::TokenBucket,
};

/// The maximum size of the value of an object.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The timeout of a watch whose request has none.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// The poll interval of a watch while reads are stale.
const LAGGING_WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The objects, hosts and faults behind the interface; it answers each request.
#[derive(Debug)]
pub(crate) struct PlatformState {
    /// The timing and the injected faults.
    pub(crate) behaviour: Behaviour<PlatformBehaviour>,
    /// The objects with their earlier revisions.
    pub(crate) objects: Mutex<ObjectStore>,
    /// The list of hosts.
    pub(crate) hosts: Mutex<Vec<HostEntry>>,
    /// The calls so far.
    pub(crate) counts: CallCounters,
    /// Notified when a watch may have to respond.
    pub(crate) changed: Event,
    write_rate: TokenBucket,
    read_rate: TokenBucket,
}

#[derive(Serialize)]
struct ObjectEntry {
    name: String,
    revision: u64,
}

#[derive(Serialize)]
struct ObjectList {
    objects: Vec<ObjectEntry>,
}

#[derive(Serialize, Deserialize)]
struct HostList {
    hosts: Vec<HostEntry>,
}

impl PlatformState {
    /// Creates the state without objects, hosts and faults.
    pub(crate) fn new() -> PlatformState {
        PlatformState {
            behaviour: Behaviour::default(),
            objects: Mutex::default(),
            hosts: Mutex::default(),
            counts: CallCounters::default(),
            changed: Event::new(),
            write_rate: TokenBucket::new(),
            read_rate: TokenBucket::new(),
        }
    }

    /// Answers a request, either a call of the platform or a control of the stand-in.
    pub(crate) async fn handle_request(
        &self,
        mut request: Request,
    ) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/faults") => {
                let body = http::read_body(&mut request).await?;
                let res = self.behaviour.merge(&body);
                self.changed.notify(usize::MAX);
                Ok(res.map_or_else(
                    |err| http::error_response(422, &err.to_string()),
                    |()| http::empty_response(204),
                ))
            }
            (Method::Get, "/counts") => Ok(http::json_response(200, &self.counts.snapshot())),
            (Method::Post, "/hosts") => {
                let body = http::read_body(&mut request).await?;
                let list: HostList = serde_json::from_slice(&body)?;
                *self.hosts.lock().unwrap() = list.hosts;
                Ok(http::empty_response(204))
            }
            _ => self.handle_call(request, &path).await,
        }
    }

    async fn handle_call(&self, request: Request, path: &str) -> http_types::Result<Response> {
        let counter = self.counts.counter_for(&request, path);
        counter.fetch_add(1, Ordering::Relaxed);
        let behaviour = self.behaviour.get();
        if behaviour.outage {
            return Ok(unavailable());
        }
        if self.exceeds_rate(request.method(), &behaviour) {
            self.counts.refused_by_rate.fetch_add(1, Ordering::Relaxed);
            let mut response =
                http::error_response(429, "too many calls; retry after the time in Retry-After");
            response.insert_header("Retry-After", "1");
            return Ok(response);
        }
        let Some(name) = path.strip_prefix("/objects/") else {
            return Ok(self.list_objects_or_hosts(&request, path));
        };
        if behaviour.latency_ms > 0 && name.starts_with(&behaviour.object_prefix) {
            runtime::sleep(Duration::from_millis(behaviour.latency_ms)).await;
        }
        match request.method() {
            Method::Get if http::query_parameter(&request, "watch").is_some() => {
                Ok(self.watch(&request, name).await)
            }
            Method::Get => Ok(self.get(name).unwrap_or_else(|| http::empty_response(404))),
            Method::Put => self.put(request, name).await,
            Method::Delete => self.delete(&request, name),
            _ => Ok(http::error_response(405, "method not supported; use GET, PUT or DELETE")),
        }
    }

    fn exceeds_rate(&self, method: Method, behaviour: &PlatformBehaviour) -> bool {
        let (bucket, rate) = match method {
            Method::Get => (&self.read_rate, behaviour.reads_per_s),
            _ => (&self.write_rate, behaviour.writes_per_s),
        };
        rate > 0 && !bucket.try_acquire(1, rate, Instant::now())
    }

    fn list_objects_or_hosts(&self, request: &Request, path: &str) -> Response {
        match path {
            "/hosts" => {
                let hosts = self.hosts.lock().unwrap().clone();
                http::json_response(200, &HostList { hosts })
            }
            "/objects" => {
                let prefix = http::query_parameter(request, "prefix").unwrap_or_default();
                let objects = self.objects.lock().unwrap();
                let found = objects.list(&prefix, self.read_lag(&prefix), Instant::now());
                let entry = |(name, revision)| ObjectEntry { name, revision };
                http::json_response(
                    200,
                    &ObjectList { objects: found.into_iter().map(entry).collect() },
                )
            }
            _ => http::error_response(404, "no such path; use /hosts, /objects or /objects/<name>"),
        }
    }

    fn read_lag(&self, name: &str) -> Duration {
        let behaviour = self.behaviour.get();
        if !name.starts_with(&behaviour.object_prefix) {
            return Duration::ZERO;
        }
        Duration::from_millis(behaviour.lagging_reads_ms)
    }

    fn get(&self, name: &str) -> Option<Response> {
        self.get_after(name, 0)
    }

    fn get_after(&self, name: &str, known_revision: u64) -> Option<Response> {
        let objects = self.objects.lock().unwrap();
        let (revision, value) = objects.get(name, self.read_lag(name), Instant::now())?;
        if revision <= known_revision {
            return None;
        }
        let mut response = revision_response(200, revision);
        response.set_body(value.to_vec());
        Some(response)
    }

    async fn watch(&self, request: &Request, name: &str) -> Response {
        let number =
            |key| http::query_parameter(request, key).and_then(|it| it.parse::<u64>().ok());
        let known_revision = number("watch").unwrap_or(0);
        let wait = number("timeout_ms").map_or(DEFAULT_WATCH_TIMEOUT, Duration::from_millis);
        let found = async {
            loop {
                let listener = self.changed.listen();
                if self.behaviour.get().outage {
                    return unavailable();
                }
                if let Some(response) = self.get_after(name, known_revision) {
                    return response;
                }
                if self.read_lag(name).is_zero() {
                    listener.await;
                } else {
                    runtime::sleep(LAGGING_WATCH_POLL_INTERVAL).await;
                }
            }
        };
        runtime::timeout(wait, found).await.unwrap_or_else(|_| http::empty_response(304))
    }

    async fn put(&self, mut request: Request, name: &str) -> http_types::Result<Response> {
        let Some(precondition) = read_precondition(&request) else {
            return Ok(http::error_response(
                428,
                "the write has no precondition; add If-Match: <revision> or If-None-Match: *",
            ));
        };
        let value = http::read_body(&mut request).await?;
        if value.len() > MAX_VALUE_BYTES {
            return Ok(http::error_response(413, "the value is too large; use at most 1 MiB"));
        }
        let outcome = self.objects.lock().unwrap().put(name, value, precondition, Instant::now());
        self.finish_write(name, outcome, 200)
    }

    fn delete(&self, request: &Request, name: &str) -> http_types::Result<Response> {
        let Some(Precondition::Revision(revision)) = read_precondition(request) else {
            return Ok(http::error_response(
                428,
                "the deletion has no precondition; add If-Match: <revision>",
            ));
        };
        let mut objects = self.objects.lock().unwrap();
        let outcome = objects.delete(name, revision, Instant::now());
        drop(objects);
        if outcome == WriteOutcome::Conflict(None) {
            return Ok(http::empty_response(404));
        }
        self.finish_write(name, outcome, 204)
    }

    fn finish_write(
        &self,
        name: &str,
        outcome: WriteOutcome,
        status: u16,
    ) -> http_types::Result<Response> {
        match outcome {
            WriteOutcome::Conflict(current) => Ok(revision_response(412, current.unwrap_or(0))),
            WriteOutcome::Done(revision) => {
                self.counts.effective_writes.fetch_add(1, Ordering::Relaxed);
                self.changed.notify(usize::MAX);
                let is_lost = self.behaviour.update(|it| {
                    name.starts_with(&it.object_prefix) && consume_fault(&mut it.lose_answers)
                });
                if is_lost {
                    return http::abort_connection();
                }
                Ok(revision_response(status, revision))
            }
        }
    }
}

fn read_precondition(request: &Request) -> Option<Precondition> {
    if let Some(revision) = http::header(request, "If-Match") {
        return revision.trim_matches('"').parse().ok().map(Precondition::Revision);
    }
    http::header(request, "If-None-Match").filter(|it| it == "*").map(|_| Precondition::Absent)
}

fn revision_response(status: u16, revision: u64) -> Response {
    let mut response = http::empty_response(status);
    response.insert_header("ETag", revision.to_string());
    response
}

fn unavailable() -> Response {
    http::error_response(503, "the platform is unavailable; retry later")
}
