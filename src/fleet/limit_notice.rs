//! The notice of a request limit that a backend server named.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{
    ids::BackendId,
    placement::{LimitStatement, RequestLimit},
};

/// Tells other entry hosts what a response said of the limit of a backend server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The backend server.
    pub backend: BackendId,
    /// Start time of its process in milliseconds since the Unix epoch, by its entry in the store.
    pub started_ms: u64,
    /// The latest start that may have responded.
    pub latest_start_ms: u64,
    /// The requests per second that it takes; `None` if it names no limit any more.
    pub max_requests_per_s: Option<f64>,
    /// Time since the request began.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub begun_ago: Duration,
    /// Time since the response arrived.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub arrived_ago: Duration,
}

impl LimitNotice {
    /// Creates the notice of a statement.
    pub fn new(statement: &LimitStatement, now: Instant) -> LimitNotice {
        LimitNotice {
            backend: statement.backend.clone(),
            started_ms: statement.started_ms,
            latest_start_ms: statement.latest_start_ms,
            max_requests_per_s: statement.limit.map(|it| it.max_requests_per_s()),
            begun_ago: now.saturating_duration_since(statement.begun),
            arrived_ago: now.saturating_duration_since(statement.arrived),
        }
    }

    /// Returns the statement, in a notice that may have waited unread for `max_delay`; `None` if the limit
    /// is no number.
    ///
    /// The request began at the earliest time that is possible, so that a looser limit, or none, counts only
    /// if it is certain to be newer than what this host knows.
    pub fn statement(&self, max_delay: Duration, now: Instant) -> Option<LimitStatement> {
        let limit = match self.max_requests_per_s {
            Some(max_requests_per_s) => Some(RequestLimit::per_second(max_requests_per_s)?),
            None => None,
        };
        let begun = now.checked_sub(self.begun_ago.saturating_add(max_delay))?;
        let arrived = now.checked_sub(self.arrived_ago)?;
        Some(LimitStatement {
            backend: self.backend.clone(),
            started_ms: self.started_ms,
            latest_start_ms: self.latest_start_ms,
            limit,
            begun,
            arrived,
            is_own: false,
        })
    }
}
