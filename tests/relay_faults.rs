//! What a caller gets when backend servers send wrong, cut, late or crossed bytes.

mod deployed;

use std::{
    io::Write,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use deployed::{
    answer, answers_whole, event_chunk, read_reply, request, stream_head, Deployed, Reply,
};

/// An answer with a length that is cut at any byte never looks whole, and runs once.
#[test]
fn cut_plain_answer() {
    let n_sent = AtomicU32::new(0);
    let ledger = ScriptedServer::start(move |request| {
        let bytes = answer(request, 200, "twelve bytes");
        let cut = n_sent.fetch_add(7, Ordering::Relaxed) as usize % bytes.len();
        vec![Step::Send(bytes[..cut].to_vec()), Step::Close]
    })
    .unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    for number in 0..18 {
        let id = format!("cut-{number}");
        let reply = deployed.entry.exchange(&request("POST", "/hold/1", &id, ""));
        // The backend server may rest after failures; it has not run the request then.
        assert!(matches!(reply.status(), 502 | 503), "{}", reply.text());
        let requests = ledger.requests();
        let n_runs = requests.iter().filter(|it| it.header("x-request-id") == Some(&id));
        assert_eq!(n_runs.count(), usize::from(reply.status() == 502), "{id}");
    }
}

/// A stream that is cut goes on at another engine after the last whole event.
#[test]
fn resumed_stream() {
    let script = |request: &RawRequest| {
        let last = request.header("last-event-id").map_or(0, |it| it.parse().unwrap());
        let mut bytes = stream_head(request);
        if last == 0 {
            bytes.extend(event_chunk(1));
            bytes.extend(event_chunk(2));
            bytes.extend_from_slice(b"14\r\nid: 3\ndata: to");
            return vec![Step::Send(bytes), Step::Pause(Duration::from_millis(20)), Step::Reset];
        }
        for number in last + 1..=4 {
            bytes.extend(event_chunk(number));
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        vec![Step::Send(bytes)]
    };
    let engines = [ScriptedServer::start(script).unwrap(), ScriptedServer::start(script).unwrap()];
    let deployed = Deployed::start("pool", &[&engines[0], &engines[1]]);
    let reply = deployed.entry.exchange(&draft("resumed"));
    assert!(reply.is_whole(), "{}", reply.text());
    assert_eq!(tokens(&reply), [1, 2, 3, 4]);
    assert_eq!(reply.text().matches("X-Server-Stamp").count(), 1);
}

/// A stream that can't go on ends without its last chunk.
#[test]
fn cut_stream() {
    let engine = ScriptedServer::start(|request| {
        let mut bytes = stream_head(request);
        bytes.extend(event_chunk(1));
        vec![Step::Send(bytes), Step::Pause(Duration::from_millis(20)), Step::Close]
    })
    .unwrap();
    let deployed = Deployed::start("pool", &[&engine]);
    let reply = deployed.entry.exchange(&draft("cut"));
    assert_eq!(reply.status(), 200);
    assert!(reply.is_ended && !reply.is_whole(), "{}", reply.text());
}

/// A stream without a length that ends inside an event is not whole.
#[test]
fn unframed_stream() {
    let engine = ScriptedServer::start(|request| {
        let head = String::from_utf8(stream_head(request)).unwrap();
        let head = head.replace("Transfer-Encoding: chunked\r\n", "");
        let body = "id: 1\ndata: token-1\n\nid: 2\ndata: tok";
        vec![Step::Send((head + body).into_bytes()), Step::Close]
    })
    .unwrap();
    let deployed = Deployed::start("pool", &[&engine]);
    let reply = deployed.entry.exchange(&draft("unframed"));
    assert!(reply.is_ended && !reply.is_whole(), "{}", reply.text());
}

/// A second answer on a connection never reaches the next caller.
#[test]
fn extra_answer() {
    let ledger = ScriptedServer::start(|request| {
        let bytes = answer(request, 200, "own");
        let pause = Step::Pause(Duration::from_millis(30));
        let extra = Step::Send(answer(request, 200, "extra"));
        vec![Step::Send(bytes), pause, extra]
    })
    .unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    let mut caller = deployed.entry.connect();
    for number in 0..6 {
        let id = format!("extra-{number}");
        caller.write_all(&request("GET", "/stock/1", &id, "")).unwrap();
        let reply = read_reply(&mut caller);
        assert_eq!(reply.status(), 200);
        assert!(reply.text().contains(&format!("stamp-{id}")), "{}", reply.text());
        assert!(reply.text().ends_with("own"), "{}", reply.text());
    }
}

/// An idempotent request whose answer is lost is sent once more; another one is not.
#[test]
fn lost_answer() {
    let script = |_: &RawRequest| vec![Step::Reset];
    let ledgers = [ScriptedServer::start(script).unwrap(), ScriptedServer::start(script).unwrap()];
    let deployed = Deployed::start("ledger", &[&ledgers[0], &ledgers[1]]);
    let count = |id: &str| {
        let requests = ledgers.iter().flat_map(|it| it.requests());
        requests.filter(|it| it.header("x-request-id") == Some(id)).count()
    };
    assert_eq!(deployed.entry.exchange(&request("POST", "/hold/1", "hold", "")).status(), 502);
    assert_eq!(count("hold"), 1);
    assert_eq!(deployed.entry.exchange(&request("GET", "/stock/1", "stock", "")).status(), 502);
    assert_eq!(count("stock"), 2);
}

/// A refusal by a backend server, which promises that nothing ran, reaches the caller as it is.
#[test]
fn refused_by_backend() {
    let ledger = ScriptedServer::start(|request| {
        let bytes = String::from_utf8(answer(request, 503, "")).unwrap();
        let bytes = bytes.replace("X-Server-Stamp", "X-Not-Run: 1\r\nX-Server-Stamp");
        vec![Step::Send(bytes.into_bytes())]
    })
    .unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    let reply = deployed.entry.exchange(&request("POST", "/hold/1", "refused", ""));
    assert_eq!(reply.status(), 503);
    assert_eq!(ledger.requests().len(), 1);
}

/// A request that was sent and not answered is never said not to have run.
#[test]
fn silent_backend() {
    let ledger = ScriptedServer::start(|_| vec![Step::Pause(Duration::from_secs(30))]).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    let started = Instant::now();
    let reply = deployed.entry.exchange(&request("POST", "/hold/1", "silent", ""));
    assert_eq!(reply.status(), 504, "{}", reply.text());
    // The route's time limit is 2,500 ms.
    assert!(started.elapsed() < Duration::from_millis(3000), "{:?}", started.elapsed());
}

/// When a caller leaves, the connection to the engine is closed within half a second.
#[test]
fn caller_leaves() {
    let script = |request: &RawRequest| {
        let mut steps = vec![Step::Send(stream_head(request))];
        for number in 1..40 {
            steps.push(Step::Send(event_chunk(number)));
            steps.push(Step::Pause(Duration::from_millis(50)));
        }
        steps
    };
    let engine = ScriptedServer::start(script).unwrap();
    let deployed = Deployed::start("pool", &[&engine]);
    let mut caller = deployed.entry.connect();
    caller.write_all(&draft("leaves")).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    drop(caller);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(engine.n_aborted_connections(), 1);
}

/// Requests with two lengths or bad framing are refused and never reach a backend server.
#[test]
fn bad_framing() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    let table: [(&str, u16); 5] = [
        ("Content-Length: 3\r\n", 400),
        ("Transfer-Encoding: chunked\r\n", 400),
        ("Transfer-Encoding: gzip\r\n", 400),
        ("Content-Length: x\r\n", 400),
        (&format!("X-Long: {}\r\n", "x".repeat(8000)), 431),
    ];
    for (more, status) in table {
        let reply = deployed.entry.exchange(&request("POST", "/hold/1", "bad", more));
        assert_eq!(reply.status(), status, "{more}");
    }
    assert!(ledger.requests().is_empty());
}

/// The key stays here; the customer's name, the backend server and the time left go along.
#[test]
fn headers_of_backend() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    let more = "X-Tenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n";
    assert_eq!(deployed.entry.exchange(&request("GET", "/stock/1", "h", more)).status(), 200);
    let got = &ledger.requests()[0];
    assert_eq!(got.header("authorization"), None);
    assert_eq!(got.header("x-hop"), None);
    assert_eq!(got.header("x-kept"), Some("2"));
    let customers: Vec<&str> =
        got.headers.iter().filter(|it| it.0 == "x-tenant").map(|it| it.1.as_str()).collect();
    assert_eq!(customers, ["weavers"]);
    assert_eq!(got.header("x-expect-instance"), Some("ledger-0"));
    let left: u64 = got.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 2500, "{left}");
}

/// A request that crashes each backend server that runs it reaches three of them at most.
#[test]
fn crashing_request() {
    let script = |request: &RawRequest| match request.target.as_str() {
        "/stock/crash" => vec![Step::Reset],
        _ => answers_whole("x")(request),
    };
    let ledgers = [(); 5].map(|()| ScriptedServer::start(script).unwrap());
    let deployed = Deployed::start("ledger", &ledgers.each_ref());
    for number in 0..12 {
        let id = format!("crash-{number}");
        let status = deployed.entry.exchange(&request("GET", "/stock/crash", &id, "")).status();
        assert!(matches!(status, 502 | 503), "{status}");
        std::thread::sleep(Duration::from_millis(50));
    }
    let all: Vec<RawRequest> = ledgers.iter().flat_map(|it| it.requests()).collect();
    let n_sent = all.iter().filter(|it| it.target == "/stock/crash").count();
    assert!((1..=4).contains(&n_sent), "{n_sent}");
    // Other requests of the same caller go on.
    assert_eq!(deployed.entry.exchange(&request("GET", "/stock/1", "calm", "")).status(), 200);
}

fn draft(id: &str) -> Vec<u8> {
    let more = "X-Model: lots\r\nX-Token-Counts: 200,260\r\n";
    request("POST", "/draft/1", id, more)
}

fn tokens(reply: &Reply) -> Vec<u32> {
    let text = reply.text();
    let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
    ids.map(|it| it.trim().parse().unwrap()).collect()
}
