//! Requests that reach an entry host at any moment of its planned stop, whatever their time limit.

mod entry_process;

use std::{
    io::Write,
    net::TcpStream,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, encode_response, read_response, request,
    sent_request::{check, send_at, wait_for_exit, SentRequest},
    server_entry, Deployment, EntryProcess, API_KEY, HOST,
};

/// The grace period in the settings of the test deployment, 4 s.
const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Time after which the slow service responds.
const RESPONSE_TIME: Duration = Duration::from_millis(1200);
/// A grace period far longer than the time after which an idle host exits by itself.
const LONG_GRACE_PERIOD: Duration = Duration::from_secs(20);

/// Guards against passing on a late request that has no time limit of its own.
#[test]
fn requests_without_limit_are_not_cut() {
    check_late_requests(2500, "");
}

/// Guards against passing on a late request whose time limit is longer than the grace period.
#[test]
fn requests_with_long_limit_are_not_cut() {
    check_late_requests(7000, "X-Deadline-Ms: 7000\r\n");
}

/// Guards against a signal during the stop that ends the process before its requests.
#[test]
fn repeated_signals_cut_nothing() {
    let ledger = slow_service();
    let mut deployment = Deployment::start("ledger", &[&ledger]);
    let running: Vec<_> = (0..4)
        .map(|idx| send_hold(deployment.entry.connect(), Instant::now(), format!("run-{idx}"), ""))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    deployment.entry.terminate();
    let late: Vec<_> = (0..20)
        .map(|idx| {
            let at = stopped + Duration::from_millis(50 * idx);
            send_hold(deployment.entry.connect(), at, format!("late-{idx}"), "")
        })
        .collect();
    for name in ["TERM", "INT", "HUP", "TERM", "HUP", "INT"] {
        thread::sleep(Duration::from_millis(100));
        deployment.entry.signal(name);
    }
    let ended = wait_for_exit(&mut deployment.entry, stopped + GRACE_PERIOD);
    let (running, late) = (join(running), join(late));
    assert!(running.iter().all(|it| it.status() == 200), "{running:?}");
    assert!(late[..10].iter().all(|it| it.status() == 200), "{late:?}");
    check(&late, ended, &[ledger]);
}

/// Guards against losing a request whose body began before the stop and arrives slowly.
#[test]
fn bodies_across_the_stop_are_answered() {
    let ledger = slow_service();
    let mut deployment = Deployment::start("ledger", &[&ledger]);
    let started = Instant::now();
    let callers: Vec<_> = (0..60)
        .map(|idx| {
            let at = started + Duration::from_millis(80) * idx;
            let id = format!("body-{idx}");
            let mut pieces = vec![head_with_body(&id, 8)];
            pieces.extend((0..8).map(|_| b"x".to_vec()));
            let caller = deployment.entry.connect();
            thread::spawn(move || send_at(caller, at, id, &pieces))
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    let stopped = Instant::now();
    deployment.entry.terminate();
    let ended = wait_for_exit(&mut deployment.entry, stopped + GRACE_PERIOD);
    let sent = join(callers);
    assert!(sent[..8].iter().all(|it| it.status() == 200), "{sent:?}");
    check(&sent, ended, &[ledger]);
}

/// Guards against dropping requests that arrive while the host exits before its grace period ends.
#[test]
fn requests_cross_the_early_exit() {
    let ledger = ScriptedServer::start(|request: &RawRequest| {
        vec![Step::Send(encode_response(request, 200, "held"))]
    })
    .unwrap();
    let Deployment { store, .. } = Deployment::start("ledger", &[&ledger]);
    let mut entry = start_with_long_grace(&store);
    let kept: Vec<_> = (0..120).map(|_| entry.connect()).collect();
    let stopped = Instant::now();
    entry.terminate();
    let first = stopped + Duration::from_millis(3900);
    let callers: Vec<_> = (0..)
        .zip(kept)
        .map(|(idx, caller)| {
            send_hold(caller, first + Duration::from_millis(10) * idx, format!("kept-{idx}"), "")
        })
        .collect();
    let ended = wait_for_exit(&mut entry, stopped + Duration::from_secs(7));
    check(&join(callers), ended, &[ledger]);
}

/// Guards against a host that was held up at its early exit and closes connections whose requests it
/// has not looked at.
#[test]
fn held_up_host_answers_before_the_early_exit() {
    let ledger = slow_service();
    let Deployment { store, .. } = Deployment::start("ledger", &[&ledger]);
    let mut entry = start_with_long_grace(&store);
    let stopped = Instant::now();
    entry.terminate();
    thread::sleep(Duration::from_millis(3850).saturating_sub(stopped.elapsed()));
    entry.suspend();
    let now = Instant::now();
    let callers: Vec<_> =
        (0..20).map(|idx| send_hold(entry.connect(), now, format!("held-up-{idx}"), "")).collect();
    thread::sleep(Duration::from_millis(500));
    entry.resume();
    let ended = wait_for_exit(&mut entry, stopped + Duration::from_secs(8));
    let sent = join(callers);
    check_answered(&sent, &ledger);
    check(&[], ended, &[ledger]);
}

/// Guards against a host that was held up until after its exit was due and closes connections whose
/// requests it has not looked at.
#[test]
fn held_up_host_answers_after_the_exit_is_due() {
    let ledger = slow_service();
    let Deployment { store, .. } = Deployment::start("ledger", &[&ledger]);
    let mut entry = start_with_long_grace(&store);
    let kept: Vec<_> = (0..300).map(|_| entry.connect()).collect();
    let stopped = Instant::now();
    entry.terminate();
    thread::sleep(Duration::from_millis(4300).saturating_sub(stopped.elapsed()));
    entry.suspend();
    let now = Instant::now();
    let new = (0..20).map(|_| entry.connect()).collect::<Vec<_>>();
    let callers: Vec<_> = (0..)
        .zip(kept.into_iter().chain(new))
        .map(|(idx, caller)| send_hold(caller, now, format!("held-up-{idx}"), ""))
        .collect();
    thread::sleep(Duration::from_millis(700));
    entry.resume();
    wait_for_exit(&mut entry, stopped + Duration::from_secs(8));
    check_answered(&join(callers), &ledger);
}

/// Guards against a host that was held up at the end of its grace period and exits before it has
/// answered what it holds.
#[test]
fn held_up_host_answers_before_the_exit() {
    let ledger = ScriptedServer::start(|_: &RawRequest| vec![Step::Pause(GRACE_PERIOD * 2)]);
    let ledger = ledger.unwrap();
    let store = start_store(&ledger, 7000);
    let mut entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    let callers: Vec<_> = (0..20)
        .map(|idx| {
            let caller = entry.connect();
            send_hold(caller, Instant::now(), format!("held-{idx}"), "X-Deadline-Ms: 7000\r\n")
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    entry.terminate();
    thread::sleep(Duration::from_millis(3300).saturating_sub(stopped.elapsed()));
    entry.suspend();
    thread::sleep(Duration::from_millis(3600).saturating_sub(stopped.elapsed()));
    entry.resume();
    wait_for_exit(&mut entry, stopped + GRACE_PERIOD);
    for it in join(callers) {
        let text = it.response.as_ref().map(|it| it.text()).unwrap_or_default();
        assert!(it.status() == 504 && text.contains("X-Verdict: may-have-run"), "{it:?}");
    }
}

/// Sends requests that may not be repeated over the whole grace period, on kept and new connections.
fn check_late_requests(route_timeout_ms: u64, limit: &str) {
    let ledger = slow_service();
    let store = start_store(&ledger, route_timeout_ms);
    let mut entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    let mut kept: Vec<TcpStream> = (0..80).map(|_| entry.connect()).collect();
    for (idx, caller) in kept.iter_mut().enumerate().take(40) {
        caller.write_all(&request("GET", "/more/1", &format!("first-{idx}"), "")).unwrap();
        assert_eq!(read_response(caller).status(), 404);
    }
    let stopped = Instant::now();
    entry.terminate();
    let callers: Vec<_> = (0..)
        .zip(kept)
        .map(|(idx, caller)| {
            let at = stopped + Duration::from_millis(idx % 40 * 100);
            send_hold(caller, at, format!("late-{idx}"), limit)
        })
        .collect();
    let ended = wait_for_exit(&mut entry, stopped + GRACE_PERIOD);
    check(&join(callers), ended, &[ledger]);
}

/// Checks that all requests were answered, and that none that was refused has run.
fn check_answered(sent: &[SentRequest], server: &ScriptedServer) {
    let received = server.requests();
    let has_run = |id: &str| received.iter().any(|it| it.header("x-request-id") == Some(id));
    for it in sent {
        assert!(it.status() == 200 || it.is_refused(), "no answer: {it:?}");
        assert_eq!(it.status() == 200, has_run(&it.id), "{it:?}");
    }
}

fn send_hold(caller: TcpStream, at: Instant, id: String, limit: &str) -> JoinHandle<SentRequest> {
    let hold = format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n{limit}\
         Authorization: Bearer {API_KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    thread::spawn(move || send_at(caller, at, id, &[hold.into_bytes()]))
}

fn join(callers: Vec<JoinHandle<SentRequest>>) -> Vec<SentRequest> {
    callers.into_iter().map(|it| it.join().unwrap()).collect()
}

fn head_with_body(id: &str, body_bytes: usize) -> Vec<u8> {
    format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         Authorization: Bearer {API_KEY}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes()
}

fn slow_service() -> ScriptedServer {
    ScriptedServer::start(|request: &RawRequest| {
        let response = encode_response(request, 200, "held");
        vec![Step::Pause(RESPONSE_TIME), Step::Send(response)]
    })
    .unwrap()
}

/// Starts a store with one plain service and a charter whose routes have this timeout.
fn start_store(ledger: &ScriptedServer, route_timeout_ms: u64) -> StoreStandin {
    let store = StoreStandin::start().unwrap();
    let mut charter = charter(1);
    for route in charter["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = route_timeout_ms.into();
    }
    store.put("config", "main", charter);
    store.put("servers", "ledger-0", server_entry("ledger", ledger.address(), "ready"));
    store
}

fn start_with_long_grace(store: &StoreStandin) -> EntryProcess {
    let grace = format!("grace_s = {}", LONG_GRACE_PERIOD.as_secs());
    let entry = EntryProcess::start_with_all_bounds(store.address(), "entry-2", &grace);
    entry.wait_until_ready();
    entry
}
