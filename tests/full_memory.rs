//! Backend servers that send so many long bodies at once that the memory of an entry host would not
//! hold them; it lives on and serves everyone else.

mod entry_process;

use std::{
    io::{Read, Write},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Barrier, Mutex, PoisonError,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, encode_response, event_chunk, request, server_entry, stream_head, Deployment,
    EntryProcess,
};

/// The least memory of an entry host on any site.
const MEMORY_MB: u64 = 160;
/// Time within which other callers are answered meanwhile.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1000);
/// Time within which each caller gets a response or a closed connection: the timeout of the routes and
/// some time to write.
const MAX_END_TIME: Duration = Duration::from_millis(3500);
/// Time for which a server that has flooded gets no request.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const LONG_BODY_BYTES: usize = 4_000_000;
const PART_BYTES: usize = 40_000;
const CALLER_HEADERS: &str = "X-Model: lots\r\nX-Token-Counts: 100,20\r\n";

/// Held during a flood: two at once would need more processor time than a host has.
static FLOOD: Mutex<()> = Mutex::new(());

/// What a caller got: the status, the number of bytes of the body, and whether they are all of it.
#[derive(Debug)]
struct Received {
    id: String,
    status: u16,
    is_not_run: bool,
    n_body_bytes: usize,
    is_complete: bool,
}

#[test]
fn endless_bodies_fill_no_memory() {
    for n_requests in [64, 200] {
        let received = flood("hold", n_requests, endless_body);
        assert!(received.iter().all(|it| it.status != 200 || !it.is_complete));
    }
}

#[test]
fn endless_error_bodies_fill_no_memory() {
    for n_requests in [64, 200] {
        let received = flood("hold", n_requests, endless_error);
        assert!(received.iter().all(|it| matches!(it.status, 502..=504)));
    }
}

#[test]
fn endless_errors_of_engine_fill_no_memory() {
    for n_requests in [64, 200] {
        let received = flood("draft", n_requests, endless_error);
        assert!(received.iter().all(|it| matches!(it.status, 502..=504)));
    }
}

#[test]
fn long_bodies_fill_no_memory() {
    for n_requests in [64, 200] {
        let received = flood("hold", n_requests, long_body);
        let whole = received.iter().filter(|it| it.is_complete && it.status == 200);
        assert!(whole.clone().all(|it| it.n_body_bytes == LONG_BODY_BYTES));
        assert!(whole.count() > 0, "no long response arrived");
    }
}

/// Late responses to other requests are skipped.
#[test]
fn skipped_bodies_fill_no_memory() {
    for n_requests in [64, 200] {
        let received = flood("hold", n_requests, skipped_bodies);
        assert!(received.iter().all(|it| matches!(it.status, 502..=504)));
    }
}

/// A server that has flooded gets no request for a time, which doubles, though its answers look sound at
/// first.
#[test]
fn flooding_server_is_left_alone() {
    let gaps = gaps_between_requests(|_| true);
    for (idx, gap) in gaps.iter().enumerate() {
        assert!(*gap >= FIRST_EJECTION * 2u32.pow(idx as u32), "{gaps:?}");
    }
    assert!(gaps.len() >= 2, "{gaps:?}");
}

/// A sound answer in between makes up for no flood.
#[test]
fn server_that_floods_at_times_is_left_alone() {
    let gaps = gaps_between_requests(|number| number % 2 == 0);
    let after_floods: Vec<Duration> = gaps.into_iter().step_by(2).collect();
    assert!(after_floods.iter().all(|it| *it >= FIRST_EJECTION), "{after_floods:?}");
    assert!(after_floods.len() >= 2, "{after_floods:?}");
}

/// Sends requests for some seconds, one after the other, to a server that floods whenever `is_flood` says
/// so for the number of its request; returns the times between its requests.
fn gaps_between_requests(is_flood: fn(usize) -> bool) -> Vec<Duration> {
    let _flood = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let received: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let times = received.clone();
    let server = ScriptedServer::start(move |request| {
        let mut times = times.lock().unwrap();
        times.push(Instant::now());
        match is_flood(times.len() - 1) {
            true => endless_body(request),
            false => sound_response(request),
        }
    })
    .unwrap();
    let deployment = Deployment::start("ledger", &[&server]);
    let started = Instant::now();
    let mut responses = Vec::new();
    while started.elapsed() < Duration::from_secs(3) {
        let id = format!("sequence-{}", responses.len());
        responses.push(receive(&deployment.entry, "/hold/1", &id));
        thread::sleep(Duration::from_millis(5));
    }
    check_refusals(&responses, &server);
    let received = received.lock().unwrap();
    received.windows(2).map(|it| it[1] - it[0]).collect()
}

fn endless_body(request: &RawRequest) -> Vec<Step> {
    vec![Step::Send(unframed_head(request, 200)), Step::SendEndlessly(vec![b'x'; PART_BYTES])]
}

fn endless_error(request: &RawRequest) -> Vec<Step> {
    vec![Step::Send(unframed_head(request, 503)), Step::SendEndlessly(vec![b'x'; PART_BYTES])]
}

fn long_body(request: &RawRequest) -> Vec<Step> {
    let head = String::from_utf8(encode_response(request, 200, "")).unwrap();
    let head = head.replace("Content-Length: 0", &format!("Content-Length: {LONG_BODY_BYTES}"));
    let n_parts = LONG_BODY_BYTES / PART_BYTES;
    vec![Step::Send(head.into_bytes()), Step::SendTimes(vec![b'x'; PART_BYTES], n_parts as u32)]
}

fn skipped_bodies(request: &RawRequest) -> Vec<Step> {
    let earlier = RawRequest::default();
    [long_body(&earlier), long_body(&earlier), long_body(&earlier), long_body(request)].concat()
}

fn unframed_head(request: &RawRequest, status: u16) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or("");
    format!("HTTP/1.1 {status} x\r\nX-Request-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n\r\n")
        .into_bytes()
}

/// Sends requests at once on the route `flooded` to a server that answers with `script`, and meanwhile
/// requests on another route to a sound server.
fn flood(flooded: &str, n_requests: usize, script: fn(&RawRequest) -> Vec<Step>) -> Vec<Received> {
    let _flood = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let (flooded_service, sound_service, sound_path) = match flooded {
        "draft" => ("pool", "ledger", "/stock/1"),
        _ => ("ledger", "pool", "/draft/1"),
    };
    let faulty = ScriptedServer::start(script).unwrap();
    let sound = ScriptedServer::start(sound_response).unwrap();
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    store.put("servers", "faulty", server_entry(flooded_service, faulty.address(), "ready"));
    store.put("servers", "sound", server_entry(sound_service, sound.address(), "ready"));
    let entry = EntryProcess::start_with_memory(store.address(), "entry-1", MEMORY_MB);
    entry.wait_until_ready();
    let is_over = AtomicBool::new(false);
    let start = Barrier::new(n_requests);
    let received: Vec<Received> = thread::scope(|scope| {
        let sound = scope.spawn(|| check_sound(&entry, sound_path, &is_over));
        let calls: Vec<_> = (0..n_requests)
            .map(|it| {
                let (entry, start) = (&entry, &start);
                scope.spawn(move || {
                    start.wait();
                    receive(entry, &format!("/{flooded}/{it}"), &format!("flooded-{it}"))
                })
            })
            .collect();
        let received = calls.into_iter().map(|it| it.join().unwrap()).collect();
        is_over.store(true, Ordering::Relaxed);
        sound.join().unwrap();
        received
    });
    let peak_kb = entry.peak_memory_kb();
    println!("route={flooded} requests={n_requests} peak_kb={peak_kb}");
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} kB");
    check_refusals(&received, &faulty);
    received
}

fn sound_response(request: &RawRequest) -> Vec<Step> {
    if !request.target.starts_with("/draft") {
        return vec![Step::Send(encode_response(request, 200, "own"))];
    }
    let stream = [stream_head(request), event_chunk(1), b"0\r\n\r\n".to_vec()].concat();
    vec![Step::Send(stream)]
}

/// Checks that a sound server's short answers arrive in time until the others have got theirs.
fn check_sound(entry: &EntryProcess, path: &str, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) || number < 5 {
        number += 1;
        let sent = Instant::now();
        let id = format!("sound-{number}");
        let response = entry.exchange(&request("GET", path, &id, CALLER_HEADERS));
        assert_eq!(response.status(), 200, "{}", response.text());
        assert!(response.is_complete());
        assert!(sent.elapsed() < MAX_RESPONSE_TIME, "{id}: {:?}", sent.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
}

/// A request is refused as not run only if it never reached the server.
fn check_refusals(received: &[Received], server: &ScriptedServer) {
    let requests = server.requests();
    let has_run = |id: &str| requests.iter().any(|it| it.header("x-request-id") == Some(id));
    for it in received {
        assert!(it.status != 503 || it.is_not_run, "{it:?}");
        assert!(!it.is_not_run || !has_run(&it.id), "{it:?}");
    }
}

/// Sends a request and reads its response without keeping the body.
fn receive(entry: &EntryProcess, path: &str, id: &str) -> Received {
    let sent = Instant::now();
    let mut stream = entry.connect();
    stream.write_all(&request("POST", path, id, CALLER_HEADERS)).unwrap();
    let mut head = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let mut n_body_bytes = 0;
    loop {
        let n_read = stream.read(&mut buffer).unwrap_or(0);
        for (idx, byte) in buffer[..n_read].iter().enumerate() {
            if head.ends_with(b"\r\n\r\n") {
                n_body_bytes += n_read - idx;
                break;
            }
            head.push(*byte);
        }
        assert!(sent.elapsed() < MAX_END_TIME, "{id}: {:?}", sent.elapsed());
        let text = String::from_utf8_lossy(&head);
        let length = text.lines().find_map(|it| it.strip_prefix("Content-Length: "));
        let is_complete = length.and_then(|it| it.parse().ok()) == Some(n_body_bytes);
        if n_read == 0 || is_complete {
            let status = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
            let is_not_run = text.contains("X-Verdict: not-run");
            return Received { id: id.to_owned(), status, is_not_run, n_body_bytes, is_complete };
        }
    }
}
