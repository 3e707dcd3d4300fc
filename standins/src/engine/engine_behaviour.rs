//! Timing and faults of an engine, and what it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Timing and faults of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehaviour {
    /// Time from the start of a request until its first token.
    pub first_token_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
    /// Requests that run at the same time.
    pub concurrency: usize,
    /// Factor on all times.
    pub slow: u32,
    /// A request whose prompt holds this text ends the engine; empty for none.
    pub crash_on_prompt: String,
    /// After this time a crashed engine listens again, without weights; 0 for never.
    pub restart_after_ms: u64,
    /// Number of answers that are cut half way with the connection.
    pub cut_answers: u32,
    /// Number of answers that carry the request id and the text of another request.
    pub cross_request_ids: u32,
    /// Number of answers that end early as if they were whole.
    pub short_answers: u32,
    /// Number of answers whose pieces are sent twice.
    pub duplicate_answers: u32,
    /// Takes load orders with old fencing numbers.
    pub ignore_fencing: bool,
    /// Starts no further request and sends no further token.
    pub stall: bool,
    /// Wait before a load order takes effect.
    pub load_delay_ms: u64,
}

impl Default for EngineBehaviour {
    fn default() -> EngineBehaviour {
        EngineBehaviour {
            first_token_ms: 20,
            token_ms: 2,
            concurrency: 8,
            slow: 1,
            crash_on_prompt: String::new(),
            restart_after_ms: 0,
            cut_answers: 0,
            cross_request_ids: 0,
            short_answers: 0,
            duplicate_answers: 0,
            ignore_fencing: false,
            stall: false,
            load_delay_ms: 0,
        }
    }
}

/// What an engine did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that came in.
    pub requests: u64,
    /// Requests answered to the end.
    pub completed: u64,
    /// Requests whose reader went away before the end.
    pub cancelled: u64,
    /// Load orders that took effect.
    pub loads: u64,
    /// Load orders refused for their fencing number.
    pub refused_loads: u64,
    /// Requests answered while the engine was loading or with two versions.
    pub answered_mixed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Time of the last request that came in, in milliseconds since 1970.
    pub last_request_unix_ms: u64,
    /// Runs by request id, of the first `MAX_COUNTED_IDS` ids.
    pub runs: BTreeMap<String, u32>,
}

/// Request ids whose runs are counted.
pub(crate) const MAX_COUNTED_IDS: usize = 100_000;
