//! An entry host while the store is away, slow or forgetful, and while the operator changes things.

mod deployed;

use std::{
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{ScriptedServer, StoreFault, StoreStandin};
use deployed::{answers_whole, charter, request, server_entry, Deployed, EntryProcess};
use serde_json::json;

/// Time from an acknowledged change until it is in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2000);

fn status(deployed: &Deployed, path: &str) -> u16 {
    deployed.entry.exchange(&request("GET", path, "probe", "")).status()
}

/// Waits until a request to `path` is answered with `expected`, for at most `limit`.
fn check_within(deployed: &Deployed, path: &str, expected: u16, limit: Duration) {
    let since = Instant::now();
    while status(deployed, path) != expected {
        assert!(since.elapsed() < limit, "{path} is not answered with {expected} in {limit:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn without_keys(version: u64) -> serde_json::Value {
    let mut charter = charter(version);
    charter["tenants"][0]["api-keys"] = json!([]);
    charter
}

#[test]
fn revoked_key() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    assert_eq!(status(&deployed, "/stock/1"), 200);
    deployed.store.put("config", "main", without_keys(4));
    check_within(&deployed, "/stock/1", 401, APPLY_LIMIT);
    assert_eq!(status(&deployed, "/nowhere/1"), 404);
    // A charter with a smaller number never takes the place of a greater one.
    deployed.store.put("config", "main", charter(3));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(status(&deployed, "/stock/1"), 401);
}

#[test]
fn served_through_an_outage() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    let faults =
        [StoreFault::Status(503), StoreFault::Status(429), StoreFault::Reset, StoreFault::Silent];
    for (idx, fault) in faults.into_iter().enumerate() {
        let version = 10 + 2 * idx as u64;
        deployed.store.set_fault(fault);
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(status(&deployed, "/stock/1"), 200, "{fault:?}");
        deployed.store.put("config", "main", without_keys(version));
        deployed.store.set_fault(StoreFault::None);
        // The bound of the configuration, after the time in which nobody is held to it.
        check_within(&deployed, "/stock/1", 401, Duration::from_millis(3000) + APPLY_LIMIT);
        deployed.store.put("config", "main", charter(version + 1));
        check_within(&deployed, "/stock/1", 200, APPLY_LIMIT);
    }
}

#[test]
fn history_gone() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    deployed.store.compact();
    deployed.store.put("servers", "ledger-0", server_entry("ledger", ledger.address(), "draining"));
    check_within(&deployed, "/stock/1", 503, APPLY_LIMIT);
    deployed.store.put("servers", "ledger-0", server_entry("ledger", ledger.address(), "ready"));
    check_within(&deployed, "/stock/1", 200, APPLY_LIMIT);
}

/// Entries of another writer name no backend server; the others hold.
#[test]
fn malformed_entries() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    let entry = server_entry("ledger", ledger.address(), "ready");
    let change = |field: &str, value: serde_json::Value| {
        let mut entry = entry.clone();
        entry[field] = value;
        entry
    };
    let table = [
        json!("bytes that can't be read"),
        json!(null),
        json!({ "service": "ledger" }),
        change("address", json!("nowhere")),
        change("state", json!("resting")),
        change("slots", json!("many")),
        change("service", json!(["ledger"])),
    ];
    for (idx, spec) in table.into_iter().enumerate() {
        deployed.store.put("servers", &format!("odd-{idx}"), spec);
    }
    thread::sleep(Duration::from_millis(300));
    for _ in 0..10 {
        assert_eq!(status(&deployed, "/stock/1"), 200);
    }
    assert!(ledger.requests().iter().all(|it| it.header("x-expect-instance") == Some("ledger-0")));
}

/// A process without a charter says that it is not ready and refuses as not run.
#[test]
fn cold_start() {
    let store = StoreStandin::start().unwrap();
    store.set_fault(StoreFault::Reset);
    let entry = EntryProcess::start(&store, "entry-1");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(entry.readiness(), 503);
    let reply = entry.exchange(&request("POST", "/hold/1", "early", ""));
    assert_eq!(reply.status(), 503);
    assert!(reply.text().contains("Retry-After"), "{}", reply.text());
    store.put("config", "main", charter(1));
    store.set_fault(StoreFault::None);
    let back = Instant::now();
    entry.wait_until_ready();
    assert!(back.elapsed() < Duration::from_secs(1), "{:?}", back.elapsed());
}

/// A host at rest asks the store seldom.
#[test]
fn calls_at_rest() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let deployed = Deployed::start("ledger", &[&ledger]);
    thread::sleep(Duration::from_millis(500));
    let before = deployed.store.n_calls();
    thread::sleep(Duration::from_secs(4));
    let n_calls = deployed.store.n_calls() - before;
    assert!(n_calls <= 8, "{n_calls} calls in 4 s");
}
