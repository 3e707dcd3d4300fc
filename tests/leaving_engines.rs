//! Backend servers that say in their responses that they leave.

mod entry_process;

use std::{
    thread,
    time::{Duration, Instant},
};

use crocustiller::placement::LeavingServers;
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, complete_response, encode_response, event_chunk, request, server_entry, stream_head,
    CallerResponse, Deployment, EntryProcess,
};
use serde_json::Value;

/// Time within which an entry host has applied a change in the store.
const APPLY_TIME: Duration = Duration::from_millis(900);
/// Time within which the entry hosts know each other.
const JOIN_TIME: Duration = Duration::from_millis(800);
/// Time within which another host has heard of a leaving server.
const NOTICE_TIME: Duration = Duration::from_millis(200);
const STREAM_HEADERS: &str = "X-Model: lots\r\nX-Token-Counts: 200,260\r\n";
const LEAVING: &str = "Server-Leaving: 1\r\n";
/// Start time in the entries of `server_entry`.
const STARTED_MS: u64 = 1000;

/// A backend server that said so in any response gets no request that arrives after that, although
/// the store lists it as ready.
#[test]
fn request_after_leaving_response() {
    let responses = [
        ("ledger", "/stock/1", 200, "", false),
        ("ledger", "/hold/1", 200, "", false),
        ("ledger", "/stock/1", 200, "", true),
        ("ledger", "/stock/1", 404, "", false),
        ("ledger", "/hold/1", 500, "", false),
        ("ledger", "/hold/1", 503, "X-Not-Run: 1\r\n", false),
        ("pool", "/draft/1", 200, "", false),
        ("pool", "/draft/1", 404, "", false),
        ("pool", "/draft/1", 503, "X-Not-Run: 1\r\n", false),
    ];
    for (service, path, status, extra, closes) in responses {
        let server = ScriptedServer::start(move |request| {
            let bytes = leaving_response(request, status, extra);
            vec![Step::Send(bytes)].into_iter().chain(closes.then_some(Step::Close)).collect()
        })
        .unwrap();
        let deployment = Deployment::start(service, &[&server]);
        let first = send(&deployment.entry, path, "first");
        let case = format!("{path} {status}: {}", first.text());
        // The response itself reaches the caller as it is.
        assert_eq!(first.status(), status, "{case}");
        assert!(first.text().contains("Server-Leaving: 1"), "{case}");
        for number in 0..3 {
            let response = send(&deployment.entry, path, &format!("later-{number}"));
            assert_eq!(response.status(), 503, "{case}");
            assert!(response.text().contains("not-run"), "{}", response.text());
        }
        assert_eq!(server.requests().len(), 1, "{case}");
    }
}

/// Other values of the header, and the response of another server at the address, close nothing.
#[test]
fn response_that_closes_nothing() {
    let cases = [(200, "Server-Leaving: 0\r\n"), (200, "Server-Leaving:\r\n"), (421, LEAVING)];
    for (status, headers) in cases {
        let server = ScriptedServer::start(move |request| {
            vec![Step::Send(with_headers(encode_response(request, status, "x"), headers))]
        })
        .unwrap();
        let deployment = Deployment::start("ledger", &[&server]);
        send(&deployment.entry, "/stock/1", "first");
        send(&deployment.entry, "/stock/1", "second");
        assert_eq!(server.requests().len(), 2, "{status} {headers}");
    }
}

/// The requests go to the other servers, and none is lost.
#[test]
fn others_serve_for_a_leaving_server() {
    let leaving = leaving_server();
    let sound = ScriptedServer::start(complete_response("sound")).unwrap();
    let deployment = Deployment::start("ledger", &[&leaving, &sound]);
    for number in 0..40 {
        let response = send(&deployment.entry, "/stock/1", &format!("moved-{number}"));
        assert_eq!(response.status(), 200, "{}", response.text());
    }
    assert!(leaving.requests().len() <= 1, "{}", leaving.requests().len());
}

/// Whatever the store lists later, only another start of the server opens it: not the same entry
/// once more, not one that came back, not that of an earlier start from a restored store.
#[test]
fn relisted_server_stays_closed() {
    let server = leaving_server();
    let deployment = Deployment::start("ledger", &[&server]);
    assert_eq!(send(&deployment.entry, "/stock/1", "first").status(), 200);
    let put = |started_ms: u64, sequence: u64| {
        let mut entry = server_entry("ledger", server.address(), "ready");
        entry["born"] = started_ms.into();
        entry["sequence"] = sequence.into();
        deployment.store.put("servers", "ledger-0", entry);
        thread::sleep(APPLY_TIME);
    };
    let check_closed = |case: &str| {
        assert_eq!(send(&deployment.entry, "/stock/1", case).status(), 503, "{case}");
        assert_eq!(server.requests().len(), 1, "{case}");
    };
    put(STARTED_MS, 7);
    check_closed("listed-again");
    deployment.store.remove("servers", "ledger-0");
    thread::sleep(APPLY_TIME);
    put(STARTED_MS, 8);
    check_closed("came-back");
    put(STARTED_MS - 1, 9);
    check_closed("earlier-start");
    put(STARTED_MS + 1, 0);
    assert_eq!(send(&deployment.entry, "/stock/1", "later-start").status(), 200);
    assert_eq!(server.requests().len(), 2);
    put(STARTED_MS, 9);
    // An entry of the first start, from a restored store.
    assert_eq!(send(&deployment.entry, "/stock/1", "restored").status(), 503);
    assert_eq!(server.requests().len(), 2);
}

/// The host that reads the header tells the others, which have sent nothing there.
#[test]
fn other_hosts_hear_of_a_leaving_server() {
    for (service, path) in [("ledger", "/stock/1"), ("pool", "/draft/1")] {
        let server = leaving_server();
        let store = store_with(service, server_entry(service, server.address(), "ready"));
        let hosts = ["entry-1", "entry-2", "entry-3"].map(|it| EntryProcess::start(&store, it));
        hosts.iter().for_each(EntryProcess::wait_until_ready);
        thread::sleep(JOIN_TIME);
        assert_eq!(send(&hosts[0], path, "first").status(), 200);
        thread::sleep(NOTICE_TIME);
        for (host, id) in hosts.iter().zip(["one", "two", "three"]) {
            assert_eq!(send(host, path, id).status(), 503, "{path} {id}");
        }
        assert_eq!(server.requests().len(), 1, "{path}");
    }
}

/// A stream that runs at a leaving engine goes on to its end.
#[test]
fn running_stream_ends_at_a_leaving_engine() {
    let server = ScriptedServer::start(|request| {
        let is_long = request.header("x-request-id") == Some("long");
        let head = if is_long { stream_head(request) } else { leaving_response(request, 503, "") };
        let mut steps = vec![Step::Send(head)];
        if is_long {
            for number in 1..=8 {
                steps.push(Step::Send(event_chunk(number)));
                steps.push(Step::Pause(Duration::from_millis(100)));
            }
            steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        }
        steps
    })
    .unwrap();
    let deployment = Deployment::start("pool", &[&server]);
    thread::scope(|scope| {
        let long = scope.spawn(|| send(&deployment.entry, "/draft/1", "long"));
        thread::sleep(Duration::from_millis(150));
        send(&deployment.entry, "/draft/1", "closing");
        let long = long.join().unwrap();
        assert!(long.is_complete() && long.text().contains("token-8"), "{}", long.text());
    });
    assert_eq!(server.requests().len(), 2);
}

/// The log names the response that closed a server, and tells when another start opens it.
#[test]
fn log_names_the_closing_response() {
    let server = leaving_server();
    let deployment = Deployment::start("ledger", &[&server]);
    send(&deployment.entry, "/stock/1", "closing");
    let mut entry = server_entry("ledger", server.address(), "ready");
    entry["born"] = (STARTED_MS + 1).into();
    deployment.store.put("servers", "ledger-0", entry);
    let expected = [
        "drain: a backend server leaves request=closing backend=ledger-0 started_ms=1000 status=200",
        "drain: a new start of a backend server takes requests again backend=ledger-0 closed_for_ms=",
    ];
    let deadline = Instant::now() + 3 * APPLY_TIME;
    let is_logged =
        |it: &&str| std::fs::read_to_string(deployment.entry.log_path()).unwrap().contains(*it);
    while !expected.iter().all(is_logged) {
        let log = std::fs::read_to_string(deployment.entry.log_path()).unwrap();
        assert!(Instant::now() < deadline, "{log}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// The edges of the rule, in the start times of a server and in time.
#[test]
fn closed_starts() {
    let now = Instant::now();
    let mut leaving = LeavingServers::default();
    assert!(!leaving.is_closed("i-1", 1000));
    assert!(leaving.record("i-1", 1000, now));
    let later = now + Duration::from_secs(3600);
    for (backend, started_ms, is_closed) in [
        ("i-1", 0, true),
        ("i-1", 999, true),
        ("i-1", 1000, true),
        ("i-1", 1001, false),
        ("i-2", 1000, false),
    ] {
        assert_eq!(leaving.is_closed(backend, started_ms), is_closed, "{backend} {started_ms}");
    }
    assert!(!leaving.record("i-1", 999, later) && !leaving.record("i-1", 1000, later));
    assert_eq!(leaving.reopen("i-1", 1000, later), None);
    assert_eq!(leaving.reopen("i-1", 1001, later), Some(later - now));
    assert_eq!(leaving.reopen("i-1", 1001, later), None);
    assert!(leaving.is_closed("i-1", 1000), "an outdated entry after a new start");
    assert!(leaving.record("i-1", 1001, later) && leaving.is_closed("i-1", 1001));
}

/// A removed server is remembered for ten minutes, as its entry may come back.
#[test]
fn removed_server_is_remembered() {
    let now = Instant::now();
    let mut leaving = LeavingServers::default();
    leaving.record("i-1", 1000, now);
    leaving.forget_removed(|_| false, now + Duration::from_millis(599_999));
    assert!(leaving.is_closed("i-1", 1000));
    leaving.forget_removed(|_| true, now + Duration::from_secs(6000));
    assert!(leaving.is_closed("i-1", 1000));
    leaving.forget_removed(|_| false, now + Duration::from_secs(600));
    assert!(!leaving.is_closed("i-1", 1000));
}

/// Starts a server that says in each response that it leaves.
fn leaving_server() -> ScriptedServer {
    ScriptedServer::start(|request| vec![Step::Send(leaving_response(request, 200, ""))]).unwrap()
}

fn leaving_response(request: &RawRequest, status: u16, extra_headers: &str) -> Vec<u8> {
    let bytes = match (request.target.as_str(), status) {
        ("/draft/1", 200) => [stream_head(request), event_chunk(1), b"0\r\n\r\n".to_vec()].concat(),
        _ => encode_response(request, status, "body"),
    };
    with_headers(bytes, &format!("{LEAVING}{extra_headers}"))
}

/// Adds header fields to the bytes of a response.
fn with_headers(response: Vec<u8>, headers: &str) -> Vec<u8> {
    let text = String::from_utf8(response).unwrap();
    text.replacen("X-Server-Stamp", &format!("{headers}X-Server-Stamp"), 1).into_bytes()
}

fn store_with(service: &str, entry: Value) -> StoreStandin {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    store.put("servers", &format!("{service}-0"), entry);
    store
}

fn send(entry: &EntryProcess, path: &str, id: &str) -> CallerResponse {
    entry.exchange(&request("POST", path, id, STREAM_HEADERS))
}
