//! Connections that callers keep without a request, up to the idle limit of the charter.

mod entry_process;

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::ScriptedServer;
use entry_process::{charter, complete_response, read_response, request, Deployment};

/// Time within which a changed charter is in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against reading a request after the idle connection was closed: it got neither an answer
/// nor a refusal, and its caller could not know that it had not run.
#[test]
fn closed_idle_connection_is_not_read() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    set_idle_limit(&deployment, 2, Duration::from_millis(500));
    let mut caller = kept_connection(&deployment);
    assert_eq!(caller.read(&mut [0]).unwrap(), 0, "the idle connection is closed");
    let hold = request("POST", "/hold/1", "crossing", "");
    caller.write_all(&hold).unwrap();
    thread::sleep(Duration::from_millis(100));
    assert!(caller.write_all(&hold).is_err(), "the host reads a connection that it has closed");
    assert_eq!(ledger.requests().len(), 1);
}

/// Guards against reading, and dropping, a request that crosses the close after a last response.
#[test]
fn request_after_last_response_stays_unread() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let mut caller = deployment.entry.connect();
    let last = request("GET", "/stock/1", "last", "Connection: close\r\n");
    caller.write_all(&last).unwrap();
    assert_eq!(read_response(&mut caller).status(), 200);
    caller.write_all(&request("POST", "/hold/1", "crossing", "")).unwrap();
    thread::sleep(Duration::from_millis(800));
    // A reset after the end of the responses.
    let end = caller.take_error().unwrap().map(|it| it.kind());
    assert_eq!(end, Some(ErrorKind::BrokenPipe), "the request was read");
    assert_eq!(ledger.requests().len(), 1);
}

/// Guards against closing a connection at the limit of the charter that was in force when it became
/// idle, while its caller goes by a newer, longer one.
#[test]
fn longer_idle_limit_holds_at_once() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    set_idle_limit(&deployment, 2, Duration::from_millis(2500));
    let mut caller = kept_connection(&deployment);
    let idle_since = Instant::now();
    set_idle_limit(&deployment, 3, Duration::from_millis(4500));
    assert!(idle_since.elapsed() < Duration::from_millis(2500), "the charter came too late");
    thread::sleep(Duration::from_millis(3200).saturating_sub(idle_since.elapsed()));
    caller.write_all(&request("POST", "/hold/1", "second", "")).unwrap();
    assert_eq!(read_response(&mut caller).status(), 200);
    assert_eq!(caller.read(&mut [0]).unwrap(), 0, "the connection is closed at the longer limit");
}

/// Opens a connection and makes one request on it.
fn kept_connection(deployment: &Deployment) -> TcpStream {
    let mut caller = deployment.entry.connect();
    caller.write_all(&request("GET", "/stock/1", "first", "")).unwrap();
    assert_eq!(read_response(&mut caller).status(), 200);
    caller
}

/// Puts a charter with this idle limit into force.
fn set_idle_limit(deployment: &Deployment, number: u64, idle_limit: Duration) {
    let mut charter = charter(number);
    charter["limits"]["idle-timeout-ms"] = (idle_limit.as_millis() as u64).into();
    deployment.store.put("config", "main", charter);
    let line = format!("charter: in force number={number} ");
    let started = Instant::now();
    while !std::fs::read_to_string(deployment.entry.log_path()).unwrap().contains(&line) {
        assert!(started.elapsed() < APPLY_TIMEOUT, "charter {number} is not in force");
        thread::sleep(Duration::from_millis(10));
    }
}
