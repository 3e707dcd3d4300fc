//! Refusals of backend servers that are repeated, contradicted or not promised.
//!
//! A caller may be told that its request did not run only if no backend server ran it.

mod entry_process;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, encode_response, event_chunk, read_response, request, server_entry, stream_head,
    Deployment, EntryProcess,
};

/// Time between a refusal and its repetition, or a second response.
const PAUSE: Duration = Duration::from_millis(60);
/// Statuses that promise callers that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A refusal that comes again on a kept connection, under the id of the earlier request, of the
/// present one or without one, is not taken for the response to the present request.
#[test]
fn repeated_refusal_on_kept_connection() {
    for repeated_id in ["earlier", "present", "none"] {
        for path in ["/stock/1", "/draft/1"] {
            let service = if path == "/stock/1" { "ledger" } else { "pool" };
            let server = repeating_server(repeated_id, path == "/draft/1");
            let deployment = Deployment::start(service, &[&server]);
            let mut caller = deployment.entry.connect();
            caller.write_all(&request("POST", path, "earlier", STREAM_HEADERS)).unwrap();
            assert_eq!(read_response(&mut caller).status(), 503);
            std::thread::sleep(PAUSE);
            caller.write_all(&request("POST", path, "present", STREAM_HEADERS)).unwrap();
            let response = read_response(&mut caller);
            assert_eq!(response.status(), 200, "{path} {repeated_id}: {}", response.text());
        }
    }
}

/// The same request, sent again by its caller under its own id, is not refused by the repetition of
/// its first refusal.
#[test]
fn repeated_refusal_of_the_same_id() {
    let server = repeating_server("present", false);
    let deployment = Deployment::start("ledger", &[&server]);
    let mut caller = deployment.entry.connect();
    caller.write_all(&request("GET", "/stock/1", "same", "")).unwrap();
    assert_eq!(read_response(&mut caller).status(), 503);
    std::thread::sleep(PAUSE);
    caller.write_all(&request("GET", "/stock/1", "same", "")).unwrap();
    let response = read_response(&mut caller);
    assert_eq!(response.status(), 200, "{}", response.text());
}

/// A request that must not run twice goes on a connection of its own, where no late response can be
/// taken for its own.
#[test]
fn unrepeatable_request_on_new_connection() {
    for path in ["/hold/1", "/draft/1"] {
        let is_stream = path == "/draft/1";
        let server = ScriptedServer::start(move |it| whole_response(it, is_stream)).unwrap();
        let service = if is_stream { "pool" } else { "ledger" };
        let deployment = start_unrepeatable(service, &[&server]);
        let mut caller = deployment.entry.connect();
        for id in ["first", "second", "third"] {
            caller.write_all(&request("POST", path, id, STREAM_HEADERS)).unwrap();
            assert_eq!(read_response(&mut caller).status(), 200);
        }
        let connections: Vec<u32> = server.requests().iter().map(|it| it.connection).collect();
        assert_eq!(connections, [1, 2, 3], "{path}");
    }
}

/// A refusal that another response to the same request follows says nothing about what ran, so the
/// request neither counts as not run nor runs at a second backend server.
#[test]
fn response_after_refusal() {
    for path in ["/hold/1", "/draft/1"] {
        let is_stream = path == "/draft/1";
        let script = move |request: &RawRequest| {
            let mut bytes = refusal(request.header("x-request-id"));
            bytes.extend(encode_response(request, 200, "ran"));
            vec![Step::Send(bytes)]
        };
        let servers = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
        let service = if is_stream { "pool" } else { "ledger" };
        let deployment = start_unrepeatable(service, &servers.each_ref());
        let bytes = request("POST", path, "contradicted", STREAM_HEADERS);
        let response = deployment.entry.exchange(&bytes);
        assert!(!NOT_RUN_STATUSES.contains(&response.status()), "{path}: {}", response.text());
        let n_runs: usize = servers.iter().map(|it| it.requests().len()).sum();
        assert_eq!(n_runs, 1, "{path}");
    }
}

/// A backend server that refuses a request before it has read all of it has the rest of the body not
/// followed by another request.
#[test]
fn refusal_before_the_whole_body() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = StoreStandin::start().unwrap();
    let mut charter = charter(1);
    charter["limits"]["max-body-bytes"] = (32 << 20).into();
    store.put("config", "main", charter);
    let address = listener.local_addr().unwrap();
    store.put("servers", "ledger-0", server_entry("ledger", address, "ready"));
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    let heads = std::thread::spawn(move || {
        let mut heads = Vec::new();
        for number in 0..2 {
            let (mut stream, _) = listener.accept().unwrap();
            heads.push(refuse_early(&mut stream, &format!("early-{number}")));
        }
        heads
    });
    let body = vec![b'x'; 24 << 20];
    let mut caller = entry.connect();
    for number in 0..2 {
        let id = format!("early-{number}");
        let head = String::from_utf8(request("POST", "/stock/1", &id, "")).unwrap();
        let length = format!("Content-Length: {}\r\n", body.len());
        let head = head.replace("Content-Length: 0\r\n", &length);
        caller.write_all(head.as_bytes()).unwrap();
        caller.write_all(&body).unwrap();
        let response = read_response(&mut caller);
        assert_eq!(response.status(), 503, "{}", response.text());
        assert!(response.text().contains("X-Not-Run"), "{}", response.text());
    }
    // Each request came on a connection of its own and began with its own head.
    let heads = heads.join().unwrap();
    assert!(heads.iter().all(|it| it.starts_with("POST /stock/1 ")), "{heads:?}");
}

/// A status that promises callers that nothing ran is not passed on from a backend server that does
/// not promise it.
#[test]
fn refusal_without_promise() {
    for status in [408, 429, 503] {
        let server = ScriptedServer::start(move |request| {
            vec![Step::Send(encode_response(request, status, "ran"))]
        })
        .unwrap();
        let deployment = Deployment::start("ledger", &[&server]);
        let response = deployment.entry.exchange(&request("POST", "/hold/1", "unsure", ""));
        assert!(!NOT_RUN_STATUSES.contains(&response.status()), "{status}: {}", response.text());
        assert_eq!(server.requests().len(), 1, "{status}");
    }
}

const STREAM_HEADERS: &str = "X-Model: lots\r\nX-Token-Counts: 200,260\r\n";

/// Starts an entry host whose routes may be sent to two backend servers, and none of which may run
/// twice.
fn start_unrepeatable(service: &str, servers: &[&ScriptedServer]) -> Deployment {
    let store = StoreStandin::start().unwrap();
    let mut charter = charter(1);
    for route in charter["routes"].as_array_mut().unwrap() {
        route["max-attempts"] = 2.into();
        route["resumable"] = false.into();
    }
    store.put("config", "main", charter);
    for (idx, server) in servers.iter().enumerate() {
        let entry = server_entry(service, server.address(), "ready");
        store.put("servers", &format!("{service}-{idx}"), entry);
    }
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    Deployment { store, entry }
}

/// Starts a server that refuses its first request, and writes that refusal once more while it runs
/// another one on the same connection.
fn repeating_server(repeated_id: &'static str, is_stream: bool) -> ScriptedServer {
    let refusing_connection = AtomicU32::new(0);
    ScriptedServer::start(move |request| {
        let connection = request.connection;
        let own_id = request.header("x-request-id");
        let res = refusing_connection.compare_exchange(
            0,
            connection,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        match (res, repeated_id) {
            (Ok(_), _) => return vec![Step::Send(refusal(own_id))],
            (Err(it), _) if it != connection => return whole_response(request, is_stream),
            _ => {}
        }
        let repeated = match repeated_id {
            "earlier" => refusal(Some("earlier")),
            "present" => refusal(own_id),
            _ => refusal(None),
        };
        let mut steps = vec![Step::Send(repeated), Step::Pause(PAUSE)];
        steps.extend(whole_response(request, is_stream));
        steps
    })
    .unwrap()
}

fn whole_response(request: &RawRequest, is_stream: bool) -> Vec<Step> {
    let bytes = match is_stream {
        true => [stream_head(request), event_chunk(1), b"0\r\n\r\n".to_vec()].concat(),
        false => encode_response(request, 200, "ran"),
    };
    vec![Step::Send(bytes)]
}

/// Returns the bytes of a refusal of the request `id`.
fn refusal(id: Option<&str>) -> Vec<u8> {
    let id = id.map_or(String::new(), |it| format!("X-Request-Id: {it}\r\n"));
    format!("HTTP/1.1 503 x\r\n{id}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

/// Refuses a request after its first bytes, waits, and returns what it began with.
fn refuse_early(stream: &mut TcpStream, id: &str) -> String {
    let mut bytes = vec![0; 1024];
    let n_read = stream.read(&mut bytes).unwrap();
    stream.write_all(&refusal(Some(id))).unwrap();
    std::thread::sleep(PAUSE);
    String::from_utf8_lossy(&bytes[..n_read]).into_owned()
}
