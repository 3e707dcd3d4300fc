//! Messages of other slots, also wrong and absurd ones, to a slot process.

mod entry_process;
mod slot_process;

use std::{
    net::UdpSocket,
    thread,
    time::{Duration, Instant},
};

use crocustiller::fleet::{ManifestCopy, PeerMessage, PiecesHeld};
use crocustiller_standins::raw_http::{ScriptedServer, Step};
use serde_json::json;
use sha2::{Digest, Sha256};
use slot_process::{
    origin_server, piece, response_steps, EngineState, Slot, LOAD_TIMEOUT, N_PIECES,
};

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

/// Guards against slots that load nothing after a restart of all processes, as they copied a wrong
/// manifest.
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
    let asked_peer = peer.clone();
    let origin = origin_server(move |target, _, body| {
        let is_too_early = target.starts_with("/v1/manifest") && asked_peer.requests().is_empty();
        response_steps(if is_too_early { 503 } else { 200 }, &body)
    });
    let slot = Slot::start(&origin, EngineState::default());
    let socket = UdpSocket::bind(peer.address()).unwrap();
    let started = Instant::now();
    while peer.requests().is_empty() {
        assert!(started.elapsed() < LOAD_TIMEOUT, "no manifest request to the peer");
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
