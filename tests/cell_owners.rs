//! Several entry hosts as processes that send requests to the same engines.

mod entry_process;

use std::{
    net::UdpSocket,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::{AdmissionMessage, PeerMessage, RefusalReason},
    placement::{Demand, HeldReservation, RequestAttempt},
};
use crocustiller_standins::raw_http::{ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, event_chunk, request, server_entry, stream_head, CallerResponse, EntryProcess,
};

/// Slots of the only engine.
const SLOTS: u32 = 2;
/// Requests beyond the slots that an engine may have.
const MAX_QUEUED: u32 = 1;

/// The timeout of the only route to a pool.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2500);

/// An engine that counts its requests in progress.
struct CountingEngine {
    server: ScriptedServer,
    max_in_progress: Arc<AtomicU32>,
}

impl CountingEngine {
    /// Starts an engine that takes `duration` for each request.
    fn start(duration: Duration) -> CountingEngine {
        let in_progress = Arc::new(AtomicU32::new(0));
        let max_in_progress = Arc::new(AtomicU32::new(0));
        let max = max_in_progress.clone();
        let server = ScriptedServer::start(move |request| {
            let n_now = in_progress.fetch_add(1, Ordering::SeqCst) + 1;
            max.fetch_max(n_now, Ordering::SeqCst);
            thread::sleep(duration);
            in_progress.fetch_sub(1, Ordering::SeqCst);
            let mut bytes = stream_head(request);
            bytes.extend(event_chunk(1));
            bytes.extend_from_slice(b"0\r\n\r\n");
            vec![Step::Send(bytes)]
        });
        CountingEngine { server: server.unwrap(), max_in_progress }
    }
}

/// Starts entry hosts in front of one engine and waits until they know each other.
fn start(engine: &CountingEngine, ids: &[&str]) -> (StoreStandin, Vec<EntryProcess>) {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    let mut entry = server_entry("pool", engine.server.address(), "ready");
    entry["slots"] = SLOTS.into();
    store.put("servers", "pool-0", entry);
    let hosts: Vec<EntryProcess> = ids.iter().map(|it| EntryProcess::start(&store, it)).collect();
    hosts.iter().for_each(EntryProcess::wait_until_ready);
    thread::sleep(Duration::from_millis(800));
    (store, hosts)
}

fn send(host: &EntryProcess, id: &str) -> CallerResponse {
    let headers = "X-Model: lots\r\nX-Token-Counts: 100,20\r\n";
    host.exchange(&request("POST", "/draft/1", id, headers))
}

/// Load pattern: many callers at once at several entry hosts. The engine never has more requests
/// than its slots and one in its queue; the others are refused, and none is lost.
#[test]
fn hosts_share_engine_limit() {
    let engine = CountingEngine::start(Duration::from_millis(120));
    let (_store, hosts) = start(&engine, &["entry-1", "entry-2", "entry-3"]);
    let statuses: Vec<u16> = thread::scope(|scope| {
        let calls: Vec<_> = (0..24)
            .map(|it| {
                let host = &hosts[it % hosts.len()];
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(15 * (it as u64 / 3)));
                    send(host, &format!("shared-{it}")).status()
                })
            })
            .collect();
        calls.into_iter().map(|it| it.join().unwrap()).collect()
    });
    assert!(statuses.iter().all(|it| matches!(it, 200 | 503)), "{statuses:?}");
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
    let max = engine.max_in_progress.load(Ordering::SeqCst);
    assert!(max <= SLOTS + MAX_QUEUED, "{max} requests in progress");
    assert!(max >= SLOTS, "{max} requests in progress");
}

/// The owner of the engine is killed: the other hosts go on to serve, without a pause until its
/// beacons have timed out.
#[test]
fn killed_owner_stops_nobody() {
    let engine = CountingEngine::start(Duration::from_millis(5));
    let (_store, mut hosts) = start(&engine, &["entry-1", "entry-2", "entry-3"]);
    assert_eq!(send(&hosts[1], "before").status(), 200);
    // The host with the smallest id owns the engine, as all get the same processor time.
    drop(hosts.remove(0));
    let killed = Instant::now();
    let mut number = 0;
    while killed.elapsed() < Duration::from_millis(2500) {
        number += 1;
        let started = Instant::now();
        let response = send(&hosts[number % 2], &format!("after-{number}"));
        assert_eq!(response.status(), 200, "{:?}: {}", killed.elapsed(), response.text());
        assert!(started.elapsed() < Duration::from_millis(400), "{:?}", started.elapsed());
    }
}

/// The owner leaves by plan: nobody's request is refused or cut meanwhile.
#[test]
fn leaving_owner_hands_over() {
    let engine = CountingEngine::start(Duration::from_millis(5));
    let (_store, hosts) = start(&engine, &["entry-1", "entry-2"]);
    hosts[0].terminate();
    let left = Instant::now();
    let mut number = 0;
    while left.elapsed() < Duration::from_millis(2000) {
        number += 1;
        let response = send(&hosts[1], &format!("leaving-{number}"));
        assert_eq!(response.status(), 200, "{:?}: {}", left.elapsed(), response.text());
    }
}

/// Guards against requests that wait at an owner which leaves and get no answer: each is answered
/// until the owner is gone and after, within its route's timeout, and all but a few, as a busy
/// machine may pause, at once.
#[test]
fn waiting_requests_outlive_a_leaving_owner() {
    let engine = CountingEngine::start(Duration::from_millis(60));
    let (_store, mut hosts) = start(&engine, &["entry-1", "entry-2"]);
    hosts[0].terminate();
    let left = Instant::now();
    let caller = &hosts[1];
    let calls: Vec<(Duration, Duration, CallerResponse)> = thread::scope(|scope| {
        let call = |idx: u32| {
            scope.spawn(move || {
                let at = Duration::from_millis(25) * idx;
                thread::sleep(at.saturating_sub(left.elapsed()));
                let started = Instant::now();
                let response = send(caller, &format!("waiting-{idx}"));
                (at, started.elapsed(), response)
            })
        };
        let calls: Vec<_> = (0..190).map(call).collect();
        calls.into_iter().map(|it| it.join().unwrap()).collect()
    });
    assert!(hosts[0].has_exited(), "the owner is gone before the last request");
    for (at, took, response) in &calls {
        assert!(matches!(response.status(), 200 | 503), "{at:?}: {}", response.text());
        assert!(response.is_complete() && *took < ROUTE_TIMEOUT, "{at:?} {took:?}");
    }
    let n_late = calls.iter().filter(|it| it.1 > Duration::from_millis(600)).count();
    assert!(n_late < 10, "{n_late} of 190 are late");
    let n_refused = calls.iter().filter(|it| it.2.status() == 503).count();
    assert!((1..95).contains(&n_refused), "{n_refused} of 190 are refused");
}

/// Datagrams that are no messages, cut ones and such with absurd values stop no host from answering
/// the next message.
#[test]
fn bad_datagrams_are_survived() {
    let engine = CountingEngine::start(Duration::from_millis(5));
    let (_store, hosts) = start(&engine, &["entry-1"]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut random = fastrand::Rng::with_seed(17);
    let demand = Demand {
        service: "pool".to_owned(),
        model: Some("lots".to_owned()),
        attempt: Some(RequestAttempt { request: u64::MAX, number: 1 }),
        prompt_tokens: u32::MAX,
        is_resumed: false,
        excluded: Vec::new(),
        prompt_parts: Vec::new(),
        in_turn_parts: Vec::new(),
        wait: Duration::MAX,
        ..Demand::default()
    };
    let sound = Demand { prompt_tokens: 100, wait: Duration::ZERO, ..demand.clone() };
    let held =
        |number| HeldReservation { number, engine: "pool-0".to_owned(), unread_tokens: u32::MAX };
    let messages = [
        AdmissionMessage::Request { number: u64::MAX, demand: Box::new(demand) },
        AdmissionMessage::Report { reservations: (0..900).map(held).collect() },
        AdmissionMessage::FirstEvent { number: 3 },
        AdmissionMessage::Refused { number: 3, reason: RefusalReason::Full },
        AdmissionMessage::Report { reservations: Vec::new() },
    ];
    for message in messages {
        let bytes = bincode::serialize(&PeerMessage::Admission(message)).unwrap();
        socket.send_to(&bytes, hosts[0].peers).unwrap();
        for _ in 0..40 {
            let mut spoilt = bytes[..random.usize(..bytes.len())].to_vec();
            if let Some(byte) = random.choice(spoilt.iter_mut()) {
                *byte = random.u8(..);
            }
            socket.send_to(&spoilt, hosts[0].peers).unwrap();
        }
    }
    // The reservations that the datagrams made up lapse.
    thread::sleep(Duration::from_millis(1800));
    assert_eq!(send(&hosts[0], "after-junk").status(), 200);
    let request =
        PeerMessage::Admission(AdmissionMessage::Request { number: 7, demand: Box::new(sound) });
    socket.send_to(&bincode::serialize(&request).unwrap(), hosts[0].peers).unwrap();
    let answers = std::iter::repeat_with(|| receive(&socket));
    let is_grant = |it: &PeerMessage| {
        matches!(it, PeerMessage::Admission(AdmissionMessage::Granted { number: 7, .. }))
    };
    assert!(answers.take_while(Option::is_some).flatten().any(|it| is_grant(&it)));
}

/// Receives the next message; `None` if none comes for 2 s.
fn receive(socket: &UdpSocket) -> Option<PeerMessage> {
    let mut bytes = [0; 1 << 16];
    socket.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    let n_bytes = socket.recv(&mut bytes).ok()?;
    bincode::deserialize(&bytes[..n_bytes]).ok()
}
