//! Malformed or absurd input from other processes and the store does not end an entry host.

mod entry_process;

use std::{
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream, UdpSocket},
    thread,
    time::Duration,
};

use crocustiller::{
    fleet::{
        AdmissionMessage, Beacon, CrashReport, DocumentNumbers, EngineNotice, EntryState,
        ManifestCopy, PeerMessage, PiecesHeld, RequestTry,
    },
    placement::{Demand, QuarantinedPart, RequestAttempt, SuspectedRequest},
    platform::{
        store::{Metadata, StoredObject},
        wire_config, wire_server,
    },
};
use crocustiller_standins::raw_http::{ScriptedServer, Step};
use entry_process::{charter, complete_response, request, server_entry, Deployment};
use serde_json::{json, Value};

const N_MESSAGES: u32 = 20_000;
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
const ABSURD_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::BROADCAST), u16::MAX);

/// Datagrams that are random, cut or have random bytes changed.
#[test]
fn random_datagrams() {
    for seed in [1, 2, 3] {
        let deployment = start();
        let mut random = fastrand::Rng::with_seed(seed);
        let messages: Vec<Vec<u8>> =
            absurd_messages().iter().map(|it| bincode::serialize(it).unwrap()).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        for number in 0..N_MESSAGES {
            let bytes = mutated(&messages, &mut random);
            socket.send_to(&bytes, deployment.entry.peers).unwrap();
            if number % 100 == 0 {
                thread::sleep(Duration::from_millis(1));
            }
        }
        check_receives(&deployment);
        check_serves(deployment, &format!("seed {seed}"));
    }
}

/// Valid datagrams with the largest and smallest values.
#[test]
fn absurd_datagrams() {
    let deployment = start();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..20 {
        for message in absurd_messages() {
            let bytes = bincode::serialize(&message).unwrap();
            socket.send_to(&bytes, deployment.entry.peers).unwrap();
            thread::sleep(Duration::from_millis(1));
        }
    }
    check_receives(&deployment);
    check_serves(deployment, "absurd");
}

/// Objects of the store with values of wrong types or out of range are refused or decoded.
#[test]
fn absurd_objects() {
    let server = server_entry("pool", "127.0.0.1:1".parse().unwrap(), "ready");
    let version = json!({ "model": "lots", "version": 2 });
    for value in absurd_values() {
        for spec in absurd_variants(&charter(1), &value) {
            drop(wire_config::decode_config(&object("main", spec)));
        }
        for spec in absurd_variants(&server, &value) {
            drop(wire_server::decode_server(&object("pool-0", spec)));
        }
        for spec in absurd_variants(&version, &value) {
            drop(wire_server::decode_version(&object("lots", spec)));
        }
    }
}

/// After a configuration with an invalid value, the next one is still applied.
#[test]
fn negative_step_time() {
    let deployment = start();
    let mut config = charter(2);
    config["services"][1]["engine"]["step_ms"] = json!(-8.0);
    deployment.store.put("config", "main", config);
    thread::sleep(Duration::from_millis(800));
    check_applies(&deployment, 3);
    check_serves(deployment, "negative step time");
}

/// Configurations with absurd values that can be decoded are put into force.
#[test]
fn absurd_configurations() {
    thread::scope(|scope| {
        let times = [json!(1e18), json!(1e22)];
        let values = [json!(0), json!(u32::MAX), json!(u64::MAX), json!(1e300), json!("")];
        for value in values.into_iter().chain(times) {
            scope.spawn(move || apply_absurd_configurations(&value));
        }
    });
}

fn apply_absurd_configurations(value: &Value) {
    let mut deployment = start();
    let mut version = 2;
    for mut config in absurd_variants(&charter(1), value) {
        if config["version"] != json!(1) {
            continue;
        }
        config["version"] = json!(version);
        if wire_config::decode_config(&object("main", config.clone())).is_err() {
            continue;
        }
        version += 1;
        deployment.store.put("config", "main", config.clone());
        // Changes are batched; a later one replaces an earlier one.
        thread::sleep(Duration::from_millis(320));
        let id = format!("absurd-{version}");
        deployment.entry.exchange(&request("GET", "/stock/1", &id, "X-Deadline-Ms: 100\r\n"));
        assert!(!deployment.entry.has_exited(), "{config}");
    }
    check_applies(&deployment, version);
    check_serves(deployment, &format!("configurations with {value}"));
}

/// Engines and services whose entries have absurd values that can be decoded don't end a host or keep
/// it from serving and following; here together, so that sums are absurd too.
#[test]
fn absurd_entries_of_servers() {
    let engine = ScriptedServer::start(|request| {
        let bytes = entry_process::stream_head(request);
        let end = [entry_process::event_chunk(1), b"0\r\n\r\n".to_vec()].concat();
        vec![Step::Pause(Duration::from_millis(20)), Step::Send([bytes, end].concat())]
    })
    .unwrap();
    let mut deployment = Deployment::start("pool", &[&engine]);
    let sound = server_entry("pool", engine.address(), "ready");
    let ask = |deployment: &Deployment, id: &str| {
        let headers = "X-Model: lots\r\nX-Token-Counts: 100,20\r\n";
        deployment.entry.exchange(&request("POST", "/draft/1", id, headers)).status()
    };
    for value in absurd_values() {
        // All variants at once, at the address of a server that responds.
        for (number, spec) in absurd_variants(&sound, &value).into_iter().enumerate() {
            deployment.store.put("servers", &format!("absurd-{number}"), spec);
        }
        let mut widest = sound.clone();
        widest["slots"] = value.clone();
        for name in ["pool-0", "pool-1", "pool-2"] {
            deployment.store.put("servers", name, widest.clone());
        }
        thread::sleep(Duration::from_millis(300));
        // Whether they are refused depends on the values.
        for number in 0..4 {
            let status = ask(&deployment, &format!("absurd-{number}"));
            assert_ne!(status, 0, "{value}: neither answered nor refused");
        }
        assert!(!deployment.entry.has_exited(), "{value}");
    }
    let stored = deployment.store.objects("servers");
    for name in stored.iter().map(|it| it["metadata"]["name"].as_str().unwrap()) {
        deployment.store.remove("servers", name);
    }
    deployment.store.put("servers", "pool-0", sound);
    thread::sleep(Duration::from_millis(600));
    assert_eq!(ask(&deployment, "sound"), 200);
    check_follows(deployment);
}

/// Callers that state absurd sizes of prompts.
#[test]
fn absurd_prompt_sizes() {
    let engine = ScriptedServer::start(|request| {
        let bytes = entry_process::stream_head(request);
        let end = [entry_process::event_chunk(1), b"0\r\n\r\n".to_vec()].concat();
        vec![Step::Pause(Duration::from_millis(50)), Step::Send([bytes, end].concat())]
    })
    .unwrap();
    let deployment = Deployment::start("pool", &[&engine]);
    let entry = &deployment.entry;
    for sizes in ["4294967295,4294967295", "-1,-1", "99999999999999999999,1", "x", ",", "0,0"] {
        let headers = format!("X-Model: lots\r\nX-Token-Counts: {sizes}\r\nX-Deadline-Ms: 0\r\n");
        thread::scope(|scope| {
            for number in 0..4 {
                let id = format!("size-{number}");
                let bytes = request("POST", "/draft/1", &id, &headers);
                scope.spawn(move || entry.exchange(&bytes).status());
            }
        });
        assert_eq!(entry.readiness_status(), 200, "{sizes}");
    }
    let headers = "X-Model: lots\r\nX-Token-Counts: 100,20\r\n";
    assert_eq!(entry.exchange(&request("POST", "/draft/1", "sound", headers)).status(), 200);
}

fn start() -> Deployment {
    let ledger = ScriptedServer::start(complete_response("own")).unwrap();
    Deployment::start("ledger", &[&ledger])
}

/// Checks that datagrams are still received: a beacon's sender is in the directory.
fn check_receives(deployment: &Deployment) {
    let callers: SocketAddr = "127.250.250.250:9101".parse().unwrap();
    let peers = SocketAddr::new(callers.ip(), 9104);
    let sound = Beacon { callers, peers, interval_ms: 1000, ..beacon(EntryState::Ready, 77) };
    let bytes = bincode::serialize(&PeerMessage::Beacon(sound)).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    thread::sleep(Duration::from_millis(100));
    socket.send_to(&bytes, deployment.entry.peers).unwrap();
    thread::sleep(Duration::from_millis(100));
    let mut stream = TcpStream::connect(deployment.entry.directory).unwrap();
    let query =
        "GET /v1/resolve?name=x&region=south&zone=depot HTTP/1.1\r\nConnection: close\r\n\r\n";
    stream.write_all(query.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.contains(&callers.to_string()), "{response}");
}

/// Checks that a new configuration, in which a route has another prefix, is put into force.
fn check_applies(deployment: &Deployment, version: u64) {
    let mut config = charter(version);
    config["routes"][1]["path-prefix"] = json!("/new/");
    deployment.store.put("config", "main", config);
    thread::sleep(Duration::from_millis(700));
    let response = deployment.entry.exchange(&request("POST", "/new/1", "new", ""));
    assert_eq!(response.status(), 200, "{}", response.text());
}

/// Checks that a service that is new in the store is used.
fn check_follows(deployment: Deployment) {
    let ledger = ScriptedServer::start(complete_response("own")).unwrap();
    let entry = server_entry("ledger", ledger.address(), "ready");
    deployment.store.put("servers", "ledger-0", entry);
    thread::sleep(Duration::from_millis(400));
    check_serves(deployment, "servers");
}

fn check_serves(mut deployment: Deployment, case: &str) {
    thread::sleep(Duration::from_millis(200));
    assert!(!deployment.entry.has_exited(), "{case}");
    let response = deployment.entry.exchange(&request("GET", "/stock/1", "sound", ""));
    assert_eq!(response.status(), 200, "{case}: {}", response.text());
}

fn mutated(messages: &[Vec<u8>], random: &mut fastrand::Rng) -> Vec<u8> {
    let mut bytes = random.choice(messages).unwrap().clone();
    for _ in 0..random.usize(0..6) {
        let idx = random.usize(0..bytes.len());
        let byte = random.u8(..);
        bytes[idx] = random.choice([0, 1, 0x7f, 0x80, 0xff, byte]).unwrap();
    }
    match random.u8(0..4) {
        0 => bytes.truncate(random.usize(0..=bytes.len())),
        1 => bytes.extend((0..random.usize(0..64)).map(|_| random.u8(..))),
        _ => {}
    }
    bytes.truncate(MAX_DATAGRAM_BYTES);
    bytes
}

fn beacon(state: EntryState, value: u64) -> Beacon {
    Beacon {
        host: format!("host-{value}"),
        started_ms: value,
        number: value,
        interval_ms: value as u32,
        state,
        callers: ABSURD_ADDRESS,
        peers: ABSURD_ADDRESS,
        processor_permille: value as u32,
        follows_store: true,
        documents: DocumentNumbers::default(),
        region: "south".to_owned(),
        zone: "depot".to_owned(),
        suspected: vec![suspected_request(value); 3],
        quarantined: vec![
            QuarantinedPart {
                part: value,
                n_crashes: u32::MAX,
                n_engines: u32::MAX,
                n_quarantines: u32::MAX,
                age_ms: value,
            };
            3
        ],
    }
}

fn suspected_request(value: u64) -> SuspectedRequest {
    SuspectedRequest {
        request: value,
        crashes: vec![value; 40],
        cleared: (0..40).collect(),
        failed_tries: (0..40).collect(),
        last_ago_ms: value,
    }
}

fn absurd_messages() -> Vec<PeerMessage> {
    let demand = Demand {
        service: "pool".to_owned(),
        model: Some("lots".to_owned()),
        attempt: Some(RequestAttempt { request: u64::MAX, number: u64::MAX }),
        prompt_tokens: u32::MAX,
        is_resumed: true,
        excluded: vec![String::new(); 300],
        prompt_parts: vec![u64::MAX; 300],
        in_turn_parts: vec![u64::MAX; 300],
        wait: Duration::MAX,
        ..Demand::default()
    };
    let notice = EngineNotice {
        engine: ABSURD_ADDRESS,
        started_ms: u64::MAX,
        n_orders: u64::MAX,
        model: "lots".to_owned(),
        serves: Some(u64::MAX),
    };
    let held = PiecesHeld {
        zone: String::new(),
        model: "lots".to_owned(),
        version: u64::MAX,
        has_manifest: true,
        pieces: vec![u16::MAX; 9],
        fetching: vec![u16::MAX; 9],
        reaches_origin: true,
        asks: true,
    };
    let manifest =
        ManifestCopy { model: "lots".to_owned(), version: u64::MAX, digests: Vec::new() };
    let request = AdmissionMessage::Request { number: u64::MAX, demand: Box::new(demand) };
    let report =
        CrashReport { requests: vec![suspected_request(u64::MAX); 3], ..CrashReport::default() };
    vec![
        PeerMessage::Admission(request),
        PeerMessage::Admission(AdmissionMessage::FirstEvent { number: u64::MAX }),
        PeerMessage::Admission(AdmissionMessage::Report { reservations: Vec::new() }),
        PeerMessage::Beacon(beacon(EntryState::Ready, u64::MAX)),
        PeerMessage::Beacon(beacon(EntryState::Starting, 0)),
        PeerMessage::EngineNotice(notice),
        PeerMessage::PiecesHeld(held),
        PeerMessage::Manifest(manifest),
        PeerMessage::CrashReport(report),
        PeerMessage::RequestTry(RequestTry { request: u64::MAX, id: 0, is_over: false }),
    ]
}

fn object(name: &str, spec: Value) -> StoredObject {
    let metadata = Metadata { name: name.to_owned(), revision: u64::MAX };
    StoredObject { metadata, spec }
}

fn absurd_values() -> Vec<Value> {
    let numbers =
        [json!(-1), json!(-0.5), json!(0), json!(1e300), json!(u64::MAX), json!(u32::MAX)];
    let times = [json!(1e18), json!(1e22), json!(i64::MAX), json!(u64::MAX / 1000)];
    let others =
        [json!(null), json!(true), json!(""), json!("x"), json!([]), json!([[]]), json!({})];
    numbers.into_iter().chain(times).chain(others).collect()
}

/// Returns a copy of `spec` for each of its values, with that value replaced.
fn absurd_variants(spec: &Value, value: &Value) -> Vec<Value> {
    let replaced = |pointer: String| {
        let mut spec = spec.clone();
        *spec.pointer_mut(&pointer).unwrap() = value.clone();
        spec
    };
    leaves(spec).into_iter().map(replaced).collect()
}

/// Returns the JSON pointers of all values that are neither objects nor arrays.
fn leaves(value: &Value) -> Vec<String> {
    let under = |key: String, it: &Value| -> Vec<String> {
        leaves(it).into_iter().map(|rest| format!("/{key}{rest}")).collect()
    };
    match value {
        Value::Object(fields) => fields.iter().flat_map(|it| under(it.0.clone(), it.1)).collect(),
        Value::Array(items) => {
            items.iter().enumerate().flat_map(|(idx, it)| under(idx.to_string(), it)).collect()
        }
        _ => vec![String::new()],
    }
}
