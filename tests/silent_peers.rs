//! Callers and backend servers that acknowledge nothing any more, as after the loss of their machine.

mod entry_process;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use crocustiller::http1::{AckStatus, PeerSilence};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter_with_timeout, event_chunk, read_response, request_head, server_entry, stream_head,
    EntryProcess,
};
use socket2::{SockFilter, SockRef};

/// Time within which a peer that acknowledges nothing must be noticed.
const NOTICE_TIME: Duration = Duration::from_millis(4500);
/// The instruction of a packet filter that accepts no bytes of any packet.
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);
/// Time for which requests may take.
const TIMEOUT_MS: u64 = 20_000;
/// Length of a body that does not fit into the buffers of a connection that nobody reads.
const LONG_BODY_BYTES: usize = 4_000_000;
/// Interval between two observations of a connection.
const STEP: Duration = Duration::from_millis(500);

/// Guards against an engine that generates for a caller whose machine is gone.
#[test]
fn silent_caller_is_noticed() {
    let (_store, entry, engine) = start_stream_of(Vec::new(), Duration::from_millis(100));
    let mut caller = send_stream_request(&entry);
    read_start(&mut caller);
    fall_silent(&caller);
    assert_ended_in_time(&engine, NOTICE_TIME);
}

/// Guards against a request that runs for a caller whose machine is gone, while nothing that was sent
/// to the caller waits for an acknowledgement.
#[test]
fn silent_waiting_caller_is_noticed() {
    let (server, disconnected) = start_hanging_server();
    let (_store, entry) = start_entry("ledger", server);
    let mut caller = entry.connect();
    let headers = "Content-Length: 0\r\n";
    caller.write_all(&request_head("POST", "/hold/1", "waiting", TIMEOUT_MS, headers)).unwrap();
    thread::sleep(Duration::from_millis(500));
    fall_silent(&caller);
    assert!(disconnected.recv_timeout(NOTICE_TIME).is_ok(), "not noticed within {NOTICE_TIME:?}");
}

/// Guards against taking a caller whose machine is gone for one that reads late.
#[test]
fn late_reader_that_falls_silent_is_noticed() {
    let data = "x".repeat(50_000);
    let event = format!("data: {data}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let (_store, entry, engine) = start_stream_of(chunk.into_bytes(), Duration::ZERO);
    let caller = send_stream_request(&entry);
    thread::sleep(Duration::from_millis(1000));
    fall_silent(&caller);
    // The next probe of the closed window may come 2 s later.
    assert_ended_in_time(&engine, NOTICE_TIME + Duration::from_millis(2000));
}

/// Guards against waiting until the deadline for a backend server whose machine is gone.
#[test]
fn silent_server_is_noticed() {
    let (_store, entry) = start_entry("ledger", start_silent_server());
    let mut caller = entry.connect();
    let headers = format!("Content-Length: {LONG_BODY_BYTES}\r\n");
    caller.write_all(&request_head("POST", "/hold/1", "silent", TIMEOUT_MS, &headers)).unwrap();
    caller.write_all(&vec![b'x'; LONG_BODY_BYTES]).unwrap();
    let sent = Instant::now();
    let response = read_response(&mut caller);
    assert_eq!(response.status(), 502, "{}", response.text());
    assert!(sent.elapsed() < NOTICE_TIME, "{:?}", sent.elapsed());
}

/// Guards against breaking a connection whose peer reads nothing but acknowledges probes of its
/// closed window, however rare they have become.
#[test]
fn answered_probes_are_no_silence() {
    let (start, mut silence) = start_of_silence();
    for step in 1..600 {
        let since_ack = STEP * (step % 120);
        let status = AckStatus { n_unacked: 0, n_probes: 0, since_send: STEP * step, since_ack };
        assert!(!silence.observe(status, start + STEP * step), "step {step}");
    }
}

/// As above, with bytes on the way for which the peer has no room.
#[test]
fn answered_repetitions_are_no_silence() {
    let (start, mut silence) = start_of_silence();
    for step in 1..600 {
        let since_ack = STEP * (step % 120);
        let status = AckStatus { n_unacked: 2, n_probes: 0, since_send: since_ack, since_ack };
        assert!(!silence.observe(status, start + STEP * step), "step {step}");
    }
}

/// Guards against counting the time for which this host was paused.
#[test]
fn pause_of_own_host_is_no_silence() {
    let (start, mut silence) = start_of_silence();
    let unanswered =
        |since_ack| AckStatus { n_unacked: 1, n_probes: 0, since_send: Duration::ZERO, since_ack };
    assert!(!silence.observe(unanswered(STEP * 2), start + STEP));
    let pause = Duration::from_secs(60);
    assert!(!silence.observe(unanswered(STEP * 2 + pause), start + STEP + pause));
}

/// Guards against never giving up a peer whose unanswered probes become rare.
#[test]
fn unanswered_probes_are_silence() {
    let (start, mut silence) = start_of_silence();
    let noticed = (1..20).find(|step| {
        let since_ack = STEP * (*step + 100);
        let status = AckStatus { n_unacked: 0, n_probes: 1, since_send: since_ack, since_ack };
        silence.observe(status, start + STEP * *step)
    });
    assert_eq!(noticed, Some(7));
}

fn start_of_silence() -> (Instant, PeerSilence) {
    let start = Instant::now();
    (start, PeerSilence::new(start))
}

/// Starts an entry host and an engine that sends `chunk`, or else numbered events, again and again
/// with a pause after each.
fn start_stream_of(
    chunk: Vec<u8>,
    pause: Duration,
) -> (StoreStandin, EntryProcess, ScriptedServer) {
    let script = move |request: &RawRequest| {
        let mut steps = vec![Step::Send(stream_head(request)), Step::Send(event_chunk(1))];
        for number in 2..200 {
            let bytes = if chunk.is_empty() { event_chunk(number) } else { chunk.clone() };
            steps.extend([Step::Send(bytes), Step::Pause(pause)]);
        }
        steps
    };
    let engine = ScriptedServer::start(script).unwrap();
    let (store, entry) = start_entry("pool", engine.address());
    (store, entry, engine)
}

fn start_entry(service: &str, server: SocketAddr) -> (StoreStandin, EntryProcess) {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter_with_timeout(TIMEOUT_MS));
    store.put("servers", &format!("{service}-0"), server_entry(service, server, "ready"));
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    (store, entry)
}

/// Waits until the engine's connection is closed, which must take some time and at most `limit`.
fn assert_ended_in_time(engine: &ScriptedServer, limit: Duration) {
    let started = Instant::now();
    assert_eq!(engine.n_open_connections(), 1);
    while engine.n_open_connections() > 0 {
        assert!(started.elapsed() < limit, "not noticed within {limit:?}");
        thread::sleep(Duration::from_millis(20));
    }
    assert!(started.elapsed() > Duration::from_millis(2000), "{:?}", started.elapsed());
}

fn send_stream_request(entry: &EntryProcess) -> TcpStream {
    let mut caller = entry.connect();
    let headers = "Content-Length: 0\r\n";
    caller.write_all(&request_head("POST", "/draft/1", "stream", TIMEOUT_MS, headers)).unwrap();
    caller
}

fn read_start(stream: &mut TcpStream) {
    let n_read = stream.read(&mut [0; 1024]).unwrap();
    assert!(n_read > 0);
}

/// Drops all packets that arrive at a socket from now on, so that none is acknowledged.
fn fall_silent(stream: &TcpStream) {
    SockRef::from(stream).attach_filter(&[DROP_ALL]).unwrap();
}

/// Starts a server that acknowledges nothing after the start of the first request.
fn start_silent_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_start(&mut stream);
        fall_silent(&stream);
        thread::sleep(Duration::from_secs(30));
    });
    address
}

/// Starts a server that does not answer the first request, and tells when its client has left.
fn start_hanging_server() -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (disconnected, receiver) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        while stream.read(&mut [0; 1024]).is_ok_and(|it| it > 0) {}
        disconnected.send(()).unwrap();
    });
    (address, receiver)
}
