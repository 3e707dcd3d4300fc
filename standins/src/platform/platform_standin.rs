//! Serves the platform's routes, with faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crocustiller::{
    net::{HttpServer, ServerLimits},
    runtime,
};
use event_listener::Event;
use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::{
    behaviour::{take_one, Behaviour},
    platform::object_store::{Expected, ObjectStore, Written},
    respond,
    token_bucket::TokenBucket,
};

/// Longest value of an object.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest wait of a watch when the caller names none.
const DEFAULT_WATCH: Duration = Duration::from_secs(30);
/// Pause between two looks of a watch whose reads lag.
const LAGGING_WATCH_POLL: Duration = Duration::from_millis(20);

/// Timing and faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformBehaviour {
    /// Answers 503 to every call and ends waiting watches.
    pub outage: bool,
    /// Wait before a call takes effect.
    pub latency_ms: u64,
    /// Number of writes that take effect, but whose connection is closed without an answer.
    pub lose_answers: u32,
    /// Reads, lists and watches show the state of this long ago.
    pub lagging_reads_ms: u64,
    /// Writes a second beyond which 429 is answered; 0 for no limit.
    pub writes_per_s: u64,
    /// Reads a second beyond which 429 is answered; 0 for no limit.
    pub reads_per_s: u64,
    /// Limits `latency_ms`, `lose_answers` and `lagging_reads_ms` to objects with this prefix.
    pub object_prefix: String,
}

/// One line of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Host id.
    pub host: String,
    /// `entry` or `backend`.
    pub role: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Address for calls between processes.
    pub peer_address: SocketAddr,
}

/// Calls by kind; a waiting watch counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Watches.
    pub watches: u64,
    /// Writes, also those refused.
    pub puts: u64,
    /// Deletions, also those refused.
    pub deletes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Reads of the list of hosts.
    pub hosts: u64,
    /// Writes and deletions that took effect.
    pub effective_writes: u64,
    /// Calls refused above the rates.
    pub refused_by_rate: u64,
}

impl PlatformCounts {
    /// All calls.
    pub fn calls(&self) -> u64 {
        self.gets + self.watches + self.puts + self.deletes + self.lists + self.hosts
    }
}

/// A running stand-in of the platform.
#[derive(Debug)]
pub struct PlatformStandin {
    inner: Arc<Inner>,
    server: HttpServer,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour<PlatformBehaviour>,
    objects: Mutex<ObjectStore>,
    hosts: Mutex<Vec<HostEntry>>,
    counts: Counters,
    changed: Event,
    write_rate: TokenBucket,
    read_rate: TokenBucket,
}

#[derive(Debug, Default)]
struct Counters {
    gets: AtomicU64,
    watches: AtomicU64,
    puts: AtomicU64,
    deletes: AtomicU64,
    lists: AtomicU64,
    hosts: AtomicU64,
    effective_writes: AtomicU64,
    refused_by_rate: AtomicU64,
}

#[derive(Serialize)]
struct ObjectLine {
    name: String,
    revision: u64,
}

#[derive(Serialize)]
struct ObjectList {
    objects: Vec<ObjectLine>,
}

#[derive(Serialize, Deserialize)]
struct HostList {
    hosts: Vec<HostEntry>,
}

impl PlatformStandin {
    /// Listens on `address`, without objects and hosts.
    pub async fn start(address: SocketAddr) -> io::Result<PlatformStandin> {
        let inner = Arc::new(Inner {
            behaviour: Behaviour::default(),
            objects: Mutex::default(),
            hosts: Mutex::default(),
            counts: Counters::default(),
            changed: Event::new(),
            write_rate: TokenBucket::new(),
            read_rate: TokenBucket::new(),
        });
        let state = inner.clone();
        let handler = Arc::new(move |request| {
            let inner = state.clone();
            Box::pin(async move { inner.answer(request).await }) as _
        });
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await?;
        Ok(PlatformStandin { inner, server })
    }

    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces timing and faults.
    pub fn set_behaviour(&self, behaviour: PlatformBehaviour) {
        self.inner.behaviour.set(behaviour);
        self.inner.changed.notify(usize::MAX);
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        *self.inner.hosts.lock().unwrap() = hosts;
    }

    /// The value of an object, past all faults.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        let objects = self.inner.objects.lock().unwrap();
        objects.get(name, Duration::ZERO, Instant::now()).map(|it| it.1.to_vec())
    }

    /// Calls so far.
    pub fn counts(&self) -> PlatformCounts {
        self.inner.counts.snapshot()
    }

    /// Stops listening.
    pub async fn close(self) {
        self.inner.behaviour.update(|it| it.outage = true);
        self.inner.changed.notify(usize::MAX);
        self.server.close().await;
    }
}

impl Inner {
    async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/faults") => {
                let body = respond::read(&mut request).await?;
                let res = self.behaviour.merge(&body);
                self.changed.notify(usize::MAX);
                Ok(res.map_or_else(
                    |err| respond::error(422, &err.to_string()),
                    |()| respond::empty(204),
                ))
            }
            (Method::Get, "/counts") => Ok(respond::json(200, &self.counts.snapshot())),
            (Method::Post, "/hosts") => {
                let body = respond::read(&mut request).await?;
                let list: HostList = serde_json::from_slice(&body)?;
                *self.hosts.lock().unwrap() = list.hosts;
                Ok(respond::empty(204))
            }
            _ => self.call(request, &path).await,
        }
    }

    async fn call(&self, request: Request, path: &str) -> http_types::Result<Response> {
        let counter = self.counts.of(&request, path);
        counter.fetch_add(1, Ordering::Relaxed);
        let behaviour = self.behaviour.get();
        if behaviour.outage {
            return Ok(respond::error(503, "the platform is out"));
        }
        if self.is_above_rate(request.method(), &behaviour) {
            self.counts.refused_by_rate.fetch_add(1, Ordering::Relaxed);
            let mut response = respond::error(429, "too many calls; wait and ask again");
            response.insert_header("Retry-After", "1");
            return Ok(response);
        }
        let Some(name) = path.strip_prefix("/objects/") else {
            return Ok(self.list_or_hosts(&request, path));
        };
        if behaviour.latency_ms > 0 && name.starts_with(&behaviour.object_prefix) {
            runtime::sleep(Duration::from_millis(behaviour.latency_ms)).await;
        }
        match request.method() {
            Method::Get if respond::query(&request, "watch").is_some() => {
                Ok(self.watch(&request, name).await)
            }
            Method::Get => Ok(self.get(name).unwrap_or_else(|| respond::empty(404))),
            Method::Put => self.put(request, name).await,
            Method::Delete => self.delete(&request, name),
            _ => Ok(respond::error(405, "use GET, PUT or DELETE")),
        }
    }

    fn is_above_rate(&self, method: Method, behaviour: &PlatformBehaviour) -> bool {
        let (bucket, rate) = match method {
            Method::Get => (&self.read_rate, behaviour.reads_per_s),
            _ => (&self.write_rate, behaviour.writes_per_s),
        };
        rate > 0 && !bucket.try_take(1, rate, Instant::now())
    }

    fn list_or_hosts(&self, request: &Request, path: &str) -> Response {
        match path {
            "/hosts" => {
                let hosts = self.hosts.lock().unwrap().clone();
                respond::json(200, &HostList { hosts })
            }
            "/objects" => {
                let prefix = respond::query(request, "prefix").unwrap_or_default();
                let objects = self.objects.lock().unwrap();
                let found = objects.list(&prefix, self.lag(&prefix), Instant::now());
                let line = |(name, revision)| ObjectLine { name, revision };
                respond::json(200, &ObjectList { objects: found.into_iter().map(line).collect() })
            }
            _ => respond::error(404, "no such route"),
        }
    }

    fn lag(&self, name: &str) -> Duration {
        let behaviour = self.behaviour.get();
        if !name.starts_with(&behaviour.object_prefix) {
            return Duration::ZERO;
        }
        Duration::from_millis(behaviour.lagging_reads_ms)
    }

    fn get(&self, name: &str) -> Option<Response> {
        self.get_after(name, 0)
    }

    fn get_after(&self, name: &str, known: u64) -> Option<Response> {
        let objects = self.objects.lock().unwrap();
        let (revision, value) = objects.get(name, self.lag(name), Instant::now())?;
        if revision <= known {
            return None;
        }
        let mut response = with_revision(200, revision);
        response.set_body(value.to_vec());
        Some(response)
    }

    async fn watch(&self, request: &Request, name: &str) -> Response {
        let number = |key| respond::query(request, key).and_then(|it| it.parse::<u64>().ok());
        let known = number("watch").unwrap_or(0);
        let wait = number("timeout_ms").map_or(DEFAULT_WATCH, Duration::from_millis);
        let found = async {
            loop {
                let listener = self.changed.listen();
                if self.behaviour.get().outage {
                    return respond::error(503, "the platform is out");
                }
                if let Some(response) = self.get_after(name, known) {
                    return response;
                }
                if self.lag(name).is_zero() {
                    listener.await;
                } else {
                    runtime::sleep(LAGGING_WATCH_POLL).await;
                }
            }
        };
        runtime::timeout(wait, found).await.unwrap_or_else(|_| respond::empty(304))
    }

    async fn put(&self, mut request: Request, name: &str) -> http_types::Result<Response> {
        let Some(expected) = expected_of(&request) else {
            return Ok(respond::error(428, "give If-Match or If-None-Match: *"));
        };
        let value = respond::read(&mut request).await?;
        if value.len() > MAX_VALUE_BYTES {
            return Ok(respond::error(413, "a value holds at most 1 MiB"));
        }
        let written = self.objects.lock().unwrap().put(name, value, expected, Instant::now());
        self.finish_write(name, written, 200)
    }

    fn delete(&self, request: &Request, name: &str) -> http_types::Result<Response> {
        let Some(Expected::Revision(revision)) = expected_of(request) else {
            return Ok(respond::error(428, "give If-Match"));
        };
        let mut objects = self.objects.lock().unwrap();
        let written = objects.delete(name, revision, Instant::now());
        drop(objects);
        if written == Written::Conflict(None) {
            return Ok(respond::empty(404));
        }
        self.finish_write(name, written, 204)
    }

    fn finish_write(
        &self,
        name: &str,
        written: Written,
        status: u16,
    ) -> http_types::Result<Response> {
        match written {
            Written::Conflict(current) => Ok(with_revision(412, current.unwrap_or(0))),
            Written::Done(revision) => {
                self.counts.effective_writes.fetch_add(1, Ordering::Relaxed);
                self.changed.notify(usize::MAX);
                let is_lost = self.behaviour.update(|it| {
                    name.starts_with(&it.object_prefix) && take_one(&mut it.lose_answers)
                });
                if is_lost {
                    return respond::cut();
                }
                Ok(with_revision(status, revision))
            }
        }
    }
}

impl Counters {
    fn of(&self, request: &Request, path: &str) -> &AtomicU64 {
        match (request.method(), path) {
            (Method::Put, _) => &self.puts,
            (Method::Delete, _) => &self.deletes,
            (_, "/hosts") => &self.hosts,
            (_, "/objects") => &self.lists,
            _ if respond::query(request, "watch").is_some() => &self.watches,
            _ => &self.gets,
        }
    }

    fn snapshot(&self) -> PlatformCounts {
        let load = |it: &AtomicU64| it.load(Ordering::Relaxed);
        PlatformCounts {
            gets: load(&self.gets),
            watches: load(&self.watches),
            puts: load(&self.puts),
            deletes: load(&self.deletes),
            lists: load(&self.lists),
            hosts: load(&self.hosts),
            effective_writes: load(&self.effective_writes),
            refused_by_rate: load(&self.refused_by_rate),
        }
    }
}

fn expected_of(request: &Request) -> Option<Expected> {
    if let Some(revision) = respond::header(request, "If-Match") {
        return revision.trim_matches('"').parse().ok().map(Expected::Revision);
    }
    respond::header(request, "If-None-Match").filter(|it| it == "*").map(|_| Expected::Absent)
}

fn with_revision(status: u16, revision: u64) -> Response {
    let mut response = respond::empty(status);
    response.insert_header("ETag", revision.to_string());
    response
}
