//! A pool and a plain service whose servers start cold.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crocustiller::{
    placement::{ColdBounds, ColdServers},
    routing::{BackendServer, BackendState, ColdStart, EngineSpec, Service},
};

pub const SLOTS: u32 = 12;
pub const COLD_MS: u64 = 3000;
const BOUNDS: ColdBounds = ColdBounds { rate_factor: 1.5, extra_requests: 5 };

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], number))
}

/// Returns a decider that knows the services `pool` and `plain`, whose servers bear 17 requests per
/// second while cold, and crash beyond 30 in one second.
pub fn cold_servers() -> ColdServers {
    cold_servers_with(17.0)
}

/// Returns a decider whose servers bear `max_requests_per_s` while cold.
pub fn cold_servers_with(max_requests_per_s: f64) -> ColdServers {
    let engine = EngineSpec {
        slots: SLOTS,
        models: Vec::new(),
        n_layers: 1,
        n_pieces: 1,
        piece_bytes: 1,
        step: ms(7),
        step_per_request: Duration::ZERO,
        step_per_1000_tokens: Duration::ZERO,
        steps_per_event: 7,
        usual_output_tokens: 0,
        read_tokens_per_s: 30_600.0,
    };
    let cold_start = Some(ColdStart { duration: ms(COLD_MS), max_requests_per_s });
    let service = |engine| Service { engine, origin: None, cold_start };
    let mut cold = ColdServers::new(BOUNDS);
    cold.update_services(&BTreeMap::from([
        ("pool".to_owned(), service(Some(engine))),
        ("plain".to_owned(), service(None)),
    ]));
    cold
}

/// Returns the entry of the server `id`.
pub fn server(id: &str, service: &str, started_ms: u64, cold_left: Duration) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        service: service.to_owned(),
        address: address(1),
        zone: "z1".to_owned(),
        slots: SLOTS,
        state: BackendState::Ready,
        weights: Vec::new(),
        is_switching: false,
        started_ms,
        cold_left,
    }
}
