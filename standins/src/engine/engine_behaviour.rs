//! The timing, the injected faults and the counts of an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The timing and the injected faults of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehaviour {
    /// The time from the start of a request to its first token.
    pub first_token_ms: u64,
    /// The time between two tokens.
    pub token_ms: u64,
    /// The maximum number of requests that run at the same time.
    pub concurrency: usize,
    /// The factor by which `first_token_ms` and `token_ms` are multiplied.
    pub slow: u32,
    /// The text in a prompt that crashes the engine; empty for none.
    pub crash_on_prompt: String,
    /// The time after which a crashed engine listens again, without weights; 0 for never.
    pub restart_after_ms: u64,
    /// The number of responses that are cut off half way by closing the connection.
    pub cut_answers: u32,
    /// The number of responses that have the request id and the text of another request.
    pub cross_request_ids: u32,
    /// The number of responses that end half way but are framed as complete.
    pub short_answers: u32,
    /// The number of streamed responses whose events are sent twice.
    pub duplicate_answers: u32,
    /// Accepts load orders with outdated fencing numbers.
    pub ignore_fencing: bool,
    /// Stops all progress: no request starts and no token is sent.
    pub stall: bool,
    /// The delay before a load order takes effect.
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

/// Counts of the requests and load orders of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests received.
    pub requests: u64,
    /// Requests whose response was completed.
    pub completed: u64,
    /// Requests that ended before their response was completed, for instance because the client
    /// closed the connection.
    pub cancelled: u64,
    /// Load orders that took effect.
    pub loads: u64,
    /// Load orders refused because of an outdated fencing number.
    pub refused_loads: u64,
    /// Requests computed while the engine was loading weights, or with the weights of two versions.
    pub answered_mixed: u64,
    /// The number of crashes.
    pub crashes: u64,
    /// The time of the last request received, in milliseconds since 1970.
    pub last_request_unix_ms: u64,
    /// The number of runs by request id; counting stops at `MAX_COUNTED_IDS` ids.
    pub runs: BTreeMap<String, u32>,
}

/// The maximum number of request ids whose runs are counted.
pub(crate) const MAX_COUNTED_IDS: usize = 100_000;
