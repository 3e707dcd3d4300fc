//! Properties of the decoders of the store's bodies, over random numbers and damaged pages.

use std::time::Duration;

use crocustiller::platform::{
    store::{Metadata, StoredObject},
    wire_config, wire_server,
};
use proptest::prelude::*;
use serde_json::{json, Value};

/// Longest time, and greatest number of slots and pieces, with which sums and products are safe.
const MAX_TIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);
const MAX_COUNT: u32 = 1 << 16;

/// Numbers of all sizes, the limits of the types among them.
fn any_number() -> impl Strategy<Value = Value> {
    let limits = [u64::from(u16::MAX), u64::from(u32::MAX), i64::MAX as u64, u64::MAX];
    prop_oneof![
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u32>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        (-300_i32..300).prop_map(|it| Value::from(10_f64.powi(it))),
        proptest::sample::select(limits.to_vec()).prop_map(Value::from),
    ]
}

fn object(name: &str, spec: Value) -> StoredObject {
    let metadata = Metadata { name: name.to_owned(), revision: u64::MAX };
    StoredObject { metadata, spec }
}

proptest! {
    /// Numbers in a server's entry that later are summed or multiplied are bounded.
    #[test]
    fn numbers_of_servers_are_bounded(numbers in prop::array::uniform6(any_number())) {
        let [slots, born, version, from, target, layers_version] = numbers;
        let spec = json!({
            "service": "pool", "address": "127.0.0.1:1", "zone": "depot", "state": "ready",
            "slots": slots, "born": born, "models": [{ "name": "lots", "version": version }],
            "layers": [{ "from": from, "target": target, "version": layers_version }],
        });
        if let Ok(server) = wire_server::decode_server(&object("pool-0", spec)) {
            prop_assert!(server.slots <= MAX_COUNT, "{server:?}");
        }
    }

    /// Numbers in a configuration that later are added to times, summed or multiplied are bounded.
    #[test]
    fn numbers_of_configurations_are_bounded(
        replaced in prop::collection::vec((0..14_usize, any_number()), 1..3),
        random in 0.0..1.0,
    ) {
        let mut numbers = [(); 14].map(|()| json!(100));
        for (idx, number) in replaced {
            numbers[idx] = number;
        }
        let [timeout, goal, header, idle, step, warm, weight, other_weight, slots, layers, chunks, bytes, rate, link] =
            numbers;
        let spec = json!({
            "version": 1,
            "routes": [{
                "host": "a", "path-prefix": "/", "route-type": "idempotent", "timeout-ms": timeout,
                "goal-ms": goal, "backends": [
                    { "service": "pool", "weight": weight },
                    { "service": "pool", "weight": other_weight },
                ],
            }],
            "services": [{
                "name": "pool", "origin": "127.0.0.1:1", "link-mbps": link, "engine": {
                    "slots": slots, "models": [{ "name": "lots", "warm-s": warm }],
                    "step_ms": step, "read_per_s": rate, "layers": layers, "chunks": chunks,
                    "chunk-bytes": bytes,
                },
            }],
            "limits": {
                "max-header-bytes": 4096, "max-body-bytes": 65536, "header-timeout-ms": header,
                "idle-timeout-ms": idle,
            },
        });
        let Ok(Some(charter)) = wire_config::decode_config(&object("main", spec)) else {
            return Ok(());
        };
        let route = &charter.routes["a"][0];
        let engine = charter.services["pool"].engine.as_ref().unwrap();
        let limits = &charter.limits;
        for time in [
            route.timeout,
            route.latency_objective,
            limits.head_timeout,
            limits.idle_timeout,
            engine.step,
            engine.models[0].load,
        ] {
            prop_assert!(time <= MAX_TIME, "{charter:?}");
        }
        prop_assert!(engine.slots <= MAX_COUNT && engine.n_pieces <= MAX_COUNT, "{engine:?}");
        prop_assert!(route.choose_service(random).is_some());
    }
}
