//! What one response of a backend server says about its request limit.

use std::time::Instant;

use crate::{ids::BackendId, placement::RequestLimit};

/// What one response of a backend server says about its request limit.
///
/// A response states what held at some time between the begin of its request and its arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitStatement {
    /// The backend server.
    pub backend: BackendId,
    /// Start time of its process in milliseconds since the Unix epoch, by the entry that the request went
    /// by.
    pub started_ms: u64,
    /// The latest start that may have responded, as a new one may respond before its entry is known.
    pub latest_start_ms: u64,
    /// The limit; `None` if it names none.
    pub limit: Option<RequestLimit>,
    /// Time at which the request began.
    pub begun: Instant,
    /// Time at which the response arrived.
    pub arrived: Instant,
    /// Whether it arrived at this host.
    pub is_own: bool,
}
