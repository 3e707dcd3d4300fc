//! An entry host that hears of a new version late still ends the old one in time.

mod entry_process;

use std::{
    io::Write,
    net::UdpSocket,
    thread,
    time::{Duration, Instant},
};

use crocustiller::{
    clock,
    fleet::{EngineNotice, PeerMessage, StallDetector, TURN_INTERVAL},
};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreFault, StoreStandin};
use entry_process::{
    charter, event_chunk, read_response, request, server_entry, stream_head, CallerResponse,
    EntryProcess,
};
use serde_json::{json, Value};

/// Time after a version is published from which no request may start on an older version.
const OLD_VERSION_BOUND: Duration = Duration::from_secs(4);

fn one_event(request: &RawRequest) -> Vec<Step> {
    let mut bytes = stream_head(request);
    bytes.extend(event_chunk(1));
    bytes.extend_from_slice(b"0\r\n\r\n");
    vec![Step::Send(bytes)]
}

fn stream_request(id: &str) -> Vec<u8> {
    request("POST", "/draft/1", id, "X-Model: lots\r\nX-Token-Counts: 100,10\r\n")
}

/// Returns a charter whose streams may run only once, so that nothing but its timeout ends a request.
fn not_resumable() -> Value {
    let mut charter = charter(1);
    charter["routes"][2]["resumable"] = json!(false);
    charter
}

fn publish(store: &StoreStandin, version: u64) -> Instant {
    store.put("versions", "lots", json!({ "model": "lots", "version": version }));
    Instant::now()
}

fn start(engine: &ScriptedServer, charter: Value, bounds: &str) -> (StoreStandin, EntryProcess) {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter);
    store.put("servers", "pool-0", server_entry("pool", engine.address(), "ready"));
    let entry = EntryProcess::start_with_bounds(store.address(), "entry-1", bounds);
    entry.wait_until_ready();
    (store, entry)
}

/// Suspends the host while `change` is made, until 2.5 s after it publishes version 2; returns the
/// response at the bound, which an engine with version 1 must not give.
fn response_at_bound(
    engine: &ScriptedServer,
    change: impl FnOnce(&StoreStandin) -> Instant,
) -> CallerResponse {
    let (store, entry) = start(engine, charter(1), "version_ms = 4000\n");
    assert_eq!(entry.exchange(&stream_request("before")).status(), 200);
    entry.suspend();
    let published = change(&store);
    sleep_until(published + Duration::from_millis(2500));
    entry.resume();
    sleep_until(published + OLD_VERSION_BOUND);
    entry.exchange(&stream_request("after"))
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// A version that is published while a request waits at its engine ends the wait in time.
#[test]
fn waiting_request_leaves_old_version() {
    let engine = ScriptedServer::start(|_| vec![Step::Pause(Duration::from_secs(8))]).unwrap();
    let (store, entry) = start(&engine, not_resumable(), "version_ms = 1000\n");
    let mut caller = entry.connect();
    caller.write_all(&stream_request("waiting")).unwrap();
    while engine.requests().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    let published = publish(&store, 2);
    let response = read_response(&mut caller);
    assert_eq!(response.status(), 502, "{}", response.text());
    assert!(published.elapsed() < Duration::from_millis(1100), "{:?}", published.elapsed());
}

/// The host reads the change only after it was suspended, and must not take it as new.
#[test]
fn suspended_host_ends_old_version() {
    let engine = ScriptedServer::start(one_event).unwrap();
    let response = response_at_bound(&engine, |store| publish(store, 2));
    assert_eq!(response.status(), 503, "{}", response.text());
    assert!(engine.requests().iter().all(|it| it.header("x-request-id") != Some("after")));
}

/// The store acknowledges no version while it is away, so one that a list shows after its return is new,
/// however long the host has heard nothing. Requests on the old version were refused at once.
#[test]
fn outage_ages_no_version() {
    let engine = ScriptedServer::start(one_event).unwrap();
    let (store, entry) = start(&engine, charter(1), "version_ms = 4000\n");
    assert_eq!(entry.exchange(&stream_request("before")).status(), 200);
    store.set_fault(StoreFault::Status(503));
    thread::sleep(OLD_VERSION_BOUND + Duration::from_secs(1));
    let published = publish(&store, 2);
    store.set_fault(StoreFault::None);
    sleep_until(published + Duration::from_millis(1500));
    let response = entry.exchange(&stream_request("in time"));
    assert_eq!(response.status(), 200, "{}", response.text());
    sleep_until(published + OLD_VERSION_BOUND + Duration::from_secs(1));
    let response = entry.exchange(&stream_request("late"));
    assert_eq!(response.status(), 503, "{}", response.text());
}

/// A second change during the suspension is read by a request that was sent after it, and is as old.
#[test]
fn second_change_keeps_age() {
    let engine = ScriptedServer::start(one_event).unwrap();
    let response = response_at_bound(&engine, |store| {
        store.put("versions", "other", json!({ "model": "other", "version": 2 }));
        thread::sleep(Duration::from_millis(100));
        publish(store, 2)
    });
    assert_eq!(response.status(), 503, "{}", response.text());
}

/// A host that is busy after it was suspended still knows that messages waited all the while.
#[test]
fn later_stall_keeps_age() {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let mut stalls = StallDetector::new(start);
    stalls.record_turn(start + ms(5000));
    stalls.record_turn(start + ms(5300));
    assert_eq!(stalls.max_delay(start + ms(5300)), ms(5300));
}

/// A notice that the engine drains is read after the suspension, when the engine has long been back.
#[test]
fn late_notice_yields_to_entry() {
    let engine = ScriptedServer::start(one_event).unwrap();
    let (_store, entry) = start(&engine, charter(1), "version_ms = 4000\n");
    entry.suspend();
    let notice = EngineNotice {
        engine: engine.address(),
        started_ms: 1000,
        n_orders: 1,
        model: "lots".to_owned(),
        serves: None,
    };
    let message = bincode::serialize(&PeerMessage::EngineNotice(notice)).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&message, entry.peers).unwrap();
    thread::sleep(Duration::from_millis(1500));
    entry.resume();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(entry.exchange(&stream_request("after")).status(), 200);
}

#[test]
fn stall_ages_messages() {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let mut stalls = StallDetector::new(start);
    for turn in 1..=10 {
        stalls.record_turn(start + TURN_INTERVAL * turn);
    }
    let before = start + TURN_INTERVAL * 10;
    assert_eq!(stalls.max_delay(before), Duration::ZERO);
    // Suspended for 4 s; the message that waited may be read before or after the next turn.
    let wake = before + ms(4000);
    stalls.record_turn(wake);
    assert_eq!(stalls.max_delay(wake), ms(4000));
    stalls.record_turn(wake + ms(100));
    assert_eq!(stalls.max_delay(wake + ms(100)), ms(4100));
    // Later messages were sent after the stall.
    for turn in 2..=30 {
        stalls.record_turn(wake + ms(100) * turn);
    }
    assert_eq!(stalls.max_delay(wake + ms(3000)), Duration::ZERO);
}

/// A steady clock that stops while the machine is suspended would prolong the bound.
#[test]
fn clock_counts_suspensions() {
    let machine_time = || {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    };
    let (start, machine_start) = (clock::now(), machine_time());
    thread::sleep(Duration::from_millis(50));
    let difference = clock::elapsed(start).abs_diff(machine_time() - machine_start);
    assert!(difference < Duration::from_millis(10), "{difference:?}");
}
