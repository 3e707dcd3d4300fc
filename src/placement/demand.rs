//! What one request needs of an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendId, ServiceId},
    placement::{PartDigest, RegionConstraint, RequestAttempt, RequestClass},
};

/// Time for messages between the owner, the entry host and the engine, and for the engine's current step.
const START_MARGIN: Duration = Duration::from_millis(10);

/// The needs of one request that is to run at an engine of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Pool that the request is for.
    pub service: ServiceId,
    /// Model that the request names.
    pub model: Option<String>,
    /// The caller's attempt, by which a request that comes back after a refusal is recognized; `None` once
    /// an engine has got the request.
    pub attempt: Option<RequestAttempt>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The number of output tokens that its caller expects, or else its maximum; 0 if unknown.
    pub output_tokens: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Time left until its latency objective has passed.
    pub time_to_objective: Duration,
    /// Time left until its deadline.
    pub time_to_deadline: Duration,
    /// Regions in which it may be served.
    pub regions: RegionConstraint,
    /// Whether the caller already has the start of the response.
    pub is_resumed: bool,
    /// Engines that must not be chosen.
    pub excluded: Vec<BackendId>,
    /// Parts of the prompt that other requests may share.
    pub prompt_parts: Vec<PartDigest>,
    /// Those of them that are suspected of crashing engines.
    pub in_turn_parts: Vec<PartDigest>,
    /// The groups of requests that it belongs to.
    pub class: RequestClass,
    /// Expected time from its start at an engine until its first event.
    pub time_to_first_event: Duration,
    /// Time for which the request waits while all engines are full, in order of arrival.
    pub wait: Duration,
    /// Longest time for which it waits where requests are ranked, or if its class is served too seldom.
    pub max_wait: Duration,
}

impl Demand {
    /// Returns the longest time until the owner decides.
    pub fn longest_wait(&self) -> Duration {
        self.wait.max(self.max_wait)
    }

    /// Returns the time that it has left, after `waited`, until it must begin at an engine to be in time.
    pub fn slack_after(&self, waited: Duration) -> Duration {
        let needed = self.time_to_first_event.saturating_add(START_MARGIN).saturating_add(waited);
        self.time_to_objective.min(self.time_to_deadline).saturating_sub(needed)
    }

    /// Returns `true` if it may wait at all.
    pub fn may_wait(&self) -> bool {
        !self.longest_wait().is_zero()
    }
}
