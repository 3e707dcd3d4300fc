//! A slot process that loads weights into its engine from a faulty origin.

mod entry_process;
mod slot_process;

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::Step;
use entry_process::send_signal;
use serde_json::json;
use slot_process::{
    origin_server, piece, response_steps, EngineState, Slot, LOAD_TIMEOUT, N_PIECES,
};

/// Memory that a slot process may have used, in kilobytes.
const MAX_MEMORY_KB: u64 = 128 << 10;

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

/// Manifests and pieces without end are given up, and don't fill the memory of the process.
#[test]
fn endless_origin_responses_fill_no_memory() {
    let origin = origin_server(|_, n_calls, body| match n_calls {
        1..=6 => vec![
            Step::Send(b"HTTP/1.1 200 x\r\n\r\n".to_vec()),
            Step::SendEndlessly(body.repeat(20)),
        ],
        _ => response_steps(200, &body),
    });
    let slot = Slot::start(&origin, EngineState::default());
    slot.check_loaded(1);
    assert!(slot.peak_memory_kb() < MAX_MEMORY_KB, "{} kB", slot.peak_memory_kb());
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

/// An engine that reports an absurd load still gets the next version.
#[test]
fn absurd_engine_load() {
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let slot = Slot::start(&origin, EngineState { load: (u32::MAX, 1), ..EngineState::default() });
    slot.check_loaded(1);
    slot.store.put("versions", "lots", json!({ "model": "lots", "version": 2 }));
    slot.check_loaded(2);
}
