//! Soak test: an engine names a limit while entry hosts are killed, suspended, stopped and replaced in
//! overlapping series, and callers keep using open connections. All hosts together stay below the bound.
//!
//! `SOAK_SEEDS=50` runs that many seeds in place of the few of CI.

mod entry_process;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{ScriptedServer, StoreStandin};
use entry_process::{
    charter,
    limited_server::with_limit,
    pausing_server::{whole_response, STREAM_HEADERS},
    read_response, request, server_entry, EntryProcess,
};
use fastrand::Rng;

const MS: Duration = Duration::from_millis(1);
/// The number of seeds without `SOAK_SEEDS`.
const DEFAULT_SEEDS: u64 = 2;
const N_HOSTS: usize = 4;
const N_CALLERS: usize = 12;
/// Time for which the engine names no limit at first.
const UNLIMITED_TIME: Duration = Duration::from_millis(1000);
/// Time for which it names one.
const LIMITED_TIME: Duration = Duration::from_millis(11_000);
/// Time after it first named its limit from which the bound holds.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// Time after a response with a limit from which the requests of a host count.
const TOLD_TIME: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);

/// A request at the engine.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    /// Address of the entry host's process.
    host: String,
}

/// The engine, its limit and what it got.
#[derive(Default)]
struct Engine {
    arrivals: Mutex<Vec<Arrival>>,
    /// Time from which it names a limit.
    named: Mutex<Option<Instant>>,
}

/// Guards against a host that starts, comes back or takes engines over, and sends as if no other host
/// sent.
#[test]
fn bound_under_restarts() {
    let n_seeds = std::env::var("SOAK_SEEDS").ok().map_or(DEFAULT_SEEDS, |it| it.parse().unwrap());
    for seed in 1..=n_seeds {
        let max_requests_per_s = [0.5, 1.0, 1.6, 3.0, 8.0][seed as usize % 5];
        let (engine, n_served) = run(seed, max_requests_per_s);
        let (most, n_arrivals) = check(&engine, max_requests_per_s, seed);
        println!("seed {seed}: limit {max_requests_per_s}, {n_arrivals} arrivals, at most {most}");
        assert!(n_served > 300, "seed {seed}: only {n_served} requests are served");
    }
}

/// Checks all windows; returns the most requests in one, and the number of all.
fn check(engine: &Engine, max_requests_per_s: f64, seed: u64) -> (usize, usize) {
    let arrivals = engine.arrivals.lock().unwrap();
    let named = engine.named.lock().unwrap().unwrap();
    let limited: Vec<&Arrival> = arrivals.iter().filter(|it| it.at >= named).collect();
    // The engine responds at once.
    let is_told = |it: &&&Arrival| {
        let first = limited.iter().find(|other| other.host == it.host).unwrap();
        it.at >= first.at + TOLD_TIME
    };
    let counted: Vec<Instant> = limited.iter().filter(is_told).map(|it| it.at).collect();
    let allowed = 1.5 * max_requests_per_s * WINDOW.as_secs_f64() + 5.0;
    let mut most = 0;
    for end in (0..=160).map(|it| named + CONTACT_TIME + 50 * it * MS) {
        let n_requests = counted.iter().filter(|it| **it <= end && **it + WINDOW > end).count();
        most = most.max(n_requests);
        assert!(
            n_requests as f64 <= allowed,
            "seed {seed}: {n_requests} requests until {:?}, {allowed} are allowed: {limited:?}",
            end - named
        );
    }
    (most, limited.len())
}

/// Runs callers and changes of the hosts; returns the engine, and the number of requests served.
fn run(seed: u64, max_requests_per_s: f64) -> (Arc<Engine>, usize) {
    let engine = Arc::new(Engine::default());
    let limited = start_engine(&engine, max_requests_per_s);
    let sound = ScriptedServer::start(whole_response).unwrap();
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    for (name, server) in [("pool-0", &limited), ("pool-1", &sound)] {
        store.put("servers", name, server_entry("pool", server.address(), "ready"));
    }
    let mut hosts: Vec<EntryProcess> =
        (0..N_HOSTS).map(|it| EntryProcess::start(&store, &format!("entry-{it}"))).collect();
    hosts.iter().for_each(EntryProcess::wait_until_ready);
    let addresses: Vec<SocketAddr> = hosts.iter().map(|it| it.callers).collect();
    let is_over = AtomicBool::new(false);
    let n_served = AtomicUsize::new(0);
    thread::scope(|scope| {
        for caller in 0..N_CALLERS {
            let (addresses, is_over, n_served) = (&addresses, &is_over, &n_served);
            scope.spawn(move || call(caller, addresses, is_over, n_served));
        }
        thread::sleep(UNLIMITED_TIME);
        *engine.named.lock().unwrap() = Some(Instant::now());
        change_hosts(seed, &store, &mut hosts);
        is_over.store(true, Ordering::Relaxed);
    });
    (engine, n_served.into_inner())
}

/// Starts the server of an engine that records all requests.
fn start_engine(engine: &Arc<Engine>, max_requests_per_s: f64) -> ScriptedServer {
    let engine = engine.clone();
    let limit = max_requests_per_s.to_string();
    ScriptedServer::start(move |request| {
        let host = request.header("x-sent-to").unwrap_or_default().to_owned();
        engine.arrivals.lock().unwrap().push(Arrival { at: Instant::now(), host });
        let is_limited = engine.named.lock().unwrap().is_some();
        match is_limited {
            true => with_limit(whole_response(request), &limit),
            false => whole_response(request),
        }
    })
    .unwrap()
}

/// Sends requests on one connection for as long as it stays open, then on one to another host.
fn call(caller: usize, addresses: &[SocketAddr], is_over: &AtomicBool, n_served: &AtomicUsize) {
    let mut connection: Option<(SocketAddr, TcpStream)> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let (address, mut stream) = match connection.take() {
            Some(open) => open,
            None => {
                let address = addresses[(caller + number) % N_HOSTS];
                let Ok(stream) = TcpStream::connect_timeout(&address, 300 * MS) else { continue };
                stream.set_read_timeout(Some(8000 * MS)).unwrap();
                (address, stream)
            }
        };
        let headers = format!("{STREAM_HEADERS}X-Sent-To: {address}\r\n");
        let bytes = request("POST", "/draft/1", &format!("{caller}-{number}"), &headers);
        if stream.write_all(&bytes).is_err() {
            continue;
        }
        let response = read_response(&mut stream);
        n_served.fetch_add(usize::from(response.status() == 200), Ordering::Relaxed);
        let closes = response.is_closed || response.text().contains("Connection: close");
        connection = (!closes).then_some((address, stream));
        thread::sleep(20 * MS);
    }
}

/// Kills, suspends and stops hosts in overlapping series, and replaces those that have ended.
fn change_hosts(seed: u64, store: &StoreStandin, hosts: &mut [EntryProcess]) {
    let mut random = Rng::with_seed(seed);
    let started = Instant::now();
    let mut suspended: Vec<(Instant, usize)> = Vec::new();
    while started.elapsed() < LIMITED_TIME {
        let host = random.usize(0..N_HOSTS);
        match random.u8(0..4) {
            0 => hosts[host].signal("KILL"),
            1 => hosts[host].terminate(),
            2 => {
                hosts[host].suspend();
                suspended.push((Instant::now() + random.u32(200..1500) * MS, host));
            }
            _ => store.put("config", "main", charter(2 + started.elapsed().as_millis() as u64)),
        }
        thread::sleep(random.u32(200..1800) * MS);
        let (ended, still): (Vec<_>, Vec<_>) =
            suspended.drain(..).partition(|it| it.0 <= Instant::now());
        ended.iter().for_each(|it| hosts[it.1].resume());
        suspended = still;
        for (idx, host) in hosts.iter_mut().enumerate() {
            if host.has_exited() {
                suspended.retain(|it| it.1 != idx);
                host.restart();
            }
        }
    }
    suspended.iter().for_each(|it| hosts[it.1].resume());
}
