//! Backend servers that name a limit on the requests of all entry hosts together.

mod entry_process;

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{ScriptedServer, StoreStandin};
use entry_process::{
    charter,
    limited_server::with_limit,
    pausing_server::{retry_after, send, wait_for_lines, whole_response},
    server_entry, Deployment, EntryProcess,
};

const MS: Duration = Duration::from_millis(1);
/// The latency objective of all routes.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(400);
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
        with_limit(whole_response(request), limit)
    });
    (server.unwrap(), arrivals)
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

/// While all servers have got what they take, callers are refused at once, as not run, with the time after
/// which the first takes a request; one that waits as told is served.
#[test]
fn all_servers_limited() {
    for (service, path) in [("ledger", "/hold/1"), ("ledger", "/stock/1"), ("pool", "/draft/1")] {
        let (server, arrivals) = limited_server("0.5");
        let deployment = Deployment::start(service, &[&server]);
        // A host that has just started does not know what it sent before.
        let started = Instant::now();
        assert_eq!(send(&deployment.entry, path, "first").status(), 200, "{path}");
        let mut number = 0;
        while started.elapsed() < 9000 * MS {
            let sent = Instant::now();
            let response = send(&deployment.entry, path, &format!("request-{number}"));
            number += 1;
            if response.status() == 200 {
                continue;
            }
            assert!(sent.elapsed() < LATENCY_OBJECTIVE, "{path}: {:?}", sent.elapsed());
            let text = response.text();
            assert!(response.status() == 503 && text.contains("not-run"), "{path}: {text}");
            let told = Duration::from_secs_f64(retry_after(&response).unwrap());
            assert!(told > Duration::ZERO && told < 4300 * MS, "{path}: {told:?}");
            thread::sleep(told);
            let returned = send(&deployment.entry, path, &format!("returned-{number}"));
            assert_eq!(returned.status(), 200, "{path}: told {told:?}, {}", returned.text());
        }
        let n_requests = arrivals.lock().unwrap().len();
        assert!((3..=8).contains(&n_requests), "{path}: {n_requests}");
    }
}

/// A server that names no limit any more gets all requests again, within some seconds.
#[test]
fn limit_that_ends() {
    for (service, path) in [("ledger", "/stock/1"), ("pool", "/draft/1")] {
        let n_requests = AtomicU32::new(0);
        let server = ScriptedServer::start(move |request| {
            match n_requests.fetch_add(1, Ordering::Relaxed) < 3 {
                true => with_limit(whole_response(request), "1"),
                false => whole_response(request),
            }
        })
        .unwrap();
        let deployment = Deployment::start(service, &[&server]);
        send_for(std::slice::from_ref(&deployment.entry), path, 14_000 * MS);
        for number in 0..30 {
            let response = send(&deployment.entry, path, &format!("after-{number}"));
            assert_eq!(response.status(), 200, "{path}: {}", response.text());
        }
        let backend = format!("backend={service}-0");
        let expected = [
            "limit: a backend server takes few requests request=".to_owned(),
            format!("{backend} max_requests_per_s=1 age_ms="),
            "limit: a backend server names no limit any more request=".to_owned(),
            format!("{backend} lasted_ms="),
        ];
        wait_for_lines(&deployment.entry, &expected.each_ref().map(String::as_str));
    }
}

/// A host hears of a limit from the host that was told, and one that starts later from those that know.
#[test]
fn limit_told_to_others() {
    let (server, _) = limited_server("0.5");
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    store.put("servers", "ledger-0", server_entry("ledger", server.address(), "ready"));
    let hosts = ["entry-1", "entry-2"].map(|it| EntryProcess::start(&store, it));
    hosts.iter().for_each(EntryProcess::wait_until_ready);
    thread::sleep(JOIN_TIME);
    assert_eq!(send(&hosts[0], "/stock/1", "first").status(), 200);
    let told = format!("takes few requests from={} backend=ledger-0", hosts[0].peers);
    wait_for_lines(&hosts[1], &[&told]);
    assert_eq!(send(&hosts[1], "/stock/1", "second").status(), 503);
    let late = EntryProcess::start(&store, "entry-3");
    late.wait_until_ready();
    wait_for_lines(&late, &["takes few requests from="]);
    assert_eq!(send(&late, "/stock/1", "third").status(), 503);
    assert_eq!(server.requests().len(), 1);
}
