//! Soak test: changes of the charter in quick series while callers keep connections open, leave them
//! idle and send bodies slowly, and backend servers fall silent and go on, for single requests and as
//! a whole. In the end the entry host is stopped, while all this goes on. Every request that was sent
//! completely gets a final response.
//!
//! `SOAK_SEEDS=50` runs that many seeds in place of the few of CI.

mod entry_process;

use std::{
    collections::HashSet,
    io::{self, ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, encode_response, event_chunk, read_response, server_entry, stream_head, EntryProcess,
    API_KEY, HOST,
};
use serde_json::{json, Value};

/// The number of seeds without `SOAK_SEEDS`.
const DEFAULT_SEEDS: u64 = 2;
/// Time for which the charter changes before the entry host is stopped.
const CHANGE_TIME: Duration = Duration::from_secs(6);
/// Longest time between two charters.
const CHARTER_INTERVAL: Duration = Duration::from_millis(500);
/// The grace period of the entry host, longer than the timeouts of all routes; it exits 0.5 s before
/// its end.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Interval at which the exit is looked for.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after its last byte for which a request may cross the end of the process.
const CROSSING_TIME: Duration = Duration::from_millis(200);
const N_CALLERS: usize = 32;
/// Shortest time between two silences of backend servers, each as a whole.
const SILENCE_INTERVAL: Duration = Duration::from_millis(1500);
/// The idle timeouts that charters set.
const IDLE_TIMEOUTS_MS: [u64; 4] = [400, 700, 1200, 3000];
const END: &[u8] = b"0\r\n\r\n";

/// A request without a final response, as seen by its caller.
struct Unanswered {
    id: String,
    request: String,
    /// Time from the last byte of the request to the end of the connection.
    ended_after: Duration,
    ended: Instant,
    response: String,
}

/// Guards against losing an accepted request beside a change of the charter.
#[test]
fn no_request_is_unanswered() {
    let n_seeds = std::env::var("SOAK_SEEDS").ok().map_or(DEFAULT_SEEDS, |it| it.parse().unwrap());
    for seed in 1..=n_seeds {
        let (n_requests, unanswered) = run(seed);
        println!("seed {seed}: {n_requests} requests, {} unanswered", unanswered.len());
        assert!(n_requests > 100, "seed {seed}: only {n_requests} requests");
        for it in &unanswered {
            println!("{} after {:?}: {}", it.request, it.ended_after, it.response);
        }
        assert!(unanswered.is_empty(), "seed {seed}: {} unanswered", unanswered.len());
    }
}

/// Runs callers while the charter changes; returns the number of requests and those without a final
/// response.
fn run(seed: u64) -> (u64, Vec<Unanswered>) {
    let ledgers = [1, 2].map(|idx| ScriptedServer::start(ledger_script(seed * 10 + idx)).unwrap());
    // No other engine can take over its streams.
    let engines = [ScriptedServer::start(engine_script(seed * 10 + 3)).unwrap()];
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    for (service, servers) in [("ledger", &ledgers[..]), ("pool", &engines[..])] {
        for (idx, server) in servers.iter().enumerate() {
            let entry = server_entry(service, server.address(), "ready");
            store.put("servers", &format!("{service}-{idx}"), entry);
        }
    }
    let grace = format!("grace_s = {}", GRACE_PERIOD.as_secs());
    let mut entry = EntryProcess::start_with_all_bounds(store.address(), "entry-1", &grace);
    entry.wait_until_ready();
    let idle_timeout_ms = Arc::new(AtomicU64::new(3000));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_stopping = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..N_CALLERS)
        .map(|idx| {
            let mut caller = Caller {
                random: fastrand::Rng::with_seed(seed * 1000 + idx as u64),
                address: entry.callers,
                stream: None,
                idle_timeout_ms: idle_timeout_ms.clone(),
                is_stopping: is_stopping.clone(),
                n_requests: 0,
                unanswered: Vec::new(),
            };
            let is_over = is_over.clone();
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    caller.send_next(&format!("{idx}-{}", caller.n_requests));
                }
                (caller.n_requests, caller.unanswered)
            })
        })
        .collect();
    let servers: Vec<ScriptedServer> = ledgers.iter().chain(&engines).cloned().collect();
    let silences = {
        let (servers, is_over) = (servers.clone(), is_over.clone());
        thread::spawn(move || silence_servers(servers, seed * 10 + 4, &is_over))
    };
    let mut charters = ChangingCharters::new(seed, idle_timeout_ms);
    let exited = change_until_exit(&mut entry, &store, &mut charters, &is_stopping);
    is_over.store(true, Ordering::Relaxed);
    assert!(silences.join().unwrap() > 0, "seed {seed}: no backend server fell silent");
    let mut n_requests = 0;
    let mut unanswered = Vec::new();
    for caller in callers {
        let (n_sent, lost) = caller.join().unwrap();
        n_requests += n_sent;
        unanswered.extend(lost);
    }
    forgive_crossing(&mut unanswered, &servers, exited);
    (n_requests, unanswered)
}

/// Changes the charter, stops the entry host meanwhile and returns when it has exited.
fn change_until_exit(
    entry: &mut EntryProcess,
    store: &StoreStandin,
    charters: &mut ChangingCharters,
    is_stopping: &AtomicBool,
) -> Instant {
    let started = Instant::now();
    while started.elapsed() < CHANGE_TIME {
        thread::sleep(charters.change(store));
        assert!(!entry.has_exited(), "the process exited before it was stopped");
    }
    is_stopping.store(true, Ordering::Relaxed);
    entry.terminate();
    let stopped = Instant::now();
    let mut next_change = Instant::now();
    while !entry.has_exited() {
        assert!(stopped.elapsed() < GRACE_PERIOD, "the process runs longer than its grace period");
        if Instant::now() >= next_change {
            next_change = Instant::now() + charters.change(store);
        }
        thread::sleep(EXIT_CHECK_INTERVAL);
    }
    Instant::now()
}

/// Removes the requests that crossed the end of the process, if none of the servers has received them:
/// nobody has read these.
fn forgive_crossing(unanswered: &mut Vec<Unanswered>, servers: &[ScriptedServer], exited: Instant) {
    let received: HashSet<String> = servers
        .iter()
        .flat_map(|it| it.requests())
        .filter_map(|it| it.header("x-request-id").map(str::to_owned))
        .collect();
    unanswered.retain(|it| {
        let has_crossed = it.ended + CROSSING_TIME > exited
            && it.ended_after < CROSSING_TIME
            && it.response.is_empty();
        !has_crossed || received.contains(&it.id)
    });
}

/// Lets one backend server after the other fall silent for somewhat more or less than a second, while
/// others may still be silent; returns how often.
fn silence_servers(servers: Vec<ScriptedServer>, seed: u64, is_over: &AtomicBool) -> u32 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut n_silences = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(SILENCE_INTERVAL + Duration::from_millis(random.u64(..500)));
        servers[random.usize(..servers.len())].fall_silent(silence(&mut random));
        n_silences += 1;
    }
    n_silences
}

/// Charters that follow one another in quick series.
struct ChangingCharters {
    random: fastrand::Rng,
    next_number: u64,
    idle_timeout_ms: Arc<AtomicU64>,
}

impl ChangingCharters {
    fn new(seed: u64, idle_timeout_ms: Arc<AtomicU64>) -> ChangingCharters {
        let random = fastrand::Rng::with_seed(seed);
        ChangingCharters { random, next_number: 2, idle_timeout_ms }
    }

    /// Writes the next charter, tells callers its idle timeout once it is written, and returns the time
    /// until the next one.
    fn change(&mut self, store: &StoreStandin) -> Duration {
        let mut changed = charter(self.next_number);
        let idle_ms = IDLE_TIMEOUTS_MS[self.random.usize(..IDLE_TIMEOUTS_MS.len())];
        changed["limits"]["idle-timeout-ms"] = json!(idle_ms);
        change_routes(&mut changed, &mut self.random);
        store.put("config", "main", changed);
        self.idle_timeout_ms.store(idle_ms, Ordering::Relaxed);
        self.next_number += self.random.u64(1..5);
        let interval_ms = self.random.u64(5..CHARTER_INTERVAL.as_millis() as u64);
        Duration::from_millis(interval_ms)
    }
}

/// Changes timeouts, drops a route or a key, or adds routes.
fn change_routes(charter: &mut Value, random: &mut fastrand::Rng) {
    let routes = charter["routes"].as_array_mut().unwrap();
    for route in routes.iter_mut() {
        // A request may meet two silences in a row, its own and that of its backend server.
        route["timeout-ms"] = json!(random.u64(4000..5500));
    }
    if random.u8(..4) == 0 {
        routes.remove(random.usize(..routes.len()));
    }
    for idx in 0..random.usize(..60) {
        let mut route = routes[0].clone();
        route["name"] = json!(format!("more-{idx}"));
        route["path-prefix"] = json!(format!("/more-{idx}/"));
        routes.push(route);
    }
    if random.u8(..4) == 0 {
        charter["tenants"][0]["api-keys"] = json!(["another-key"]);
    }
}

/// A caller that sends one request after the other, mostly on the same connection.
struct Caller {
    random: fastrand::Rng,
    address: SocketAddr,
    stream: Option<TcpStream>,
    idle_timeout_ms: Arc<AtomicU64>,
    is_stopping: Arc<AtomicBool>,
    n_requests: u64,
    unanswered: Vec<Unanswered>,
}

impl Caller {
    /// Sends a request, reads its response and leaves the connection idle for a while.
    fn send_next(&mut self, id: &str) {
        let mut stream = match self.stream.take().filter(is_open) {
            Some(stream) => stream,
            None => match connect(self.address) {
                Ok(stream) => stream,
                Err(err) => {
                    let is_stopping = self.is_stopping.load(Ordering::Relaxed);
                    assert!(is_stopping, "a host that serves refused a connection: {err}");
                    return thread::sleep(Duration::from_millis(10));
                }
            },
        };
        let (head, body) = self.next_request(id);
        // A connection that the host closes while the request is sent is not used for the request.
        if stream.write_all(&head).is_err() || !self.send_slowly(&mut stream, &body) {
            return;
        }
        self.n_requests += 1;
        let sent = Instant::now();
        let response = read_response(&mut stream);
        if !response.is_complete() {
            self.unanswered.push(Unanswered {
                id: id.to_owned(),
                request: String::from_utf8_lossy(&head).into_owned(),
                ended_after: sent.elapsed(),
                ended: Instant::now(),
                response: response.text(),
            });
            return;
        }
        let idle_ms = self.idle_timeout_ms.load(Ordering::Relaxed) * 4 / 5;
        if self.random.u8(..4) == 0 {
            thread::sleep(Duration::from_millis(self.random.u64(..idle_ms)));
        }
        let closes = response.text().contains("Connection: close");
        self.stream = Some(stream).filter(|_| !closes);
    }

    /// Returns the head and the body of the next request.
    fn next_request(&mut self, id: &str) -> (Vec<u8>, Vec<u8>) {
        let target = ["POST /hold/1", "GET /stock/1", "POST /draft/1"][self.random.usize(..3)];
        let body = vec![b'x'; if target.starts_with("GET") { 0 } else { self.random.usize(..300) }];
        let head = format!(
            "{target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n\
             Authorization: Bearer {API_KEY}\r\nContent-Length: {}\r\nX-Model: lots\r\n\
             X-Token-Counts: 200,20\r\n\r\n",
            body.len()
        );
        (head.into_bytes(), body)
    }

    /// Sends the body in parts, sometimes with pauses; returns `false` if the connection failed.
    fn send_slowly(&mut self, stream: &mut TcpStream, body: &[u8]) -> bool {
        let is_slow = self.random.u8(..3) == 0;
        for part in body.chunks(100) {
            if is_slow {
                thread::sleep(Duration::from_millis(self.random.u64(..200)));
            }
            if stream.write_all(part).is_err() {
                return false;
            }
        }
        true
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    stream.set_nodelay(true).unwrap();
    Ok(stream)
}

/// Returns `true` unless the other side has closed the idle connection.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let res = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    matches!(res, Err(err) if err.kind() == ErrorKind::WouldBlock)
}

/// A service that is sometimes silent for somewhat more than a second.
fn ledger_script(seed: u64) -> impl Fn(&RawRequest) -> Vec<Step> {
    let random = Mutex::new(fastrand::Rng::with_seed(seed));
    move |request| {
        let pause = pause(&mut random.lock().unwrap());
        vec![pause, Step::Send(encode_response(request, 200, "held"))]
    }
}

/// An engine whose streams are sometimes silent once, for somewhat more than a second.
fn engine_script(seed: u64) -> impl Fn(&RawRequest) -> Vec<Step> {
    let random = Mutex::new(fastrand::Rng::with_seed(seed));
    move |request| {
        let mut random = random.lock().unwrap();
        let first = request.header("last-event-id").map_or(1, |it| it.parse::<u32>().unwrap() + 1);
        let silent_before = first + random.u32(..5 - first.min(4));
        let mut steps = vec![Step::Send(stream_head(request))];
        for number in first..=4 {
            if number == silent_before {
                steps.push(pause(&mut random));
            }
            steps.push(Step::Send(event_chunk(number)));
        }
        steps.push(Step::Send(END.to_vec()));
        steps
    }
}

fn pause(random: &mut fastrand::Rng) -> Step {
    match random.u8(..12) == 0 {
        true => Step::Pause(silence(random)),
        false => Step::Pause(Duration::from_millis(random.u64(..20))),
    }
}

/// Returns the time for which a sound backend server may be silent.
fn silence(random: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(random.u64(900..1300))
}
