//! Callers and other processes that send bytes without end; everyone else is still served.

mod entry_process;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::ScriptedServer;
use entry_process::{complete_response, request, Deployment, HOST};

/// Memory that an entry host may have used after the test, in kilobytes.
const MAX_MEMORY_KB: u64 = 64 << 10;
/// Time within which other callers are answered meanwhile.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1000);
const N_SENDERS: usize = 3;
/// Time within which a connection that sends without end is closed: twice the header timeout and the
/// time for the caller to read the last response, or the idle timeout of small endpoints.
const MAX_OPEN_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Port {
    Callers,
    Directory,
    Peers,
}

#[test]
fn endless_bytes_after_refusal() {
    flood(Port::Callers, "nonsense\r\n\r\n", b"0123456789abcdef");
}

#[test]
fn endless_request_trailers() {
    let start =
        format!("POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    flood(Port::Callers, &start, b"X-Filler: 0123\r\n");
}

#[test]
fn endless_request_head() {
    flood(Port::Callers, "GET / HTTP/1.1\r\n", b"X-Filler: 0123\r\n");
}

#[test]
fn endless_directory_trailers() {
    let start = "GET /v1/resolve HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    flood(Port::Directory, start, b"X-Filler: 0123\r\n");
}

#[test]
fn endless_watcher_head() {
    flood(Port::Peers, "GET /v1/objects/config HTTP/1.1\r\n", b"X-Filler: 0123\r\n");
}

/// Connections that send `start` and then `endless` until they are closed delay no other caller, and
/// are closed in time.
fn flood(port: Port, start: &str, endless: &[u8]) {
    let ledger = ScriptedServer::start(complete_response("own")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let entry = &deployment.entry;
    let address = match port {
        Port::Callers => entry.callers,
        Port::Directory => entry.directory,
        Port::Peers => entry.peers,
    };
    let senders: Vec<_> = (0..N_SENDERS)
        .map(|_| {
            let bytes = (start.to_owned().into_bytes(), endless.repeat(4096));
            std::thread::spawn(move || send_endlessly(address, &bytes.0, &bytes.1))
        })
        .collect();
    for number in 0..10 {
        std::thread::sleep(Duration::from_millis(100));
        let started = Instant::now();
        let response = entry.exchange(&request("GET", "/stock/1", &format!("sound-{number}"), ""));
        assert_eq!(response.status(), 200, "{}", response.text());
        assert!(started.elapsed() < MAX_RESPONSE_TIME, "{:?}", started.elapsed());
    }
    let open_times: Vec<Option<Duration>> =
        senders.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(open_times.iter().all(Option::is_some), "connections stayed open: {open_times:?}");
    assert!(entry.peak_memory_kb() < MAX_MEMORY_KB, "{} kB", entry.peak_memory_kb());
}

/// Returns the time until the connection was closed, or `None` if it stayed open too long.
fn send_endlessly(address: SocketAddr, start: &[u8], endless: &[u8]) -> Option<Duration> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(Duration::from_secs(4))).unwrap();
    let started = Instant::now();
    drop(stream.write_all(start));
    while stream.write_all(endless).is_ok() {
        if started.elapsed() > MAX_OPEN_TIME {
            return None;
        }
    }
    Some(started.elapsed())
}
