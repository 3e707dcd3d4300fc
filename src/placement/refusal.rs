//! Why a request got no capacity where requests are ranked.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The refusal of a request, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What decided it.
    pub cause: RefusalCause,
    /// Rank of the request.
    pub rank: u32,
    /// Time for which it waited.
    pub waited: Duration,
    /// Time until there may be room.
    pub room_in: Duration,
}

/// What decided that a request got no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// No engine was free while it could still reach its latency objective.
    WaitEnded,
    /// By what was served lately, its turn would come too late.
    ExpectedWait,
    /// More requests waited than the engines can serve soon, and it was the last of them.
    QueueFull,
    /// It came back after a refusal, too late for its latency objective, and no engine was idle.
    LateReturn,
}

impl RefusalCause {
    /// Returns the name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalCause::WaitEnded => "wait-ended",
            RefusalCause::ExpectedWait => "expected-wait",
            RefusalCause::QueueFull => "queue-full",
            RefusalCause::LateReturn => "late-return",
        }
    }
}
