//! Callers whose bodies are within the limit, but are so many that the memory of an entry host would
//! not hold them; it lives on and serves everyone else.

mod entry_process;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, charter_with_timeout, complete_response, encode_response,
    pausing_server::whole_stream, read_response, request, request_head, server_entry, EntryProcess,
};
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// The least memory of an entry host on any site.
const MEMORY_MB: u64 = 160;
/// Time within which other callers are answered meanwhile.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1000);
const BODY_BYTES: usize = 1_000_000;
const LONG_BODY_BYTES: usize = 8_000_000;
const N_CALLERS: usize = 250;
const N_EARLY_CALLERS: usize = 800;
const EARLY_BYTES: usize = 80 << 10;

/// Held during a flood: two at once would need more processor time than a host has.
static FLOOD: Mutex<()> = Mutex::new(());

/// What a caller got.
#[derive(Debug)]
struct Received {
    id: String,
    status: u16,
    is_not_run: bool,
    has_retry_after: bool,
}

#[test]
fn incomplete_bodies_fill_no_memory() {
    let received = flood(BODY_BYTES - 1, complete_response("own"));
    let is_true = |it: &Received| match it.status {
        408 => it.is_not_run,
        _ => it.status == 503 && it.is_not_run && it.has_retry_after,
    };
    assert!(received.iter().all(is_true), "{received:?}");
}

/// A body within the charter's limit is refused only if the host can't hold it.
#[test]
fn long_body_is_refused() {
    let ledger = ScriptedServer::start(complete_response("own")).unwrap();
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter_with_timeout(2500));
    store.put("servers", "ledger", server_entry("ledger", ledger.address(), "ready"));
    let entry = EntryProcess::start_with_memory(store.address(), "entry-1", MEMORY_MB);
    entry.wait_until_ready();
    let headers = format!("Content-Length: {LONG_BODY_BYTES}\r\n");
    let head = request_head("POST", "/hold/1", "long", 3000, &headers);
    let response = entry.exchange(&[head, vec![b'x'; LONG_BODY_BYTES]].concat());
    assert_eq!(response.status(), 200, "{}", response.text());
}

/// Complete requests whose service takes its time.
#[test]
fn waiting_bodies_fill_no_memory() {
    let received = flood(BODY_BYTES, |request| {
        vec![
            Step::Pause(Duration::from_millis(1500)),
            Step::Send(encode_response(request, 200, "own")),
        ]
    });
    // A body that arrives slowly leaves its service less time than it takes.
    let is_true = |it: &Received| match it.status {
        504 => !it.is_not_run,
        _ => it.status == 200 || (it.status == 503 && it.is_not_run),
    };
    assert!(received.iter().all(is_true), "{received:?}");
    assert!(received.iter().any(|it| it.status == 200), "no complete request was answered");
}

/// Sends `n_sent` bytes of a body on each of many connections, and meanwhile requests to a sound
/// engine.
fn flood(
    n_sent: usize,
    script: impl Fn(&RawRequest) -> Vec<Step> + Send + Sync + 'static,
) -> Vec<Received> {
    let _flood = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let ledger = ScriptedServer::start(script).unwrap();
    let engine = ScriptedServer::start(whole_stream).unwrap();
    let store = StoreStandin::start().unwrap();
    let mut charter = charter(1);
    charter["limits"]["max-body-bytes"] = json!(BODY_BYTES);
    charter["limits"]["header-timeout-ms"] = json!(1500);
    store.put("config", "main", charter);
    store.put("servers", "ledger", server_entry("ledger", ledger.address(), "ready"));
    store.put("servers", "engine", server_entry("pool", engine.address(), "ready"));
    let mut entry = EntryProcess::start_with_memory(store.address(), "entry-1", MEMORY_MB);
    entry.wait_until_ready();
    let (received, latest) = thread::scope(|scope| {
        let entry = &entry;
        let send = |it| scope.spawn(move || send_body(entry, format!("long-{it}"), n_sent));
        let calls: Vec<_> = (0..N_CALLERS).map(send).collect();
        let latest = (0..10).map(|it| exchange_sound(entry, it)).max().unwrap();
        let received: Vec<_> = calls.into_iter().map(|it| it.join().unwrap()).collect();
        (received, latest)
    });
    let peak_kb = entry.peak_memory_kb();
    println!("sent={n_sent} latest={latest:?} peak_kb={peak_kb}");
    assert!(!entry.has_exited());
    assert!(latest < MAX_RESPONSE_TIME, "{latest:?}");
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} kB");
    let requests = ledger.requests();
    let has_run = |id: &str| requests.iter().any(|it| it.header("x-request-id") == Some(id));
    assert!(!received.iter().any(|it| it.is_not_run && has_run(&it.id)));
    assert!(received.iter().all(|it| it.status != 504 || has_run(&it.id)));
    received
}

fn exchange_sound(entry: &EntryProcess, number: usize) -> Duration {
    thread::sleep(Duration::from_millis(150));
    let headers = "X-Model: lots\r\nX-Token-Counts: 100,20\r\n";
    let sent = Instant::now();
    let response =
        entry.exchange(&request("POST", "/draft/1", &format!("sound-{number}"), headers));
    assert_eq!(response.status(), 200, "after {:?}: {}", sent.elapsed(), response.text());
    sent.elapsed()
}

fn send_body(entry: &EntryProcess, id: String, n_sent: usize) -> Received {
    let mut stream = entry.connect();
    let headers = format!("Content-Length: {BODY_BYTES}\r\n");
    // A host that refuses the body may stop reading it.
    drop(stream.write_all(&request_head("POST", "/hold/1", &id, 3000, &headers)));
    drop(write_until_answered(&mut stream, n_sent));
    let response = read_response(&mut stream);
    let text = response.text();
    Received {
        id,
        status: response.status(),
        is_not_run: text.contains("X-Verdict: not-run"),
        has_retry_after: text.contains("Retry-After: "),
    }
}

fn write_until_answered(stream: &mut TcpStream, n_sent: usize) -> std::io::Result<()> {
    let part = [b'x'; 10_000];
    for start in (0..n_sent).step_by(part.len()) {
        stream.write_all(&part[..part.len().min(n_sent - start)])?;
    }
    Ok(())
}

/// Guards against reading ahead, on many connections, more of the next requests than the memory holds.
#[test]
fn early_requests_fill_no_memory() {
    let _flood = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let [peak_without_kb, peak_kb] = [0, EARLY_BYTES].map(peak_with_early_bytes);
    println!("peak_without_kb={peak_without_kb} peak_kb={peak_kb}");
    // A quarter of the memory is for buffers.
    assert!(
        peak_kb - peak_without_kb < (MEMORY_MB << 10) / 4,
        "{peak_kb} kB, {peak_without_kb} kB"
    );
}

/// Returns the peak memory of an entry host with many waiting requests, each followed by `n_bytes`.
fn peak_with_early_bytes(n_bytes: usize) -> u64 {
    let silent = silent_listener();
    let store = StoreStandin::start().unwrap();
    let mut charter = charter(1);
    charter["services"][0]["max-connections"] = json!(N_EARLY_CALLERS);
    store.put("config", "main", charter);
    let address = silent.local_addr().unwrap().as_socket().unwrap();
    store.put("servers", "ledger", server_entry("ledger", address, "ready"));
    let mut entry = EntryProcess::start_with_memory(store.address(), "entry-1", MEMORY_MB);
    entry.wait_until_ready();
    let send = |it| {
        thread::sleep(Duration::from_millis(1));
        send_early(&entry, it, n_bytes)
    };
    let callers: Vec<TcpStream> = (0..N_EARLY_CALLERS).map(send).collect();
    let n_refused = callers.into_iter().map(read_first).filter(|it| *it != 504).count();
    assert!(!entry.has_exited());
    assert!(n_refused < N_EARLY_CALLERS / 10, "{n_refused} requests did not wait for the service");
    entry.peak_memory_kb()
}

/// Listens for connections that are never accepted, so that their requests get no response.
fn silent_listener() -> Socket {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(4096).unwrap();
    listener
}

/// Sends a request and, before its response, the start of others.
fn send_early(entry: &EntryProcess, number: usize, n_bytes: usize) -> TcpStream {
    let mut stream = entry.connect();
    let mut bytes = request("POST", "/hold/1", &format!("early-{number}"), "");
    bytes.resize(bytes.len() + n_bytes, b'x');
    stream.write_all(&bytes).unwrap();
    stream
}

/// Returns the status of the first response on a connection.
fn read_first(mut stream: TcpStream) -> u16 {
    let mut buffer = [0; 256];
    let n_read = stream.read(&mut buffer).unwrap_or(0);
    let text = String::from_utf8_lossy(&buffer[..n_read]).into_owned();
    text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}
