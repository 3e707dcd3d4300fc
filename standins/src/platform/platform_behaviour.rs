//! The timing and the injected faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// The timing and the injected faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformBehaviour {
    /// Responds to every call with status 503 and ends waiting watches.
    pub outage: bool,
    /// The delay before a call takes effect.
    pub latency_ms: u64,
    /// The number of writes that take effect but whose connection is closed without a response.
    pub lose_answers: u32,
    /// The age of the state that reads, lists and watches return.
    pub lagging_reads_ms: u64,
    /// Writes per second above which calls get status 429; 0 for no limit.
    pub writes_per_s: u64,
    /// Reads per second above which calls get status 429; 0 for no limit.
    pub reads_per_s: u64,
    /// The prefix of the objects that `latency_ms`, `lose_answers` and `lagging_reads_ms` affect.
    pub object_prefix: String,
}
