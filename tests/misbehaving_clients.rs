//! Clients outside the limits at each port of an entry host: it lives on, within its memory and its
//! descriptors, and serves ordinary callers.

mod crowd;
mod entry_process;

use std::{
    net::{SocketAddr, TcpStream},
    sync::PoisonError,
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use crowd::{Crowd, CROWD};
use entry_process::{
    charter, encode_response, request, request_head, server_entry, EntryProcess, HOST,
};
use serde_json::json;

/// Descriptors of an entry host that may have only a few.
const N_DESCRIPTORS: u64 = 256;
/// Clients that are more than its descriptors.
const N_CLIENTS: usize = 300;
/// Clients that are many for the memory of an entry host.
const N_MANY_CLIENTS: usize = 1_500;
/// Clients whose unread lists of 1 MB are many for that memory.
const N_LIST_CLIENTS: usize = 60;
/// Memory of an entry host that has little.
const MEMORY_MB: u64 = 64;
/// Time that the service takes for a slow request.
const SLOW_TIME: Duration = Duration::from_secs(4);
/// Time within which a process ends after SIGTERM, a multiple of its grace period.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry host in front of a sound server of the service `ledger`.
struct Site {
    _ledger: ScriptedServer,
    store: StoreStandin,
    entry: EntryProcess,
}

impl Site {
    fn start(n_descriptors: Option<u64>) -> Site {
        let ledger = ScriptedServer::start(|it: &RawRequest| match it.target.as_str() {
            "/hold/slow" => {
                vec![Step::Pause(SLOW_TIME), Step::Send(encode_response(it, 200, "late"))]
            }
            _ => vec![Step::Send(encode_response(it, 200, "own"))],
        })
        .unwrap();
        let store = StoreStandin::start().unwrap();
        let mut charter = charter(1);
        charter["limits"] = json!({
            "max-header-bytes": 16_384, "max-body-bytes": 4_194_304, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        });
        charter["services"][0]["max-connections"] = json!(1_000);
        store.put("config", "main", charter);
        store.put("servers", "ledger-1", server_entry("ledger", ledger.address(), "ready"));
        let entry = EntryProcess::start_with_limits(store.address(), MEMORY_MB, n_descriptors);
        entry.wait_until_ready();
        Site { _ledger: ledger, store, entry }
    }

    /// Checks that the process is within its limits, and that an ordinary request and a readiness check
    /// are answered.
    fn check(&mut self, what: &str) {
        assert!(!self.entry.has_exited(), "{what}: the process has ended");
        let peak_kb = self.entry.peak_memory_kb();
        println!("{what}: peak_kb={peak_kb} descriptors={}", self.entry.n_descriptors());
        assert!(peak_kb < MEMORY_MB << 10, "{what}: {peak_kb} kB");
        let response = self.entry.exchange(&request("GET", "/stock/1", "ordinary", ""));
        let log = || std::fs::read_to_string(self.entry.log_path()).unwrap();
        assert_eq!(response.status(), 200, "{what}: {}{}", response.text(), log());
        assert_eq!(self.entry.readiness_status(), 200, "{what}");
    }

    fn ports(&self) -> [(&'static str, SocketAddr); 5] {
        let EntryProcess { callers, readiness, directory, peers, metrics, .. } = self.entry;
        [
            ("callers", callers),
            ("readiness", readiness),
            ("directory", directory),
            ("peers", peers),
            ("metrics", metrics),
        ]
    }
}

/// Opens a crowd at each port of an entry host of its own, and checks it while the crowd is there.
fn check_each_port(n_descriptors: Option<u64>, n_clients: usize, bytes: &[u8]) {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let mut failures = Vec::new();
    for idx in 0..5 {
        let check = || {
            let mut site = Site::start(n_descriptors);
            let (name, address) = site.ports()[idx];
            let crowd = Crowd::open(n_clients, address, bytes);
            site.check(&format!("{name} clients={}", crowd.clients.len()));
        };
        if std::panic::catch_unwind(check).is_err() {
            failures.push(idx);
        }
    }
    assert!(failures.is_empty(), "ports {failures:?} of the list in `Site::ports`");
}

/// Guards against idle connections that use up the descriptors which backend servers need.
#[test]
fn idle_clients_leave_descriptors() {
    check_each_port(Some(N_DESCRIPTORS), N_CLIENTS, b"");
}

/// Guards against heads without end that use up the descriptors.
#[test]
fn slow_heads_leave_descriptors() {
    let head = format!("GET /stock/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Slow: ");
    check_each_port(Some(N_DESCRIPTORS), N_CLIENTS, head.as_bytes());
}

/// Guards against heads that fill the memory: they stop just short of their end.
#[test]
fn long_heads_fill_no_memory() {
    let head = format!("GET /v1/none HTTP/1.1\r\nHost: {HOST}\r\nX-Long: {}", "x".repeat(16_200));
    check_each_port(None, N_MANY_CLIENTS, head.as_bytes());
}

/// Guards against bodies that fill the memory on ports that need none: they stop just short of the 64 KiB
/// that the ports for readiness, directory and metrics read.
#[test]
fn bodies_fill_no_memory() {
    let head = request_head("POST", "/v1/none", "body", 3_000, "Content-Length: 65000\r\n");
    check_each_port(None, N_MANY_CLIENTS, &[head, vec![b'x'; 64_900]].concat());
}

/// Guards against TLS on a plain port, as bytes that are no HTTP.
#[test]
fn tls_bytes_are_refused() {
    let hello = [b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".as_slice(), &[7; 506]].concat();
    check_each_port(Some(N_DESCRIPTORS), N_CLIENTS, &hello);
}

/// Guards against responses to pipelined requests that nobody reads.
#[test]
fn unread_responses_fill_no_memory() {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(Some(N_DESCRIPTORS));
    let requests = format!("GET /v1/none HTTP/1.1\r\nHost: {HOST}\r\n\r\n").repeat(3_000);
    let crowds = site.ports().map(|it| Crowd::open(N_CLIENTS / 5, it.1, requests.as_bytes()));
    site.check(&format!(
        "unread clients={}",
        crowds.iter().map(|it| it.clients.len()).sum::<usize>()
    ));
}

/// Guards against bytes that are sent ahead behind slow requests and take the memory which the bodies of
/// other callers need.
#[test]
fn bytes_ahead_leave_room_for_bodies() {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(None);
    let slow = request("POST", "/hold/slow", "slow", "");
    let crowd = Crowd::open(N_CLIENTS, site.entry.callers, &[slow, vec![b'x'; 64 << 10]].concat());
    let body = vec![b'x'; 30_000];
    let head = request_head("GET", "/stock/1", "body", 3_000, "Content-Length: 30000\r\n");
    let response = site.entry.exchange(&[head, body].concat());
    assert_eq!(response.status(), 200, "{}", response.text());
    site.check(&format!("bytes ahead clients={}", crowd.clients.len()));
}

/// Guards against long lists that are asked for at the port for peers and not read.
#[test]
fn unread_lists_fill_no_memory() {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(None);
    site.store.put("config", "spare", json!({ "text": "x".repeat(1 << 20) }));
    thread::sleep(Duration::from_secs(1));
    let requests = b"GET /v1/objects/config HTTP/1.1\r\nHost: x\r\n\r\n".repeat(8);
    let crowd = Crowd::open(N_LIST_CLIENTS, site.entry.peers, &requests);
    thread::sleep(Duration::from_secs(2));
    site.check(&format!("unread lists clients={}", crowd.clients.len()));
}

/// Guards against clients of several kinds at once, and against a process that doesn't end because of
/// them.
#[test]
fn mixed_clients_delay_no_exit() {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(Some(N_DESCRIPTORS));
    let none = format!("GET /v1/none HTTP/1.1\r\nHost: {HOST}\r\n");
    let body = request_head("POST", "/hold/1", "body", 3_000, "Content-Length: 65000\r\n");
    let chunks = request_head("POST", "/hold/1", "chunks", 3_000, "Transfer-Encoding: chunked\r\n");
    let kinds = [
        Vec::new(),
        none.clone().into_bytes(),
        (none.clone() + "\r\n").repeat(1_000).into_bytes(),
        [body, vec![b'x'; 64_900]].concat(),
        [chunks, b"1;extension=of-a-chunk\r\nx\r\n".repeat(2_000)].concat(),
        (none + &"A: b\r\n".repeat(5_000)).into_bytes(),
        b"\x16\x03\x01\x02\x00".to_vec(),
    ];
    let mut crowds = Vec::new();
    for (_, address) in site.ports() {
        crowds.extend(kinds.iter().map(|it| Crowd::open(20, address, it)));
    }
    site.entry.hang_up();
    site.check("mixed");
    site.entry.terminate();
    let stopped = Instant::now();
    while !site.entry.has_exited() {
        assert!(stopped.elapsed() < EXIT_TIMEOUT, "the process does not end");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against connections that are reset or closed for writing and stay counted.
#[test]
fn resets_leave_nothing_behind() {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(Some(N_DESCRIPTORS));
    for (_, address) in site.ports() {
        for _ in 0..3 {
            let crowd = Crowd::open(100, address, b"GET /v1/none HTTP/1.1\r\n");
            let reset = |it: &TcpStream| {
                socket2::SockRef::from(it).set_linger(Some(Duration::ZERO)).unwrap();
            };
            crowd.clients.iter().for_each(reset);
        }
        let crowd = Crowd::open(100, address, b"GET /v1/none HTTP/1.1\r\n");
        crowd.clients.iter().for_each(|it| drop(it.shutdown(std::net::Shutdown::Write)));
        site.check("reset");
    }
}

/// Guards against requests sent ahead to the directory that keep the process from serving callers: there is
/// always a next one to answer without waiting.
#[test]
fn requests_ahead_at_directory_starve_no_caller() {
    check_requests_ahead(2);
}

/// Guards against the same at the port for callers, by requests without a route.
#[test]
fn requests_ahead_starve_no_caller() {
    check_requests_ahead(0);
}

/// Checks that an ordinary request is answered while many clients send requests ahead to a port.
fn check_requests_ahead(port_idx: usize) {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(None);
    let (name, address) = site.ports()[port_idx];
    let target = "/v1/resolve?region=south&zone=depot";
    let requests = format!("GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n").repeat(80_000);
    thread::scope(|scope| {
        let crowd = scope.spawn(|| Crowd::send(100, address, requests.as_bytes()));
        thread::sleep(Duration::from_secs(1));
        site.check(&format!("requests ahead at {name}"));
        crowd.join().unwrap();
    });
}
