//! Backend servers that name a limit on the requests of all entry hosts together.

mod entry_process;

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter,
    pausing_server::{send, whole_response},
    server_entry, EntryProcess,
};

const MS: Duration = Duration::from_millis(1);
/// Time within which the entry hosts know each other.
const JOIN_TIME: Duration = Duration::from_millis(800);
/// Time after a server first named its limit from which the bound holds.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// The window of the bound.
const WINDOW: Duration = Duration::from_secs(4);
/// The limit that servers name.
const MAX_REQUESTS_PER_S: f64 = 2.0;
/// Requests in a window beyond which the bound is broken.
const MAX_REQUESTS: usize = (1.5 * MAX_REQUESTS_PER_S * 4.0) as usize + 5;

/// The arrivals of requests at a server.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Guards against requests to a server beyond the limit that it named, sent by several hosts that it
/// told: to an engine, which has an owner, and to a server of a plain service.
#[test]
fn more_requests_than_named() {
    for (service, path) in [("pool", "/draft/1"), ("ledger", "/stock/1"), ("ledger", "/hold/1")] {
        let (limited, arrivals) = limited_server("2.0");
        let sound = ScriptedServer::start(whole_response).unwrap();
        let store = StoreStandin::start().unwrap();
        store.put("config", "main", charter(1));
        for (idx, server) in [&limited, &sound].into_iter().enumerate() {
            let entry = server_entry(service, server.address(), "ready");
            store.put("servers", &format!("{service}-{idx}"), entry);
        }
        let hosts = ["entry-1", "entry-2", "entry-3"].map(|it| EntryProcess::start(&store, it));
        hosts.iter().for_each(EntryProcess::wait_until_ready);
        thread::sleep(JOIN_TIME);
        let n_refused = send_for(&hosts, path, 8500 * MS);
        let arrivals = arrivals.lock().unwrap();
        let named = arrivals[0];
        let bound_from = named + CONTACT_TIME;
        for end in (0..50).map(|it| bound_from + 100 * it * MS) {
            let n_requests =
                arrivals.iter().filter(|it| **it <= end && **it + WINDOW > end).count();
            let at = end - named;
            assert!(n_requests <= MAX_REQUESTS, "{path}: {n_requests} requests until {at:?}");
        }
        assert!(arrivals.len() > 6, "{path}: it gets some, {}", arrivals.len());
        assert_eq!(n_refused, 0, "{path}: the other server takes the rest");
    }
}

/// Starts a server that names a limit in all responses.
fn limited_server(limit: &'static str) -> (ScriptedServer, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let server = ScriptedServer::start(move |request| {
        recorded.lock().unwrap().push(Instant::now());
        with_limit(request, limit)
    });
    (server.unwrap(), arrivals)
}

/// Returns the steps of a complete response that names a limit.
fn with_limit(request: &RawRequest, limit: &str) -> Vec<Step> {
    let header = format!("Server-Limit: {limit}\r\nX-Server-Stamp");
    let named = |step: Step| match step {
        Step::Send(bytes) => {
            let text = String::from_utf8(bytes).unwrap();
            Step::Send(text.replacen("X-Server-Stamp", &header, 1).into_bytes())
        }
        step => step,
    };
    whole_response(request).into_iter().map(named).collect()
}

/// Sends requests to all hosts for a time; returns the number of those that were not served.
fn send_for(hosts: &[EntryProcess], path: &str, time: Duration) -> usize {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for host in hosts {
            for caller in 0..2 {
                let is_over = &is_over;
                callers.push(scope.spawn(move || {
                    let mut n_refused = 0;
                    let mut number = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        let id = format!("{}-{caller}-{number}", host.callers.ip());
                        let response = send(host, path, &id);
                        n_refused += usize::from(response.status() != 200);
                        number += 1;
                        thread::sleep(25 * MS);
                    }
                    n_refused
                }));
            }
        }
        thread::sleep(time);
        is_over.store(true, Ordering::Relaxed);
        callers.into_iter().map(|it| it.join().unwrap()).sum()
    })
}
