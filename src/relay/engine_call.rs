//! Data that the system adds to a caller's request for a backend server.

use std::time::Duration;

use crate::ids::{BackendId, CustomerId, WeightsVersion};

/// The values of the headers that the system sets for one attempt.
///
/// A backend server other than the intended one, or with another version than the expected one,
/// refuses the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// Intended backend server; any other one refuses the request.
    pub backend: BackendId,
    /// Customer that the request belongs to.
    pub customer: Option<CustomerId>,
    /// Version that the engine must have; `None` if any version will do.
    pub expected_version: Option<WeightsVersion>,
    /// Remaining time for the request.
    pub time_left: Duration,
    /// Id of the event after which a stream resumes.
    pub last_event: Option<String>,
    /// Length of the request body.
    pub body_bytes: usize,
}
