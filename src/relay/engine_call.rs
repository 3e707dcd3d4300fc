//! What the system tells a backend server beside the caller's own bytes.

use std::time::Duration;

use crate::ids::{BackendId, CustomerId, WeightsVersion};

/// Conditions and marks of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// The backend server that is meant; another one refuses the request.
    pub backend: BackendId,
    /// The customer who asks.
    pub customer: Option<CustomerId>,
    /// Version that the engine must have; any if absent.
    pub expected_version: Option<WeightsVersion>,
    /// Time that is left for the request.
    pub time_left: Duration,
    /// Event after which a stream goes on.
    pub last_event: Option<String>,
    /// Length of the request's body.
    pub body_bytes: usize,
}
