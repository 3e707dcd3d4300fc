//! Engines whose streams hold nothing but comments, blank lines or tiny events, without end.

mod entry_process;

use std::{
    io::{Read, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, complete_response, event_chunk, pausing_server::whole_stream, request, server_entry,
    stream_head, Deployment, EntryProcess,
};
use serde_json::json;

/// Memory that an entry host may have used after the test, in kilobytes.
const MAX_MEMORY_KB: u64 = 64 << 10;
/// Time within which others are answered meanwhile.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1000);
const N_STREAMS: usize = 64;
/// Time for which the flooding engine gets requests.
const FLOOD_TIME: Duration = Duration::from_millis(2500);

#[test]
fn endless_blank_lines_delay_no_other() {
    flood(b"\n");
}

#[test]
fn endless_comments_delay_no_other() {
    flood(b":\n\n");
}

#[test]
fn endless_tiny_events_delay_no_other() {
    flood(b"a\n\n");
}

/// A sound stream may be kept open by comments for any time.
#[test]
fn comments_between_events() {
    let engine = ScriptedServer::start(|request| {
        let comment = format!(": {}\n\n", "x".repeat(1000));
        let comment = format!("{:x}\r\n{comment}\r\n", comment.len()).into_bytes();
        let pause = || Step::Pause(Duration::from_millis(2));
        let event = |it| [Step::Send(comment.repeat(10)), pause(), Step::Send(event_chunk(it))];
        let end = Step::Send(b"0\r\n\r\n".to_vec());
        [Step::Send(stream_head(request))]
            .into_iter()
            .chain((1..=80).flat_map(event))
            .chain([end])
            .collect()
    });
    let deployment = Deployment::start("pool", &[&engine.unwrap()]);
    let response = deployment.entry.exchange(&stream_request("lots", "kept"));
    assert!(response.is_complete());
    assert_eq!(response.text().matches("id: ").count(), 80);
}

/// Sends requests one after the other in `N_STREAMS` connections to an engine that answers with
/// `endless`, and meanwhile requests to a sound service and a sound engine.
fn flood(endless: &'static [u8]) {
    let flooding = ScriptedServer::start(move |request| {
        vec![Step::Send(unframed_head(request)), Step::SendEndlessly(endless.repeat(1 << 13))]
    })
    .unwrap();
    let engine = ScriptedServer::start(whole_stream).unwrap();
    let ledger = ScriptedServer::start(complete_response("own")).unwrap();
    let (_store, mut entry) = start(&flooding, &engine, &ledger);
    let end = Instant::now() + FLOOD_TIME;
    let (n_complete, latest) = thread::scope(|scope| {
        let callers = entry.callers;
        let floods: Vec<_> =
            (0..N_STREAMS).map(|it| scope.spawn(move || ask(callers, it, end))).collect();
        let latest = (0..10).map(|it| exchange_sound(&entry, it)).max();
        (floods.into_iter().map(|it| it.join().unwrap()).sum::<usize>(), latest.unwrap())
    });
    assert!(latest < MAX_RESPONSE_TIME, "{latest:?}");
    assert_eq!(n_complete, 0, "streams that never end were passed on as complete");
    assert!(!entry.has_exited());
    assert!(entry.peak_memory_kb() < MAX_MEMORY_KB, "{} kB", entry.peak_memory_kb());
    let log = std::fs::read_to_string(entry.log_path()).unwrap();
    assert!(log.contains("health: ejected a backend server"), "{log}");
}

/// Starts an entry host with an engine of its own for the model `reams`, and others.
fn start(
    flooding: &ScriptedServer,
    engine: &ScriptedServer,
    ledger: &ScriptedServer,
) -> (StoreStandin, EntryProcess) {
    let store = StoreStandin::start().unwrap();
    let mut charter = charter(1);
    let pool = &mut charter["services"][1]["engine"];
    pool["slots"] = json!(N_STREAMS);
    pool["models"] = json!([{ "name": "lots", "warm-s": 0.1 }, { "name": "reams", "warm-s": 0.1 }]);
    store.put("config", "main", charter);
    let mut listed = server_entry("pool", flooding.address(), "ready");
    listed["slots"] = json!(N_STREAMS);
    listed["models"] = json!([{ "name": "reams", "version": 1 }]);
    store.put("servers", "pool-flooding", listed);
    store.put("servers", "pool-sound", server_entry("pool", engine.address(), "ready"));
    store.put("servers", "ledger-sound", server_entry("ledger", ledger.address(), "ready"));
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    // The owner admits to half of the slots at first.
    thread::sleep(Duration::from_millis(500));
    (store, entry)
}

/// Sends a request to the service and one to the engine; returns the longer time.
fn exchange_sound(entry: &EntryProcess, number: usize) -> Duration {
    thread::sleep(Duration::from_millis(200));
    let plain = request("GET", "/stock/1", &format!("plain-{number}"), "");
    let stream = stream_request("lots", &format!("stream-{number}"));
    let times = [plain, stream].map(|it| {
        let sent = Instant::now();
        let response = entry.exchange(&it);
        let log = std::fs::read_to_string(entry.log_path()).unwrap();
        assert_eq!(
            response.status(),
            200,
            "after {:?}: {}\n{log}",
            sent.elapsed(),
            response.text()
        );
        assert!(response.is_complete());
        sent.elapsed()
    });
    times[0].max(times[1])
}

/// Asks the flooding engine again and again; returns the number of streams that ended as complete.
fn ask(callers: SocketAddr, caller: usize, end: Instant) -> usize {
    let mut n_complete = 0;
    for number in 0.. {
        if Instant::now() > end {
            break;
        }
        let mut stream = std::net::TcpStream::connect(callers).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        stream.write_all(&stream_request("reams", &format!("flood-{caller}-{number}"))).unwrap();
        n_complete += usize::from(is_complete_stream(&mut stream));
        thread::sleep(Duration::from_millis(50));
    }
    n_complete
}

/// Reads a response to its end, or to that of the connection, and keeps little of it.
fn is_complete_stream(stream: &mut std::net::TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let mut is_stream = false;
    while let Ok(n_read @ 1..) = stream.read(&mut buffer) {
        is_stream |= buffer[..n_read].starts_with(b"HTTP/1.1 200");
        bytes.drain(..bytes.len().saturating_sub(8));
        bytes.extend_from_slice(&buffer[..n_read]);
    }
    is_stream && bytes.ends_with(b"\r\n0\r\n\r\n")
}

fn unframed_head(request: &RawRequest) -> Vec<u8> {
    let head = String::from_utf8(stream_head(request)).unwrap();
    head.replace("Transfer-Encoding: chunked\r\n", "").into_bytes()
}

fn stream_request(model: &str, id: &str) -> Vec<u8> {
    let headers = format!("X-Model: {model}\r\nX-Token-Counts: 100,20\r\nConnection: close\r\n");
    request("POST", "/draft/1", id, &headers)
}
