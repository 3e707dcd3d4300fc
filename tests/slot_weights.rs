//! A slot process that loads weights into its engine from a faulty origin.

mod entry_process;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    process::Child,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crocustiller::fleet::{ManifestCopy, PeerMessage, PiecesHeld};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{charter, send_signal, start_platform_process, unique_loopback_ip};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

const N_PIECES: u32 = 4;
/// Time within which a single slot must load weights into its engine.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of the engine stand-in: its staging area, its orders and its loaded weights.
#[derive(Default)]
struct EngineState {
    staged: BTreeMap<u32, Vec<u8>>,
    /// The versions ordered, each with whether all staged pieces were correct at that moment.
    orders: Vec<(u64, bool)>,
    loaded_version: Option<u64>,
    /// The number of the staged piece that was read last.
    last_read_piece: Option<u32>,
    /// The numbers of running and of queued requests that the engine reports.
    load: (u32, u32),
}

struct Slot {
    peers: SocketAddr,
    engine: Arc<Mutex<EngineState>>,
    store: StoreStandin,
    child: Child,
}

fn piece(version: u64, number: u32) -> Vec<u8> {
    format!("piece {number} of version {version} ").repeat(40).into_bytes()
}

fn response_steps(status: u16, body: &[u8]) -> Vec<Step> {
    let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n", body.len());
    vec![Step::Send([head.as_bytes(), body].concat())]
}

fn query_number(request: &RawRequest, name: &str) -> u64 {
    let query = request.target.split_once('?').map_or("", |it| it.1);
    let mut fields = query.split('&').filter_map(|it| it.split_once('='));
    fields.find(|it| it.0 == name).and_then(|it| it.1.parse().ok()).unwrap_or(0)
}

fn engine_server(state: Arc<Mutex<EngineState>>) -> ScriptedServer {
    ScriptedServer::start(move |request| {
        let mut state = state.lock().unwrap();
        let number = query_number(request, "num") as u32;
        let path = request.target.split('?').next().unwrap_or("");
        match path {
            "/v1/report" => response_steps(200, engine_report(&state).to_string().as_bytes()),
            "/v1/stage-put/lots" => {
                state.staged.insert(number, request.body.clone());
                response_steps(200, b"")
            }
            "/v1/stage-get/lots" if request.target.contains("num=") => {
                state.last_read_piece = Some(number);
                match state.staged.get(&number) {
                    Some(bytes) => response_steps(200, bytes),
                    None => response_steps(404, b""),
                }
            }
            "/v1/stage-get/lots" => {
                let staged: Vec<u32> = state.staged.keys().copied().collect();
                response_steps(200, json!({ "held": staged }).to_string().as_bytes())
            }
            "/v1/order" => {
                let order: Value = serde_json::from_slice(&request.body).unwrap();
                let version = order["version"].as_u64().unwrap();
                let is_correct = |it: u32| state.staged.get(&it) == Some(&piece(version, it));
                let is_complete = (0..N_PIECES).all(is_correct);
                state.orders.push((version, is_complete));
                state.loaded_version = Some(version);
                response_steps(202, b"")
            }
            _ => response_steps(404, b""),
        }
    })
    .unwrap()
}

fn engine_report(state: &EngineState) -> Value {
    let models: Vec<Value> =
        state.loaded_version.iter().map(|it| json!({ "name": "lots", "version": it })).collect();
    let layers: Vec<Value> = state
        .loaded_version
        .iter()
        .map(|it| json!({ "from": 0, "target": 4, "version": it }))
        .collect();
    json!({
        "models": models, "layers": layers, "busy": false, "sequence": state.orders.len(),
        "running": state.load.0, "queued": state.load.1, "born": 1000,
    })
}

/// Starts an origin; `respond` gets the target, the number of the call and the correct body, and
/// returns what to send.
fn origin_server(
    respond: impl Fn(&str, usize, Vec<u8>) -> Vec<Step> + Send + Sync + 'static,
) -> ScriptedServer {
    let n_calls = Mutex::new(0);
    ScriptedServer::start(move |request| {
        let version = query_number(request, "version");
        let body = if request.target.starts_with("/v1/manifest") {
            let digest = |it: u32| hex::encode(Sha256::digest(piece(version, it)));
            let digests: Vec<String> = (0..N_PIECES).map(digest).collect();
            json!({ "model": "lots", "version": version, "digests": digests }).to_string().into()
        } else {
            piece(version, query_number(request, "num") as u32)
        };
        let mut n_calls = n_calls.lock().unwrap();
        *n_calls += 1;
        respond(&request.target, *n_calls, body)
    })
    .unwrap()
}

impl Slot {
    fn start(origin: &ScriptedServer, engine: EngineState) -> Slot {
        let engine = Arc::new(Mutex::new(engine));
        let server = engine_server(engine.clone());
        let store = StoreStandin::start().unwrap();
        let mut config = charter(1);
        let services = config["services"].as_array_mut().unwrap();
        services.push(json!({ "name": "origin", "origin": origin.address(), "link-mbps": 100.0 }));
        store.put("config", "main", config);
        let peers = SocketAddr::from((unique_loopback_ip(), 9104));
        let text = format!(
            "[host]\nid = slot-1\nrole = backend\nregion = south\nzone = depot\n\n\
             [listen]\npeers = {peers}\n\n[engine]\nservice = pool\naddress = {}\n\n\
             [store]\naddress = {}\n",
            server.address(),
            store.address()
        );
        let (child, _folder) = start_platform_process(&text);
        // The settings may be deleted once the process calls the store, as it has read them then.
        let started = Instant::now();
        while store.n_calls() == 0 {
            assert!(started.elapsed() < LOAD_TIMEOUT, "the slot process does not call the store");
            thread::sleep(Duration::from_millis(10));
        }
        Slot { peers, engine, store, child }
    }

    /// Waits until the engine has loaded `version`; checks that the weights were complete and
    /// correct at every order.
    fn check_loaded(&self, version: u64) {
        let started = Instant::now();
        while self.engine.lock().unwrap().loaded_version != Some(version) {
            assert!(started.elapsed() < LOAD_TIMEOUT, "version {version} is not loaded");
            thread::sleep(Duration::from_millis(20));
        }
        let engine = self.engine.lock().unwrap();
        assert!(
            engine.orders.iter().all(|it| it.1),
            "order with incorrect weights: {:?}",
            engine.orders
        );
    }
}

/// The slot is suspended between its check of the staged pieces and the order to load them, and a
/// piece goes bad meanwhile.
#[test]
fn stale_check_is_repeated() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let engine = EngineState { loaded_version: Some(1), load: (5, 0), ..EngineState::default() };
    let slot = Slot::start(&origin, engine);
    slot.store.put("versions", "lots", json!({ "model": "lots", "version": 2 }));
    let is_draining = || {
        let engine = slot.engine.lock().unwrap();
        engine.last_read_piece == Some(N_PIECES - 1)
            && (0..N_PIECES).all(|it| engine.staged.get(&it) == Some(&piece(2, it)))
    };
    let started = Instant::now();
    while !is_draining() {
        assert!(started.elapsed() < LOAD_TIMEOUT, "the slot does not check the pieces");
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(200));
    send_signal(&slot.child, "STOP");
    assert!(slot.engine.lock().unwrap().orders.is_empty(), "the order came too early for the test");
    slot.engine.lock().unwrap().staged.insert(0, b"spoilt".to_vec());
    thread::sleep(Duration::from_millis(3500));
    send_signal(&slot.child, "CONT");
    slot.check_loaded(2);
}

/// Sends the slot process the report of a peer in its zone that has no pieces.
fn send_pieces_held(socket: &UdpSocket, slot: &Slot, has_manifest: bool, reaches_origin: bool) {
    let pieces_held = PiecesHeld {
        zone: "depot".to_owned(),
        model: "lots".to_owned(),
        version: 1,
        has_manifest,
        pieces: Vec::new(),
        fetching: Vec::new(),
        reaches_origin,
        asks: false,
    };
    let message = bincode::serialize(&PeerMessage::PiecesHeld(pieces_held)).unwrap();
    socket.send_to(&message, slot.peers).unwrap();
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

#[test]
fn empty_engine_is_loaded() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let slot = Slot::start(&origin, EngineState::default());
    slot.check_loaded(1);
    // One request for the manifest and one for each piece.
    assert_eq!(origin.requests().len() as u32, 1 + N_PIECES);
}

/// A slot keeps no idle connection to the origin, which accepts fewer connections than there are
/// slots.
#[test]
fn no_idle_origin_connections() {
    let origin = origin_server(|target, _, body| match target.contains("num=3&") {
        true => response_steps(503, b""),
        false => response_steps(200, &body),
    });
    let _slot = Slot::start(&origin, EngineState::default());
    let started = Instant::now();
    while origin.requests().len() < 8 {
        assert!(started.elapsed() < LOAD_TIMEOUT, "the slot does not retry at the origin");
        thread::sleep(Duration::from_millis(10));
    }
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(1) {
        // The connection on which the last piece is requested again.
        assert!(
            origin.n_open_connections() <= 1,
            "{} open connections",
            origin.n_open_connections()
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Wrong bytes, truncated responses and refusals of the origin never reach the engine.
#[test]
fn bad_origin_responses_are_rejected() {
    let origin = origin_server(|_, n_calls, mut body| match n_calls % 6 {
        1 => {
            let middle = body.len() / 2;
            body[middle] ^= 1;
            response_steps(200, &body)
        }
        2 => vec![
            Step::Send(b"HTTP/1.1 200 x\r\nContent-Length: 999\r\n\r\ncut".to_vec()),
            Step::Close,
        ],
        4 => response_steps(503, b""),
        _ => response_steps(200, &body),
    });
    Slot::start(&origin, EngineState::default()).check_loaded(1);
}

/// A slot that copied a wrong manifest from a peer recovers and loads the correct weights.
/// Seen once in a hunt (Habimana): after a restart of all processes no engine was loaded any more.
#[test]
fn wrong_manifest_of_a_peer() {
    let peer = ScriptedServer::start(|request| {
        if !request.target.starts_with("/manifest/") {
            return response_steps(404, b"");
        }
        let digest = |it: u32| match it {
            2 => "00".repeat(32),
            _ => hex::encode(Sha256::digest(piece(1, it))),
        };
        let digests: Vec<String> = (0..N_PIECES).map(digest).collect();
        response_steps(200, json!({ "version": 1, "digests": digests }).to_string().as_bytes())
    })
    .unwrap();
    let origin = origin_server(|_, _, body| {
        // The peer's messages arrive before the origin's response.
        thread::sleep(Duration::from_millis(30));
        response_steps(200, &body)
    });
    let slot = Slot::start(&origin, EngineState::default());
    let socket = UdpSocket::bind(peer.address()).unwrap();
    for _ in 0..100 {
        send_pieces_held(&socket, &slot, true, true);
        thread::sleep(Duration::from_millis(2));
    }
    slot.check_loaded(1);
    assert!(
        peer.requests().iter().any(|it| it.target.starts_with("/manifest/")),
        "no manifest request to the peer"
    );
}

/// Pieces assigned to a slot that does not reach the origin are fetched by the next slot in rank.
#[test]
fn next_in_rank_fetches_pieces() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let slot = Slot::start(&origin, EngineState::default());
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let started = Instant::now();
    while slot.engine.lock().unwrap().loaded_version.is_none() {
        // One second until the takeover from the first in rank, and one for the fetch.
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "the pieces of the first in rank are not fetched"
        );
        send_pieces_held(&socket, &slot, false, false);
        thread::sleep(Duration::from_millis(20));
    }
    slot.check_loaded(1);
}

/// A slot that gets no response from the origin reports this to its peers.
#[test]
fn unreachable_origin_is_announced() {
    let origin = origin_server(|target, _, body| match target.starts_with("/v1/manifest") {
        true => response_steps(200, &body),
        false => vec![Step::Reset],
    });
    let slot = Slot::start(&origin, EngineState::default());
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let started = Instant::now();
    let mut bytes = [0; 4096];
    loop {
        assert!(started.elapsed() < LOAD_TIMEOUT, "no report that the origin is unreachable");
        send_pieces_held(&socket, &slot, false, true);
        let Ok(n_bytes) = socket.recv(&mut bytes) else { continue };
        match bincode::deserialize(&bytes[..n_bytes]).unwrap() {
            PeerMessage::PiecesHeld(pieces_held) if !pieces_held.reaches_origin => return,
            _ => {}
        }
    }
}

/// Pieces that are already in the staging area are used; corrupt ones are fetched again.
#[test]
fn staged_pieces_are_reused() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let mut staged: BTreeMap<u32, Vec<u8>> = (0..N_PIECES).map(|it| (it, piece(1, it))).collect();
    staged.insert(2, b"rotten".to_vec());
    let engine = EngineState { staged, ..EngineState::default() };
    let slot = Slot::start(&origin, engine);
    slot.check_loaded(1);
    let pieces: Vec<String> = origin
        .requests()
        .into_iter()
        .map(|it| it.target)
        .filter(|it| it.starts_with("/v1/piece"))
        .collect();
    assert_eq!(pieces.len(), 1, "{pieces:?}");
}

/// When a version is published while the previous one is still being fetched, the engine ends with
/// the newest.
#[test]
fn newest_version_is_loaded() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let slot = Slot::start(&origin, EngineState::default());
    slot.check_loaded(1);
    slot.store.put("versions", "lots", json!({ "model": "lots", "version": 2 }));
    thread::sleep(Duration::from_millis(30));
    slot.store.put("versions", "lots", json!({ "model": "lots", "version": 3 }));
    slot.check_loaded(3);
}

/// Random, cut and absurd datagrams do not stop a slot process from receiving.
#[test]
fn random_datagrams() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let slot = Slot::start(&origin, EngineState::default());
    slot.check_loaded(1);
    let held = |version, number| PiecesHeld {
        zone: String::new(),
        model: "lots".to_owned(),
        version,
        has_manifest: false,
        pieces: vec![number; 9],
        fetching: vec![number; 9],
        reaches_origin: false,
        asks: false,
    };
    let manifest = |digests| ManifestCopy { model: "lots".to_owned(), version: 2, digests };
    let messages = [
        PeerMessage::PiecesHeld(held(u64::MAX, u16::MAX)),
        PeerMessage::PiecesHeld(held(2, u16::MAX)),
        PeerMessage::PiecesHeld(held(0, 0)),
        PeerMessage::Manifest(manifest(Vec::new())),
        PeerMessage::Manifest(manifest(vec![[7; 32]; 200])),
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut random = fastrand::Rng::with_seed(1);
    for number in 0..5000 {
        let mut bytes = bincode::serialize(&messages[number % messages.len()]).unwrap();
        for _ in 0..random.usize(0..5) {
            let idx = random.usize(0..bytes.len());
            bytes[idx] = random.u8(..);
        }
        if random.bool() {
            bytes.truncate(random.usize(0..=bytes.len()));
        }
        socket.send_to(&bytes, slot.peers).unwrap();
        if number % 50 == 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
    for message in &messages {
        socket.send_to(&bincode::serialize(message).unwrap(), slot.peers).unwrap();
    }
    check_responds(&slot);
    slot.store.put("versions", "lots", json!({ "model": "lots", "version": 2 }));
    slot.check_loaded(2);
}

/// Checks that the slot process answers a peer that asks for its pieces.
fn check_responds(slot: &Slot) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    let question = PiecesHeld {
        zone: "depot".to_owned(),
        model: "lots".to_owned(),
        version: 1,
        has_manifest: false,
        pieces: Vec::new(),
        fetching: Vec::new(),
        reaches_origin: true,
        asks: true,
    };
    thread::sleep(Duration::from_millis(100));
    let message = bincode::serialize(&PeerMessage::PiecesHeld(question)).unwrap();
    socket.send_to(&message, slot.peers).unwrap();
    let mut bytes = [0; 8 << 10];
    let n_bytes = socket.recv(&mut bytes).unwrap();
    let answer: PeerMessage = bincode::deserialize(&bytes[..n_bytes]).unwrap();
    let PeerMessage::PiecesHeld(held) = answer else { panic!("{answer:?}") };
    assert_eq!(held.pieces.len() as u32, N_PIECES);
}

/// A forwarded manifest that lacks the last pieces does not lead to an order with missing pieces.
#[test]
fn short_manifest_of_a_peer() {
    let origin = origin_server(|target, _, body| {
        // The forwarded manifest must be there first.
        let pause = if target.starts_with("/v1/manifest") { 500 } else { 0 };
        let mut steps = vec![Step::Pause(Duration::from_millis(pause))];
        steps.extend(response_steps(200, &body));
        steps
    });
    let slot = Slot::start(&origin, EngineState::default());
    let digests = (0..2).map(|it| Sha256::digest(piece(1, it)).into()).collect();
    let copy = ManifestCopy { model: "lots".to_owned(), version: 1, digests };
    let message = bincode::serialize(&PeerMessage::Manifest(copy)).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..20 {
        socket.send_to(&message, slot.peers).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    slot.check_loaded(1);
}

/// An engine that reports an absurd load still gets the next version.
#[test]
fn absurd_engine_load() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let slot = Slot::start(&origin, EngineState { load: (u32::MAX, 1), ..EngineState::default() });
    slot.check_loaded(1);
    slot.store.put("versions", "lots", json!({ "model": "lots", "version": 2 }));
    slot.check_loaded(2);
}
