//! What the system goes by in a backend server's answer.

use crate::ids::{RequestId, WeightsVersion};

/// Facts from the head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Id of the request that it answers.
    pub request_id: Option<RequestId>,
    /// Whether the backend server promises that the request did not run.
    pub is_not_run: bool,
    /// Whether the address belongs to another backend server than was meant.
    pub is_other_backend: bool,
    /// Whether it bears the receipt of a backend server.
    pub has_receipt: bool,
    /// Whether the body is encoded, which nobody asked for.
    pub is_encoded: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Version of the weights that answer.
    pub version: Option<WeightsVersion>,
}
