//! Responses with a status that HTTP doesn't have. What such a server did is unknown, so the response is
//! lost: it reaches no caller, and the request may have run.

mod entry_process;

use std::{net::SocketAddr, time::Duration};

use crocustiller::{
    http1::{Call, Client, HttpError, ResponseHead},
    runtime,
};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{
    complete_response, event_chunk, request, server_entry, stream_head, CallerResponse, Deployment,
};

const STATUSES: [&str; 4] = ["000", "099", "600", "999"];
const END: &[u8] = b"0\r\n\r\n";

/// Starts a server whose responses have this status and look sound otherwise; one says that the request
/// was not run, which such a response can't promise.
fn invalid_server(status: &'static str, extra_headers: &'static str) -> ScriptedServer {
    ScriptedServer::start(move |request: &RawRequest| {
        let id = request.header("x-request-id").unwrap_or("");
        let response = format!(
            "HTTP/1.1 {status} OK\r\nX-Request-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n\
             {extra_headers}Content-Length: 3\r\n\r\nbad"
        );
        vec![Step::Send(response.into_bytes())]
    })
    .unwrap()
}

fn engine(events: [u32; 2]) -> ScriptedServer {
    ScriptedServer::start(move |request: &RawRequest| {
        let events = events.map(event_chunk).concat();
        vec![Step::Send([stream_head(request), events, END.to_vec()].concat())]
    })
    .unwrap()
}

fn draft(id: &str) -> Vec<u8> {
    request("POST", "/draft/1", id, "X-Model: lots\r\nX-Token-Counts: 200,20\r\n")
}

fn is_lost(response: &CallerResponse) -> bool {
    response.status() == 502 && response.text().contains("X-Verdict: may-have-run")
}

/// Guards against failing a call that the other server can serve, and against keeping the invalid server.
#[test]
fn repeatable_call() {
    for status in STATUSES {
        let sound = ScriptedServer::start(complete_response("sound")).unwrap();
        let invalid = invalid_server(status, "");
        let deployment = Deployment::start("ledger", &[&invalid, &sound]);
        for number in 0..30 {
            let call = request("GET", "/stock/1", &format!("call-{number}"), "");
            let response = deployment.entry.exchange(&call);
            assert_eq!(response.status(), 200, "{status}: {}", response.text());
        }
        assert!(!invalid.requests().is_empty());
        let ejected = "health: ejected a backend server backend=ledger-0";
        assert!(deployment.entry.logs(ejected), "{status}");
    }
}

/// Guards against repeating a call that may have run, and against using the connection again.
#[test]
fn call_that_must_not_be_repeated() {
    for status in STATUSES {
        for extra_headers in ["", "X-Not-Run: 1\r\n"] {
            let invalid = [(); 2].map(|()| invalid_server(status, extra_headers));
            let deployment = Deployment::start("ledger", &[&invalid[0], &invalid[1]]);
            let response = deployment.entry.exchange(&request("POST", "/hold/1", "once", ""));
            assert!(is_lost(&response), "{status}: {}", response.text());
            assert_eq!(invalid[0].requests().len() + invalid[1].requests().len(), 1, "{status}");
        }
    }
}

/// Guards against refusing a request as one that crashes servers, as none of them broke a connection.
#[test]
fn invalid_status_is_no_crash() {
    let invalid = [(); 4].map(|()| invalid_server("000", ""));
    let deployment = Deployment::start("ledger", &[&invalid[0]]);
    for (idx, server) in invalid.iter().enumerate() {
        let entry = server_entry("ledger", server.address(), "ready");
        deployment.store.put("servers", &format!("ledger-{idx}"), entry);
        for number in 0..50 {
            let call = request("GET", "/stock/1", &format!("call-{idx}-{number}"), "");
            let response = deployment.entry.exchange(&call);
            assert!(!response.text().contains("crashed"), "{}", response.text());
            if !server.requests().is_empty() {
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        assert!(!server.requests().is_empty(), "server {idx}");
        deployment.store.remove("servers", &format!("ledger-{idx}"));
    }
}

/// Guards against reading further responses from a connection whose state is unknown.
#[test]
fn connection_is_closed() {
    for status in STATUSES {
        let invalid = invalid_server(status, "");
        let deployment = Deployment::start("ledger", &[&invalid]);
        for id in ["first", "second"] {
            let response = deployment.entry.exchange(&request("GET", "/stock/1", id, ""));
            assert!(is_lost(&response), "{status}: {}", response.text());
        }
        let requests = invalid.requests();
        assert_ne!(requests[0].connection, requests[1].connection, "{status}");
    }
}

/// Guards against a stream that begins with an invalid response, and against failing it while another engine
/// can serve it.
#[test]
fn start_of_a_stream() {
    for status in STATUSES {
        let invalid = invalid_server(status, "");
        let deployment = Deployment::start("pool", &[&invalid]);
        let response = deployment.entry.exchange(&draft("alone"));
        assert!(is_lost(&response), "{status}: {}", response.text());
        let servers = [invalid_server(status, ""), engine([1, 2])];
        let deployment = Deployment::start("pool", &[&servers[0], &servers[1]]);
        for number in 0..6 {
            let response = deployment.entry.exchange(&draft(&format!("stream-{number}")));
            assert!(response.is_complete(), "{status}: {}", response.text());
            assert!(response.text().contains("token-2"), "{status}: {}", response.text());
        }
    }
}

/// Guards against continuing a stream with a part of an invalid response.
#[test]
fn resumption_of_a_stream() {
    for status in STATUSES {
        let script = move |request: &RawRequest| match request.header("last-event-id") {
            None => vec![Step::Send([stream_head(request), event_chunk(1)].concat()), Step::Close],
            Some(_) => {
                let id = request.header("x-request-id").unwrap_or("");
                let head = format!("HTTP/1.1 {status} OK\r\nX-Request-Id: {id}\r\n");
                let rest = "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\
                            Transfer-Encoding: chunked\r\n\r\n";
                let bytes = [head.as_bytes(), rest.as_bytes(), &event_chunk(2), END].concat();
                vec![Step::Send(bytes)]
            }
        };
        let engines = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
        let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
        let response = deployment.entry.exchange(&draft("resumed"));
        let text = response.text();
        assert!(response.is_closed && !response.is_complete(), "{status}: {text}");
        assert!(text.contains("token-1") && !text.contains("token-2"), "{status}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{status}: {text}");
    }
}

/// Guards against accepting such a response from a slot, the store, the origin or another entry host, which
/// are all called by this client.
#[test]
fn responses_of_other_processes() {
    for status in STATUSES {
        let invalid = invalid_server(status, "");
        let address: SocketAddr = invalid.address();
        let call = Call::get("/", Duration::from_secs(2), 1000);
        let res = runtime::run_local(async { Client::default().call(address, &call).await });
        assert!(matches!(res, Err(HttpError::Malformed(_))), "{status}: {res:?}");
    }
}

/// Guards against refusing a status that HTTP has, and against accepting another one.
#[test]
fn all_statuses() {
    for status in 0..1000 {
        let head = format!("HTTP/1.1 {status:03} OK\r\n\r\n");
        let is_valid = ResponseHead::parse(head.as_bytes()).is_ok();
        assert_eq!(is_valid, (100..600).contains(&status), "{status}");
    }
}
