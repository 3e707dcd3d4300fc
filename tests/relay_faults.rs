//! Responses to callers when backend servers send invalid, truncated, late or extra bytes.

mod entry_process;

use std::{
    io::Write,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{
    complete_response, encode_response, event_chunk, read_response, request, stream_head,
    CallerResponse, Deployment,
};

/// A response with a length that is truncated at any byte never reaches the caller as complete, and
/// the request runs only once.
#[test]
fn truncated_response_runs_once() {
    let n_sent = AtomicU32::new(0);
    let ledger = ScriptedServer::start(move |request| {
        let bytes = encode_response(request, 200, "twelve bytes");
        let cut = n_sent.fetch_add(7, Ordering::Relaxed) as usize % bytes.len();
        vec![Step::Send(bytes[..cut].to_vec()), Step::Close]
    })
    .unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    for number in 0..18 {
        let id = format!("cut-{number}");
        let response = deployment.entry.exchange(&request("POST", "/hold/1", &id, ""));
        // 503: the backend server is ejected after failures, and the request was not sent to it.
        assert!(matches!(response.status(), 502 | 503), "{}", response.text());
        let requests = ledger.requests();
        let n_runs = requests.iter().filter(|it| it.header("x-request-id") == Some(&id));
        assert_eq!(n_runs.count(), usize::from(response.status() == 502), "{id}");
    }
}

/// A stream that is cut continues at another engine after the last complete event.
#[test]
fn cut_stream_resumes_elsewhere() {
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
    let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    let response = deployment.entry.exchange(&stream_request("resumed"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), [1, 2, 3, 4]);
    assert_eq!(response.text().matches("X-Server-Stamp").count(), 1);
}

/// Load pattern: an engine that fails all requests at once always looks idle. It must not attract the
/// requests of the pool.
#[test]
fn failing_engine_attracts_no_requests() {
    let failing =
        ScriptedServer::start(|request| vec![Step::Send(encode_response(request, 500, "failed"))]);
    let sound = ScriptedServer::start(|request| {
        let mut bytes = stream_head(request);
        bytes.extend(event_chunk(1));
        bytes.extend_from_slice(b"0\r\n\r\n");
        vec![Step::Send(bytes)]
    });
    let (failing, sound) = (failing.unwrap(), sound.unwrap());
    let deployment = Deployment::start("pool", &[&failing, &sound]);
    for number in 0..20 {
        let response = deployment.entry.exchange(&stream_request(&format!("failing-{number}")));
        assert_eq!(response.status(), 200, "{}", response.text());
    }
    assert!(failing.requests().len() <= 4, "{} requests", failing.requests().len());
}

/// A stream that stalls inside an event is resumed at another engine, although single bytes still
/// arrive.
#[test]
fn dripping_stream_is_resumed() {
    let script = |request: &RawRequest| {
        let mut bytes = stream_head(request);
        if request.header("last-event-id").is_some() {
            bytes.extend(event_chunk(2));
            bytes.extend_from_slice(b"0\r\n\r\n");
            return vec![Step::Send(bytes)];
        }
        bytes.extend(event_chunk(1));
        let drip =
            |_| [Step::Pause(Duration::from_millis(200)), Step::Send(b"1\r\ni\r\n".to_vec())];
        let drips = (0..12).flat_map(drip);
        std::iter::once(Step::Send(bytes)).chain(drips).collect()
    };
    let engines = [ScriptedServer::start(script).unwrap(), ScriptedServer::start(script).unwrap()];
    let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    let started = Instant::now();
    let response = deployment.entry.exchange(&stream_request("dripping"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), [1, 2]);
    assert!(started.elapsed() < Duration::from_millis(1800), "{:?}", started.elapsed());
}

/// A stream that no other engine can continue ends without the last chunk.
#[test]
fn unresumable_stream_is_incomplete() {
    let engine = ScriptedServer::start(|request| {
        let mut bytes = stream_head(request);
        bytes.extend(event_chunk(1));
        vec![Step::Send(bytes), Step::Pause(Duration::from_millis(20)), Step::Close]
    })
    .unwrap();
    let deployment = Deployment::start("pool", &[&engine]);
    let response = deployment.entry.exchange(&stream_request("cut"));
    assert_eq!(response.status(), 200);
    assert!(response.is_closed && !response.is_complete(), "{}", response.text());
}

/// A stream without length or chunks that ends inside an event is not passed on as complete.
#[test]
fn unframed_stream_is_incomplete() {
    let engine = ScriptedServer::start(|request| {
        let head = String::from_utf8(stream_head(request)).unwrap();
        let head = head.replace("Transfer-Encoding: chunked\r\n", "");
        let body = "id: 1\ndata: token-1\n\nid: 2\ndata: tok";
        vec![Step::Send((head + body).into_bytes()), Step::Close]
    })
    .unwrap();
    let deployment = Deployment::start("pool", &[&engine]);
    let response = deployment.entry.exchange(&stream_request("unframed"));
    assert!(response.is_closed && !response.is_complete(), "{}", response.text());
}

/// A second response to one request is never sent to the next request on that connection.
#[test]
fn extra_response_is_dropped() {
    let ledger = ScriptedServer::start(|request| {
        let bytes = encode_response(request, 200, "own");
        let pause = Step::Pause(Duration::from_millis(30));
        let extra = Step::Send(encode_response(request, 200, "extra"));
        vec![Step::Send(bytes), pause, extra]
    })
    .unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let mut caller = deployment.entry.connect();
    for number in 0..6 {
        let id = format!("extra-{number}");
        caller.write_all(&request("GET", "/stock/1", &id, "")).unwrap();
        let response = read_response(&mut caller);
        assert_eq!(response.status(), 200);
        assert!(response.text().contains(&format!("stamp-{id}")), "{}", response.text());
        assert!(response.text().ends_with("own"), "{}", response.text());
    }
}

/// An idempotent request whose response is lost is sent once more; any other request is not.
#[test]
fn only_idempotent_requests_are_retried() {
    let script = |_: &RawRequest| vec![Step::Reset];
    let ledgers = [ScriptedServer::start(script).unwrap(), ScriptedServer::start(script).unwrap()];
    let deployment = Deployment::start("ledger", &[&ledgers[0], &ledgers[1]]);
    let count = |id: &str| {
        let requests = ledgers.iter().flat_map(|it| it.requests());
        requests.filter(|it| it.header("x-request-id") == Some(id)).count()
    };
    assert_eq!(deployment.entry.exchange(&request("POST", "/hold/1", "hold", "")).status(), 502);
    assert_eq!(count("hold"), 1);
    assert_eq!(deployment.entry.exchange(&request("GET", "/stock/1", "stock", "")).status(), 502);
    assert_eq!(count("stock"), 2);
}

/// A backend server's refusal, which states that the request did not run, is passed on unchanged.
#[test]
fn backend_refusal_is_forwarded() {
    let ledger = ScriptedServer::start(|request| {
        let bytes = String::from_utf8(encode_response(request, 503, "")).unwrap();
        let bytes = bytes.replace("X-Server-Stamp", "X-Not-Run: 1\r\nX-Server-Stamp");
        vec![Step::Send(bytes.into_bytes())]
    })
    .unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let response = deployment.entry.exchange(&request("POST", "/hold/1", "refused", ""));
    assert_eq!(response.status(), 503);
    assert_eq!(ledger.requests().len(), 1);
}

/// A request that was sent and got no response is never reported as not run.
#[test]
fn silent_backend_times_out() {
    let ledger = ScriptedServer::start(|_| vec![Step::Pause(Duration::from_secs(30))]).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let started = Instant::now();
    let response = deployment.entry.exchange(&request("POST", "/hold/1", "silent", ""));
    assert_eq!(response.status(), 504, "{}", response.text());
    // The route's timeout is 2,500 ms.
    assert!(started.elapsed() < Duration::from_millis(3000), "{:?}", started.elapsed());
}

/// When a caller disconnects, the connection to the engine is closed within half a second.
#[test]
fn caller_disconnect_closes_backend_connection() {
    let script = |request: &RawRequest| {
        let mut steps = vec![Step::Send(stream_head(request))];
        for number in 1..40 {
            steps.push(Step::Send(event_chunk(number)));
            steps.push(Step::Pause(Duration::from_millis(50)));
        }
        steps
    };
    let engine = ScriptedServer::start(script).unwrap();
    let deployment = Deployment::start("pool", &[&engine]);
    let mut caller = deployment.entry.connect();
    caller.write_all(&stream_request("leaves")).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    drop(caller);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(engine.n_aborted_connections(), 1);
}

/// Requests with two lengths, invalid framing or too long headers never reach a backend server.
#[test]
fn bad_framing_is_refused() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let table: [(&str, u16); 5] = [
        ("Content-Length: 3\r\n", 400),
        ("Transfer-Encoding: chunked\r\n", 400),
        ("Transfer-Encoding: gzip\r\n", 400),
        ("Content-Length: x\r\n", 400),
        (&format!("X-Long: {}\r\n", "x".repeat(8000)), 431),
    ];
    for (extra_headers, status) in table {
        let response = deployment.entry.exchange(&request("POST", "/hold/1", "bad", extra_headers));
        assert_eq!(response.status(), status, "{extra_headers}");
    }
    assert!(ledger.requests().is_empty());
}

/// A backend server receives the customer's name, its own id and the remaining time, but neither
/// the caller's API key nor hop-by-hop headers.
#[test]
fn headers_sent_to_backend() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let extra_headers = "X-Tenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n";
    assert_eq!(
        deployment.entry.exchange(&request("GET", "/stock/1", "h", extra_headers)).status(),
        200
    );
    let received = &ledger.requests()[0];
    assert_eq!(received.header("authorization"), None);
    assert_eq!(received.header("x-hop"), None);
    assert_eq!(received.header("x-kept"), Some("2"));
    let customers: Vec<&str> =
        received.headers.iter().filter(|it| it.0 == "x-tenant").map(|it| it.1.as_str()).collect();
    assert_eq!(customers, ["weavers"]);
    assert_eq!(received.header("x-expect-instance"), Some("ledger-0"));
    let left: u64 = received.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 2500, "{left}");
}

/// A request that crashes each backend server that runs it is sent to at most three of them.
#[test]
fn crashing_request_is_contained() {
    let script = |request: &RawRequest| match request.target.as_str() {
        "/stock/crash" => vec![Step::Reset],
        _ => complete_response("x")(request),
    };
    let ledgers = [(); 5].map(|()| ScriptedServer::start(script).unwrap());
    let deployment = Deployment::start("ledger", &ledgers.each_ref());
    for number in 0..12 {
        let id = format!("crash-{number}");
        let status = deployment.entry.exchange(&request("GET", "/stock/crash", &id, "")).status();
        assert!(matches!(status, 502 | 503), "{status}");
        std::thread::sleep(Duration::from_millis(50));
    }
    let all: Vec<RawRequest> = ledgers.iter().flat_map(|it| it.requests()).collect();
    let n_sent = all.iter().filter(|it| it.target == "/stock/crash").count();
    assert!((1..=4).contains(&n_sent), "{n_sent}");
    // Other requests of the same caller are still served.
    assert_eq!(deployment.entry.exchange(&request("GET", "/stock/1", "calm", "")).status(), 200);
}

fn stream_request(id: &str) -> Vec<u8> {
    let extra_headers = "X-Model: lots\r\nX-Token-Counts: 200,260\r\n";
    request("POST", "/draft/1", id, extra_headers)
}

fn tokens(response: &CallerResponse) -> Vec<u32> {
    let text = response.text();
    let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
    ids.map(|it| it.trim().parse().unwrap()).collect()
}
