//! Responses that end inside their head.

mod entry_process;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{encode_response, event_chunk, request, stream_head, Deployment};

const STREAM_HEADERS: &str = "X-Model: lots\r\nX-Token-Counts: 200,260\r\n";

/// A response that is cut at any byte of its head never reaches the caller as a success, nor as
/// "not run".
#[test]
fn head_cut_at_any_byte() {
    for end in [Step::Close, Step::Reset] {
        let server = cutting_server(false, end.clone());
        let deployment = Deployment::start("ledger", &[&server]);
        for n_sent in 0..head_bytes(false) {
            let exchange = |id: &str, headers: &str| {
                deployment.entry.exchange(&request("POST", "/hold/1", id, headers))
            };
            // The success in between keeps the server from being ejected.
            assert_eq!(exchange("whole", "").status(), 200);
            let response = exchange(&cut_id(n_sent), &format!("X-Cut: {n_sent}\r\n"));
            assert_eq!(response.status(), 502, "{n_sent} {end:?}: {}", response.text());
        }
        assert_eq!(server.requests().len(), 2 * head_bytes(false));
    }
}

/// A stream whose head is cut at both engines is an error, never a stream without events.
#[test]
fn stream_head_cut_at_both_engines() {
    let servers = [(); 2].map(|()| cutting_server(true, Step::Close));
    for n_sent in (0..head_bytes(true)).step_by(7) {
        let deployment = Deployment::start("pool", &servers.each_ref());
        let headers = format!("{STREAM_HEADERS}X-Cut: {n_sent}\r\n");
        let bytes = request("POST", "/draft/1", &cut_id(n_sent), &headers);
        let response = deployment.entry.exchange(&bytes);
        assert_eq!(response.status(), 502, "{n_sent}: {}", response.text());
        let received = servers.iter().flat_map(|it| it.requests());
        let n_attempts = received.filter(|it| it.header("x-request-id") == Some(&cut_id(n_sent)));
        assert_eq!(n_attempts.count(), 2);
    }
}

/// The lines of a head may be complete and only the blank line missing, with any framing.
#[test]
fn head_without_blank_line() {
    for framing in
        ["Content-Length: 12\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""]
    {
        for status in [200, 404] {
            let server = ScriptedServer::start(move |request: &RawRequest| {
                let id = request.header("x-request-id").unwrap();
                let head = format!(
                    "HTTP/1.1 {status} OK\r\nX-Request-Id: {id}\r\nX-Server-Stamp: s\r\n\
                     Content-Type: text/event-stream\r\n{framing}"
                );
                vec![Step::Send(head.into_bytes()), Step::Close]
            })
            .unwrap();
            for (service, path) in [("ledger", "/hold/1"), ("pool", "/draft/1")] {
                let deployment = Deployment::start(service, &[&server]);
                let bytes = request("POST", path, "blank", STREAM_HEADERS);
                let response = deployment.entry.exchange(&bytes);
                assert_eq!(response.status(), 502, "{path} {framing}: {}", response.text());
            }
        }
    }
}

/// A stream that another engine is to continue gets no end from a head that is cut.
#[test]
fn resumed_head_cut_at_any_byte() {
    let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
    let script = move |request: &RawRequest| {
        let id = request.header("x-request-id").unwrap().to_owned();
        if seen.lock().unwrap().insert(id) {
            return vec![Step::Send([stream_head(request), event_chunk(1)].concat()), Step::Close];
        }
        let n_sent: usize = request.header("x-cut").unwrap().parse().unwrap();
        vec![Step::Send(stream_head(request)[..n_sent].to_vec()), Step::Close]
    };
    let servers = [(); 2].map(|()| ScriptedServer::start(script.clone()).unwrap());
    for n_sent in (0..head_bytes(true)).step_by(7) {
        let deployment = Deployment::start("pool", &servers.each_ref());
        let extra = format!("{STREAM_HEADERS}X-Cut: {n_sent}\r\n");
        let bytes = request("POST", "/draft/1", &cut_id(n_sent), &extra);
        let response = deployment.entry.exchange(&bytes);
        let text = response.text();
        assert!(response.is_closed && !response.is_complete(), "{n_sent}: {text}");
        assert!(text.contains("token-1"), "{n_sent}: {text}");
    }
}

/// Starts a server that ends each response after the number of bytes that the request names, if it
/// names one.
fn cutting_server(is_stream: bool, end: Step) -> ScriptedServer {
    ScriptedServer::start(move |request| {
        let mut bytes = whole_response(request, is_stream);
        let Some(n_sent) = request.header("x-cut") else { return vec![Step::Send(bytes)] };
        bytes.truncate(n_sent.parse().unwrap());
        vec![Step::Send(bytes), end.clone()]
    })
    .unwrap()
}

fn whole_response(request: &RawRequest, is_stream: bool) -> Vec<u8> {
    match is_stream {
        true => [stream_head(request), event_chunk(1), b"0\r\n\r\n".to_vec()].concat(),
        false => encode_response(request, 200, "twelve bytes"),
    }
}

/// Returns the length of a head; all ids have the same length.
fn head_bytes(is_stream: bool) -> usize {
    let id = ("x-request-id".to_owned(), cut_id(0));
    let request = RawRequest { headers: vec![id], ..RawRequest::default() };
    let bytes = whole_response(&request, is_stream);
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n").unwrap();
    end + 4
}

fn cut_id(n_sent: usize) -> String {
    format!("cut-{n_sent:04}")
}
