//! Several entry hosts as processes, and requests with a part of the prompt that crashes engines.

mod entry_process;

use std::{
    net::{SocketAddr, UdpSocket},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::{Beacon, DocumentNumbers, EntryState, PeerMessage},
    http1::{Headers, RequestHead},
    placement::{PartDigest, QuarantinedPart},
    platform::wire_headers::decode_request,
};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, event_chunk, request, server_entry, stream_head, unique_loopback_ip, CallerResponse,
    EntryProcess,
};
use serde_json::json;

/// Time until a crashed engine is back.
const RESTART_TIME: Duration = Duration::from_millis(900);
/// Time after the fifth crash from which requests that crash engines are counted.
const CONTACT_TIME: Duration = Duration::from_secs(1);
/// Number of them that may still reach engines from then on.
const MAX_LATE_CRASHES: usize = 3;
/// Part of the refusal that names its reason.
const REFUSAL: &str = "a part of the prompt crashes backend servers";

/// Entry hosts of one zone in front of engines that crash when they begin to respond to a request
/// with the part `dead`.
struct Fleet {
    store: StoreStandin,
    engines: Vec<ScriptedServer>,
    hosts: Vec<EntryProcess>,
}

impl Fleet {
    fn start(n_hosts: usize, n_engines: usize) -> Fleet {
        let store = StoreStandin::start().unwrap();
        store.put("config", "main", charter(1));
        let engines: Vec<ScriptedServer> =
            (0..n_engines).map(|_| ScriptedServer::start(respond).unwrap()).collect();
        for (idx, engine) in engines.iter().enumerate() {
            let entry = server_entry("pool", engine.address(), "ready");
            store.put("servers", &format!("pool-{idx}"), entry);
        }
        let hosts: Vec<EntryProcess> =
            (1..=n_hosts).map(|it| EntryProcess::start(&store, &format!("entry-{it}"))).collect();
        hosts.iter().for_each(EntryProcess::wait_until_ready);
        thread::sleep(Duration::from_millis(800));
        Fleet { store, engines, hosts }
    }

    /// Returns the number of requests with the crashing part that reached engines.
    fn n_crashes(&self) -> usize {
        let requests = self.engines.iter().flat_map(ScriptedServer::requests);
        requests.filter(is_crashing).count()
    }

    /// Sends requests with the crashing part to all hosts in turn, sound ones between them, until
    /// one is refused.
    fn crash_until_refused(&self) {
        for number in 0..20 {
            let host = &self.hosts[number % self.hosts.len()];
            if send(host, &format!("crash-{number}"), "dead").text().contains(REFUSAL) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
            send(host, &format!("sound-{number}"), "50a1");
            thread::sleep(Duration::from_millis(100));
        }
        panic!("{} crashes and no refusal", self.n_crashes());
    }
}

fn is_crashing(request: &RawRequest) -> bool {
    request.header("x-prompt-prefix").is_some_and(|it| it.contains("dead:"))
}

/// Returns `true` for a request to which an engine does not begin to respond.
fn is_held(request: &RawRequest) -> bool {
    request.header("x-request-id").is_some_and(|it| it.starts_with("held"))
}

fn respond(request: &RawRequest) -> Vec<Step> {
    if is_held(request) {
        return vec![Step::Pause(Duration::from_secs(2))];
    }
    if is_crashing(request) {
        return vec![Step::Pause(Duration::from_millis(20)), Step::Crash(RESTART_TIME)];
    }
    let [first, mut last] = [event_chunk(1), event_chunk(2)];
    last.extend_from_slice(b"0\r\n\r\n");
    let start = [stream_head(request), first].concat();
    let pause = Duration::from_millis(40);
    vec![Step::Pause(pause), Step::Send(start), Step::Pause(pause), Step::Send(last)]
}

/// Sends a request whose first part all requests share, whose second one is `part`, and whose path
/// and last part no other request has.
fn send(host: &EntryProcess, id: &str, part: &str) -> CallerResponse {
    send_after(host, id, "5c1e07a2:50", part)
}

/// Sends a request like `send` with other parts before `part`.
fn send_after(host: &EntryProcess, id: &str, shared: &str, part: &str) -> CallerResponse {
    let own: String = id.bytes().map(|it| format!("{it:02x}")).collect();
    let headers = format!(
        "X-Model: lots\r\nX-Token-Counts: 100,20\r\n\
         X-Prompt-Prefix: {shared},{part}:30,{own}:20\r\n"
    );
    host.exchange(&request("POST", &format!("/draft/{id}"), id, &headers))
}

/// Load pattern: a few requests a second crash engines for some seconds, no two of them alike, at
/// both hosts, beside sound ones with the same customer and first part.
#[test]
fn unlike_requests_crash_on() {
    let fleet = Fleet::start(2, 8);
    let started = Instant::now();
    let is_over = || started.elapsed() > Duration::from_secs(7);
    let (late_crashes, late_sound) = thread::scope(|scope| {
        let sound = scope.spawn(|| {
            let mut statuses = Vec::new();
            for number in 0.. {
                if is_over() {
                    return statuses;
                }
                let id = format!("sound-{number}");
                let sent = started.elapsed();
                let part = ["50a1", "50a2"][number % 2];
                statuses.push((sent, send(&fleet.hosts[number % 2], &id, part).status()));
                thread::sleep(Duration::from_millis(20));
            }
            unreachable!()
        });
        let mut fifth = None;
        let mut n_at_contact = None;
        let mut n_refused = 0;
        for number in 0.. {
            if is_over() {
                break;
            }
            let sent = Instant::now();
            let id = format!("crash-{number}");
            let response = send(&fleet.hosts[number % 2], &id, "dead");
            if response.text().contains(REFUSAL) {
                n_refused += 1;
                assert_eq!(response.status(), 503);
                assert!(response.text().contains("not-run"), "{}", response.text());
                assert!(!response.text().contains("Retry-After"), "{}", response.text());
                assert!(sent.elapsed() < Duration::from_millis(300), "{:?}", sent.elapsed());
            }
            if fifth.is_none() && fleet.n_crashes() >= 5 {
                fifth = Some(Instant::now());
            }
            // If the crashes end before the fifth, none may come later.
            let is_contained = fifth.map_or(n_refused > 0, |it| it.elapsed() > CONTACT_TIME);
            if is_contained && n_at_contact.is_none() {
                n_at_contact = Some(fleet.n_crashes());
            }
            thread::sleep(Duration::from_millis(150).saturating_sub(sent.elapsed()));
        }
        let late_crashes = fleet.n_crashes() - n_at_contact.unwrap_or(0);
        let late = started.elapsed() - Duration::from_secs(3);
        let statuses: Vec<(Duration, u16)> = sound.join().unwrap();
        let late_sound: Vec<u16> =
            statuses.iter().filter(|it| it.0 > late).map(|it| it.1).collect();
        (late_crashes, late_sound)
    });
    assert!(
        late_crashes <= MAX_LATE_CRASHES,
        "{late_crashes} crashes after contact, {} in all",
        fleet.n_crashes()
    );
    assert!(late_sound.len() > 20 && late_sound.iter().all(|it| *it == 200), "{late_sound:?}");
    explains_refusal(&fleet);
}

/// The log tells for which part a request was refused.
fn explains_refusal(fleet: &Fleet) {
    assert!(send(&fleet.hosts[0], "asked-for", "dead").text().contains(REFUSAL));
    thread::sleep(Duration::from_millis(300));
    let mut command = Command::new(env!("CARGO_BIN_EXE_crocustiller"));
    command.args(["requests", "explain", "asked-for"]).arg(fleet.hosts[0].log_path());
    let output = command.output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let line = text.lines().find(|it| it.contains("request=asked-for")).unwrap_or_default();
    for field in ["verdict=not-run", REFUSAL, "part=", "crashes=", "engines=", "quarantined_ago_ms"]
    {
        assert!(line.contains(field), "{field} is missing: {text}");
    }
    assert!(text.contains("crashes:"), "{text}");
}

/// Half of the engines end at one moment, again and again, under sound requests only.
#[test]
fn mass_crashes_quarantine_nothing() {
    let fleet = Fleet::start(2, 6);
    let responses: Vec<String> = thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|caller| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let texts = (0..40).map(|number| {
                        let id = format!("sound-{caller}-{number}");
                        send(&fleet.hosts[caller % 2], &id, "50a1").text()
                    });
                    texts.collect::<Vec<String>>()
                })
            })
            .collect();
        for round in 0..3 {
            thread::sleep(Duration::from_millis(700));
            fleet.engines.iter().skip(round).step_by(2).for_each(|it| it.crash(RESTART_TIME));
        }
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    });
    assert!(!responses.iter().any(|it| it.contains(REFUSAL)));
    assert!(responses.iter().any(|it| it.starts_with("HTTP/1.1 200")));
    thread::sleep(RESTART_TIME * 3);
    for host in &fleet.hosts {
        assert_eq!(send(host, "afterwards", "50a1").status(), 200);
    }
}

/// A host that starts again knows which requests are refused before it serves.
#[test]
fn restarted_host_forgets_quarantine() {
    let mut fleet = Fleet::start(2, 10);
    fleet.crash_until_refused();
    drop(fleet.hosts.pop());
    let n_crashes = fleet.n_crashes();
    thread::sleep(Duration::from_millis(1500));
    let host = EntryProcess::start(&fleet.store, "entry-2");
    host.wait_until_ready();
    let response = send(&host, "after-restart", "dead");
    assert!(response.text().contains(REFUSAL), "{}", response.text());
    assert_eq!(fleet.n_crashes(), n_crashes);
}

/// A request in turn finds only closed ports. Nothing is sent, so no start of its part has failed, and
/// it does not wait for another turn after each of them.
#[test]
fn closed_ports_take_turns() {
    let fleet = Fleet::start(1, 2);
    send(&fleet.hosts[0], "crash-1", "dead");
    assert_eq!(fleet.n_crashes(), 2);
    for number in 0..4 {
        let closed = SocketAddr::from((unique_loopback_ip(), 9));
        let entry = server_entry("pool", closed, "ready");
        fleet.store.put("servers", &format!("closed-{number}"), entry);
    }
    thread::sleep(Duration::from_millis(300));
    let sent = Instant::now();
    let response = send(&fleet.hosts[0], "crash-2", "dead");
    assert!(sent.elapsed() < Duration::from_millis(300), "{:?}", sent.elapsed());
    assert!(response.text().contains("not-run"), "{}", response.text());
    assert_eq!(fleet.n_crashes(), 2);
}

/// A request that waits for its turn is refused as soon as its part is quarantined.
#[test]
fn quarantined_request_waits_on() {
    let fleet = Fleet::start(1, 4);
    let host = &fleet.hosts[0];
    send(host, "crash-1", "dead");
    assert_eq!(fleet.n_crashes(), 2);
    thread::scope(|scope| {
        scope.spawn(|| send(host, "held-1", "dead"));
        while fleet.n_crashes() < 3 {
            thread::sleep(Duration::from_millis(5));
        }
        let sent = Instant::now();
        let waiting = scope.spawn(|| send(host, "crash-2", "dead"));
        thread::sleep(Duration::from_millis(60));
        quarantine(host, digest_of("dead"));
        let response = waiting.join().unwrap();
        assert!(response.text().contains(REFUSAL), "{}", response.text());
        assert!(sent.elapsed() < Duration::from_millis(250), "{:?}", sent.elapsed());
    });
    assert_eq!(fleet.n_crashes(), 3);
}

/// Returns `n` parts.
fn shared_parts(n: u32) -> String {
    let parts: Vec<String> = (0..n).map(|it| format!("{:08x}:1", 0x5c00_0000 + it)).collect();
    parts.join(",")
}

/// Load pattern: the crashing part stands behind hundreds of parts that sound requests share. All
/// hosts find it.
#[test]
fn long_prompt_hides_part() {
    let fleet = Fleet::start(2, 10);
    let shared = shared_parts(300);
    let mut refused_by = [false; 2];
    for number in 0..12 {
        let host = &fleet.hosts[number % 2];
        let response = send_after(host, &format!("crash-{number}"), &shared, "dead");
        refused_by[number % 2] = response.text().contains(REFUSAL);
        thread::sleep(Duration::from_millis(200));
        let sound = send_after(host, &format!("sound-{number}"), &shared, "50a1");
        assert_eq!(sound.status(), 200, "{}", sound.text());
        thread::sleep(Duration::from_millis(200));
    }
    assert!(refused_by == [true; 2] && fleet.n_crashes() <= 8, "{} crashes", fleet.n_crashes());
}

/// A head with more parts than a datagram to the owner of an engine holds is served.
#[test]
fn long_head_exceeds_datagram() {
    let fleet = Fleet::start(1, 3);
    let mut config = charter(2);
    config["limits"]["max-header-bytes"] = json!(400_000);
    fleet.store.put("config", "main", config);
    thread::sleep(Duration::from_millis(500));
    let shared = shared_parts(20_000);
    assert_eq!(send_after(&fleet.hosts[0], "sound", &shared, "50a1").status(), 200);
    send_after(&fleet.hosts[0], "crash", &shared, "dead");
    thread::sleep(RESTART_TIME + Duration::from_millis(500));
    assert_eq!(send_after(&fleet.hosts[0], "sound-again", &shared, "50a1").status(), 200);
}

fn digest_of(part: &str) -> PartDigest {
    let mut headers = Headers::default();
    headers.push("X-Model", "lots");
    headers.push("X-Prompt-Prefix", format!("{part}:30,aa:20"));
    decode_request(&RequestHead { method: "POST".into(), target: "/".into(), headers }).prompt_parts
        [0]
}

/// Tells an entry host in the name of another one that a part is in quarantine.
fn quarantine(host: &EntryProcess, part: PartDigest) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let beacon = Beacon {
        host: "entry-9".to_owned(),
        started_ms: 1,
        number: 1,
        interval_ms: 100,
        state: EntryState::Starting,
        callers: address,
        peers: address,
        processor_permille: 1000,
        follows_store: false,
        documents: DocumentNumbers::default(),
        region: "south".to_owned(),
        zone: "depot".to_owned(),
        suspected: Vec::new(),
        quarantined: vec![QuarantinedPart {
            part,
            n_crashes: 3,
            n_engines: 3,
            age_ms: 0,
            n_quarantines: 1,
        }],
    };
    let message = bincode::serialize(&PeerMessage::Beacon(beacon)).unwrap();
    socket.send_to(&message, host.peers).unwrap();
}
