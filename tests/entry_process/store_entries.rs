//! The entries of the store that a deployment serves requests with.

use std::net::SocketAddr;

use serde_json::{json, Value};

use super::{API_KEY, HOST};

/// Returns the configuration with number `version`, which has one route of each kind.
pub fn charter(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool, attempts: u32| {
        json!({
            "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "route-type": kind,
            "timeout-ms": 2500, "goal-ms": 400, "priority": 1, "service": service,
            "max-attempts": attempts, "public": false, "sticky": false, "resumable": resumable,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("stock", "idempotent", "ledger", false, 2),
            route("hold", "non_idempotent", "ledger", false, 1),
            route("draft", "streaming", "pool", true, 2),
        ],
        "services": [
            { "name": "ledger", "health-path": "/health", "max-connections": 100 },
            { "name": "pool", "health-path": "/health", "max-connections": 100, "engine": {
                "slots": 16, "models": [{ "name": "lots", "warm-s": 0.1 }], "layers": 4,
                "chunks": 4, "chunk-bytes": 64, "step_ms": 8.0, "read_per_s": 19100.0,
            } },
        ],
        "limits": {
            "max-header-bytes": 4096, "max-body-bytes": 65536,
            "header-timeout-ms": 500, "idle-timeout-ms": 5000,
        },
        "tenants": [{ "name": "weavers", "api-keys": [API_KEY], "priority": 1 }],
    })
}

/// Returns the configuration with number 1, whose routes have this timeout and accept long bodies.
pub fn charter_with_timeout(timeout_ms: u64) -> Value {
    let mut changed = charter(1);
    for route in changed["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(timeout_ms);
    }
    changed["limits"]["max-body-bytes"] = json!(10_000_000);
    changed
}

/// Returns the store entry of a backend server; an engine has complete weights of version 1.
pub fn server_entry(service: &str, address: SocketAddr, state: &str) -> Value {
    json!({
        "service": service, "address": address, "zone": "depot", "version": "v1", "slots": 16,
        "state": state, "cold-left-ms": 0, "sequence": 0, "born": 1000,
        "models": [{ "name": "lots", "version": 1 }],
        "layers": [{ "from": 0, "target": 4, "version": 1 }],
    })
}
