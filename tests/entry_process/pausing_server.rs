//! Backend servers that refuse requests and ask for a pause.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use serde_json::Value;

use super::{
    complete_response, encode_response, event_chunk, request, server_entry, stream_head,
    CallerResponse, Deployment, EntryProcess,
};

/// Header fields of a request for a stream.
pub const STREAM_HEADERS: &str = "X-Model: lots\r\nX-Token-Counts: 200,260\r\n";

/// Starts a server that refuses its first `n_refusals` requests with a pause.
pub fn pausing_server(n_refusals: u32, pause: &'static str, extra: &'static str) -> ScriptedServer {
    let n_requests = AtomicU32::new(0);
    ScriptedServer::start(move |request| {
        match n_requests.fetch_add(1, Ordering::Relaxed) < n_refusals {
            true => vec![Step::Send(refusal(request, pause, extra))],
            false => whole_response(request),
        }
    })
    .unwrap()
}

/// Starts an entry host in front of a pool of engines with these numbers of slots, and waits until it
/// admits requests to all slots.
pub fn start_pool(charter: Value, engines: &[(&ScriptedServer, u32)]) -> Deployment {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter);
    for (idx, (server, slots)) in engines.iter().enumerate() {
        let mut listed = server_entry("pool", server.address(), "ready");
        listed["slots"] = (*slots).into();
        store.put("servers", &format!("pool-{idx}"), listed);
    }
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    // The owner admits to half of the slots at first.
    thread::sleep(Duration::from_millis(500));
    Deployment { store, entry }
}

/// Returns the steps of a complete response, which is a stream on the streaming route.
pub fn whole_response(request: &RawRequest) -> Vec<Step> {
    match request.target.as_str() {
        "/draft/1" => whole_stream(request),
        _ => complete_response("own")(request),
    }
}

/// Returns the steps of a stream with one event.
pub fn whole_stream(request: &RawRequest) -> Vec<Step> {
    let bytes = [stream_head(request), event_chunk(1), b"0\r\n\r\n".to_vec()].concat();
    vec![Step::Send(bytes)]
}

/// Returns the bytes of a refusal that asks for a pause of so many seconds.
pub fn refusal(request: &RawRequest, pause: &str, extra: &str) -> Vec<u8> {
    let text = String::from_utf8(encode_response(request, 503, "")).unwrap();
    let headers = format!("{extra}Retry-After: {pause}\r\nX-Server-Stamp");
    text.replacen("X-Server-Stamp", &headers, 1).into_bytes()
}

/// Returns the time in seconds after which a refused caller is to come back.
pub fn retry_after(response: &CallerResponse) -> Option<f64> {
    let text = response.text();
    let value = text.lines().find_map(|it| it.strip_prefix("Retry-After: "))?;
    value.trim().parse().ok()
}

/// Sends a request with an empty body and reads the response.
pub fn send(entry: &EntryProcess, path: &str, id: &str) -> CallerResponse {
    entry.exchange(&request("POST", path, id, STREAM_HEADERS))
}

/// Waits until the log of an entry host has these parts.
pub fn wait_for_lines(entry: &EntryProcess, expected: &[&str]) {
    let deadline = Instant::now() + Duration::from_secs(3);
    loop {
        let log = std::fs::read_to_string(entry.log_path()).unwrap();
        if expected.iter().all(|it| log.contains(it)) {
            return;
        }
        assert!(Instant::now() < deadline, "{log}");
        thread::sleep(Duration::from_millis(50));
    }
}
