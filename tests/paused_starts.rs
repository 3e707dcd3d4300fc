//! Pauses of backend servers that start again or are replaced.

mod entry_process;

use std::{
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crocustiller_standins::raw_http::{ScriptedServer, Step};
use entry_process::{
    pausing_server::{pausing_server, refusal, send, whole_response},
    server_entry, Deployment,
};

/// Time within which an entry host has applied a change in the store.
const APPLY_TIME: Duration = Duration::from_millis(900);

/// Another start of a server takes requests at once.
#[test]
fn new_start_ends_a_pause() {
    let server = pausing_server(1, "30", "X-Not-Run: 1\r\n");
    let deployment = Deployment::start("ledger", &[&server]);
    let refused = send(&deployment.entry, "/hold/1", "refused");
    assert_eq!(refused.status(), 503, "{}", refused.text());
    assert_eq!(send(&deployment.entry, "/hold/1", "paused").status(), 503);
    assert_eq!(server.requests().len(), 1);
    put_started(&deployment, "ledger-0", &server, unix_time_ms() + 1);
    thread::sleep(APPLY_TIME);
    assert_eq!(send(&deployment.entry, "/hold/1", "started").status(), 200);
}

/// Guards against sending requests into the pause of a new start that asked for it before its entry
/// came: what is listed tells which start answered only later.
#[test]
fn pause_of_a_start_that_is_listed_later() {
    for (service, path) in [("ledger", "/hold/1"), ("pool", "/draft/1")] {
        let server = pausing_server(1, "30", "X-Not-Run: 1\r\n");
        let deployment = Deployment::start(service, &[&server]);
        let started_ms = unix_time_ms();
        assert_eq!(send(&deployment.entry, path, "refused").status(), 503);
        put_started(&deployment, &format!("{service}-0"), &server, started_ms);
        thread::sleep(APPLY_TIME);
        let response = send(&deployment.entry, path, "paused");
        assert_eq!(response.status(), 503, "{path}: {}", response.text());
        assert_eq!(server.requests().len(), 1, "{path}");
    }
}

/// A pause binds the server that asked for it, not the next one at its address; a server that
/// refuses requests meant for another one asks for nothing on its behalf.
#[test]
fn pause_ends_with_its_server() {
    for (service, path) in [("ledger", "/hold/1"), ("pool", "/draft/1")] {
        let server = pausing_server(1, "30", "X-Not-Run: 1\r\n");
        let deployment = Deployment::start(service, &[&server]);
        assert_eq!(send(&deployment.entry, path, "refused").status(), 503);
        assert_eq!(send(&deployment.entry, path, "paused").status(), 503);
        deployment.store.remove("servers", &format!("{service}-0"));
        let next = server_entry(service, server.address(), "ready");
        deployment.store.put("servers", &format!("{service}-next"), next);
        thread::sleep(APPLY_TIME);
        let response = send(&deployment.entry, path, "next");
        assert_eq!(response.status(), 200, "{path}: {}", response.text());
    }
    let n_requests = AtomicU32::new(0);
    let other = ScriptedServer::start(move |request| {
        let refused = String::from_utf8(refusal(request, "30", "")).unwrap();
        match n_requests.fetch_add(1, Ordering::Relaxed) {
            0 => vec![Step::Send(refused.replacen("503", "421", 1).into_bytes())],
            _ => whole_response(request),
        }
    })
    .unwrap();
    let deployment = Deployment::start("ledger", &[&other]);
    send(&deployment.entry, "/hold/1", "misdirected");
    let response = send(&deployment.entry, "/hold/1", "own");
    assert_eq!(response.status(), 200, "{}", response.text());
}

/// Lists a server with another time of its start.
fn put_started(deployment: &Deployment, name: &str, server: &ScriptedServer, started_ms: u64) {
    let service = name.split('-').next().unwrap();
    let mut entry = server_entry(service, server.address(), "ready");
    entry["born"] = started_ms.into();
    deployment.store.put("servers", name, entry);
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
