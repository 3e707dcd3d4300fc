//! An entry host while the store is unavailable or has lost its history, and while an operator
//! changes keys, charters and store entries.

mod entry_process;

use std::{
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{ScriptedServer, StoreFault, StoreStandin};
use entry_process::{charter, complete_response, request, server_entry, Deployment, EntryProcess};
use serde_json::json;

/// Time within which an acknowledged change must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2000);
/// Time after the removal of its entry from which a server must get no requests.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Time after the store's return within which servers whose entries lapsed write them again.
const RENEWAL_TIME: Duration = Duration::from_millis(1900);

fn status(deployment: &Deployment, path: &str) -> u16 {
    deployment.entry.exchange(&request("GET", path, "probe", "")).status()
}

/// Waits until a request to `path` gets the status `expected`, for at most `limit`.
fn check_status_within(deployment: &Deployment, path: &str, expected: u16, limit: Duration) {
    let since = Instant::now();
    while status(deployment, path) != expected {
        assert!(since.elapsed() < limit, "{path} does not get status {expected} within {limit:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn charter_without_keys(version: u64) -> serde_json::Value {
    let mut charter = charter(version);
    charter["tenants"][0]["api-keys"] = json!([]);
    charter
}

#[test]
fn revoked_key_is_refused() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    assert_eq!(status(&deployment, "/stock/1"), 200);
    deployment.store.put("config", "main", charter_without_keys(4));
    check_status_within(&deployment, "/stock/1", 401, APPLY_LIMIT);
    assert_eq!(status(&deployment, "/nowhere/1"), 404);
    // A charter with a smaller number never replaces one with a greater number.
    deployment.store.put("config", "main", charter(3));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(status(&deployment, "/stock/1"), 401);
}

#[test]
fn requests_served_during_outage() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let faults =
        [StoreFault::Status(503), StoreFault::Status(429), StoreFault::Reset, StoreFault::Silent];
    for (idx, fault) in faults.into_iter().enumerate() {
        let version = 10 + 2 * idx as u64;
        deployment.store.set_fault(fault);
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(status(&deployment, "/stock/1"), 200, "{fault:?}");
        deployment.store.put("config", "main", charter_without_keys(version));
        deployment.store.set_fault(StoreFault::None);
        // No bound applies in the first 3,000 ms after an outage; the bound of the configuration
        // follows.
        check_status_within(
            &deployment,
            "/stock/1",
            401,
            Duration::from_millis(3000) + APPLY_LIMIT,
        );
        deployment.store.put("config", "main", charter(version + 1));
        check_status_within(&deployment, "/stock/1", 200, APPLY_LIMIT);
    }
}

/// Engines of a zone that was taken out of service got requests for 2.45 s, as if the store had lost
/// their leases, though it answered all the while.
#[test]
fn removed_together_gone_together() {
    let ledgers = [(); 4].map(|()| ScriptedServer::start(complete_response("x")).unwrap());
    let deployment = Deployment::start("ledger", &ledgers.each_ref());
    assert_eq!(status(&deployment, "/stock/1"), 200);
    (0..4).for_each(|it| deployment.store.remove("servers", &format!("ledger-{it}")));
    check_status_within(&deployment, "/stock/1", 503, DRAIN_TIME);
}

/// A server that was removed while the store dropped all connections once was used for 2.2 s more.
#[test]
fn reset_brings_no_grace() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    assert_eq!(status(&deployment, "/stock/1"), 200);
    deployment.store.set_fault(StoreFault::Reset);
    thread::sleep(Duration::from_millis(30));
    deployment.store.remove("servers", "ledger-0");
    deployment.store.set_fault(StoreFault::None);
    check_status_within(&deployment, "/stock/1", 503, DRAIN_TIME);
}

/// Servers whose entries lapsed while the store was away are used until they can have written them
/// again, and no longer.
#[test]
fn lapsed_servers_outlast_outage() {
    let faults = [StoreFault::Status(503), StoreFault::Reset, StoreFault::Silent];
    for fault in faults {
        let ledger = ScriptedServer::start(complete_response("x")).unwrap();
        let deployment = Deployment::start("ledger", &[&ledger]);
        deployment.store.set_fault(fault);
        thread::sleep(Duration::from_millis(1500));
        deployment.store.remove("servers", "ledger-0");
        deployment.store.set_fault(StoreFault::None);
        let returned = Instant::now();
        while returned.elapsed() < RENEWAL_TIME {
            assert_eq!(status(&deployment, "/stock/1"), 200, "{fault:?}");
            thread::sleep(Duration::from_millis(20));
        }
        // A call that the outage broke may be retried 0.6 s after the return.
        check_status_within(&deployment, "/stock/1", 503, Duration::from_millis(1300));
    }
}

/// In scale-2 (SENARC) the store didn't answer a watch that was sent right after it had dropped its
/// history, and an engine that had left got requests for 15 s. A connection may go silent as well.
#[test]
fn silent_watch_is_replaced() {
    for is_sent_after_loss in [true, false] {
        let ledger = ScriptedServer::start(complete_response("x")).unwrap();
        let deployment = Deployment::start("ledger", &[&ledger]);
        let silence = |kind: &str| {
            if is_sent_after_loss {
                deployment.store.compact();
            }
            deployment.store.silence_watch(kind);
            // Time for the watch to be sent again, if it is, and not to be answered.
            thread::sleep(Duration::from_millis(700));
        };
        silence("servers");
        deployment.store.remove("servers", "ledger-0");
        check_status_within(&deployment, "/stock/1", 503, DRAIN_TIME);
        let entry = server_entry("ledger", ledger.address(), "ready");
        deployment.store.put("servers", "ledger-0", entry);
        check_status_within(&deployment, "/stock/1", 200, DRAIN_TIME);
        silence("config");
        deployment.store.put("config", "main", charter_without_keys(2));
        check_status_within(&deployment, "/stock/1", 401, APPLY_LIMIT);
    }
}

/// A watch whose kind doesn't change is not sent again while others change.
#[test]
fn quiet_watches_go_on() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    thread::sleep(Duration::from_millis(700));
    let before = deployment.store.counts();
    for round in 0..4 {
        deployment.store.put("config", "main", charter(2 + round));
        thread::sleep(Duration::from_millis(1000));
    }
    let after = deployment.store.counts();
    assert_eq!(after.lists, before.lists);
    assert!(after.watches - before.watches <= 5, "{before:?} {after:?}");
    let n_stale = after.stale_lists - before.stale_lists;
    assert!(n_stale <= 8, "more probes than one each 0.54 s: {n_stale}");
}

#[test]
fn lost_history_is_listed_again() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    deployment.store.compact();
    deployment.store.put(
        "servers",
        "ledger-0",
        server_entry("ledger", ledger.address(), "draining"),
    );
    check_status_within(&deployment, "/stock/1", 503, APPLY_LIMIT);
    deployment.store.put("servers", "ledger-0", server_entry("ledger", ledger.address(), "ready"));
    check_status_within(&deployment, "/stock/1", 200, APPLY_LIMIT);
}

/// Store entries that cannot be decoded are ignored; all other entries stay in force.
#[test]
fn malformed_entries_are_skipped() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
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
        deployment.store.put("servers", &format!("odd-{idx}"), spec);
    }
    thread::sleep(Duration::from_millis(300));
    for _ in 0..10 {
        assert_eq!(status(&deployment, "/stock/1"), 200);
    }
    assert!(ledger.requests().iter().all(|it| it.header("x-expect-instance") == Some("ledger-0")));
}

/// A process without a charter reports that it is not ready and refuses requests as not run.
#[test]
fn unready_without_a_charter() {
    let store = StoreStandin::start().unwrap();
    store.set_fault(StoreFault::Reset);
    let entry = EntryProcess::start(&store, "entry-1");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(entry.readiness_status(), 503);
    let response = entry.exchange(&request("POST", "/hold/1", "early", ""));
    assert_eq!(response.status(), 503);
    assert!(response.text().contains("Retry-After"), "{}", response.text());
    store.put("config", "main", charter(1));
    store.set_fault(StoreFault::None);
    let available_since = Instant::now();
    entry.wait_until_ready();
    assert!(available_since.elapsed() < Duration::from_secs(1), "{:?}", available_since.elapsed());
}

/// An idle host makes few calls to the store.
#[test]
fn idle_host_calls_store_rarely() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    thread::sleep(Duration::from_millis(500));
    let before = deployment.store.n_calls();
    thread::sleep(Duration::from_secs(4));
    let n_calls = deployment.store.n_calls() - before;
    assert!(n_calls <= 8, "{n_calls} calls in 4 s");
}
