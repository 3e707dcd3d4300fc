//! An entry host and one backend server whose entry says that it is cold.

mod entry_process;

use std::{
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{ScriptedServer, StoreStandin};
use entry_process::{
    charter,
    pausing_server::{wait_for_lines, whole_response, whole_stream},
    request, server_entry, EntryProcess,
};
use serde_json::json;

const N_REQUESTS: usize = 8;
/// Least time between two requests at the cold server, after a burst.
const MIN_INTERVAL_MS: u128 = 400;

/// The charter's cold start, the entry and the bounds reach the decision for both kinds of services: of
/// requests that come together, a cold server gets few and a warm one all. None that is refused may run.
#[test]
fn requests_at_once() {
    for (service, path, n_cold) in [("pool", "/draft/", 1), ("ledger", "/stock/", 2)] {
        let server = match service {
            "pool" => ScriptedServer::start(whole_stream).unwrap(),
            _ => ScriptedServer::start(whole_response).unwrap(),
        };
        let store = StoreStandin::start().unwrap();
        let mut charter = charter(1);
        for service in charter["services"].as_array_mut().unwrap() {
            service["cold-start-s"] = json!(60);
            service["cold-per-s"] = json!(4);
        }
        store.put("config", "main", charter);
        let mut entry = server_entry(service, server.address(), "ready");
        entry["cold-left-ms"] = json!(60_000);
        store.put("servers", "server-1", entry.clone());
        let bounds = "cold_over = 1\ncold_slack = 0\n";
        let host = EntryProcess::start_with_bounds(store.address(), "entry-1", bounds);
        host.wait_until_ready();
        wait_for_lines(&host, &["cold: ", "server-1"]);
        let begun = Instant::now();
        let served = n_served(&host, path);
        let n_max = n_cold + (begun.elapsed().as_millis() / MIN_INTERVAL_MS) as usize;
        assert!((n_cold..=n_max).contains(&served), "{service}: {served} of {n_max}");
        assert_eq!(server.requests().len(), served, "{service}: cold");
        entry["cold-left-ms"] = json!(0);
        store.put("servers", "server-1", entry);
        wait_for_lines(&host, &["cold: ", "warm=[\"server-1\"]"]);
        // Until its rate has risen.
        thread::sleep(Duration::from_millis(2100));
        assert_eq!(n_served(&host, path), N_REQUESTS, "{service}: warm");
    }
}

fn n_served(host: &EntryProcess, path: &str) -> usize {
    let send = |number| {
        let id = format!("request-{number}");
        host.exchange_later(&request("POST", &format!("{path}{number}"), &id, ""))
    };
    let responses: Vec<_> = (0..N_REQUESTS).map(send).collect();
    let statuses = responses.into_iter().map(|it| it.join().unwrap().status());
    statuses.filter(|it| *it == 200).count()
}
