//! Runs a slot as a separate process beside stand-ins for its engine, the origin of weights and the
//! store.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::Child,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

use crate::entry_process::{charter, start_with_descriptors, unique_loopback_ip};

/// The number of pieces of each version.
pub const N_PIECES: u32 = 4;
/// Time within which a single slot must load weights into its engine.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of the engine stand-in: its staging area, its orders and its loaded weights.
#[derive(Default)]
pub struct EngineState {
    pub staged: BTreeMap<u32, Vec<u8>>,
    /// The versions ordered, each with whether all staged pieces were correct at that moment.
    pub orders: Vec<(u64, bool)>,
    pub loaded_version: Option<u64>,
    /// The number of the staged piece that was read last.
    pub last_read_piece: Option<u32>,
    /// The numbers of running and of queued requests that the engine reports.
    pub load: (u32, u32),
}

/// A slot process, with the stand-ins that it uses; it is killed when dropped.
pub struct Slot {
    pub peers: SocketAddr,
    pub engine: Arc<Mutex<EngineState>>,
    pub store: StoreStandin,
    pub child: Child,
}

/// Returns the correct bytes of a piece.
pub fn piece(version: u64, number: u32) -> Vec<u8> {
    format!("piece {number} of version {version} ").repeat(40).into_bytes()
}

/// Returns the steps that send a complete response.
pub fn response_steps(status: u16, body: &[u8]) -> Vec<Step> {
    let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n", body.len());
    vec![Step::Send([head.as_bytes(), body].concat())]
}

/// Returns a number in the query of a request; 0 if it has none.
pub fn query_number(request: &RawRequest, name: &str) -> u64 {
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
pub fn origin_server(
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
    /// Starts a slot process beside `engine` and waits until it calls the store.
    pub fn start(origin: &ScriptedServer, engine: EngineState) -> Slot {
        Slot::start_with_descriptors(origin, engine, None)
    }

    /// Starts a slot process that may have only `n_descriptors` open, if that is named.
    pub fn start_with_descriptors(
        origin: &ScriptedServer,
        engine: EngineState,
        n_descriptors: Option<u64>,
    ) -> Slot {
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
        let (child, _folder) = start_with_descriptors(&text, n_descriptors);
        // The settings may be deleted once the process calls the store, as it has read them then.
        let started = Instant::now();
        while store.n_calls() == 0 {
            assert!(started.elapsed() < LOAD_TIMEOUT, "the slot process does not call the store");
            thread::sleep(Duration::from_millis(10));
        }
        Slot { peers, engine, store, child }
    }

    /// Returns the largest resident memory of the process so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Waits until the engine has loaded `version`; checks that the weights were complete and
    /// correct at every order.
    pub fn check_loaded(&self, version: u64) {
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

impl Drop for Slot {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
