//! The parts of a backend server's response head that the system uses.

use crate::ids::{RequestId, WeightsVersion};

/// Information from the head of a response.
///
/// It shows whether the response can be used, or whether the request may be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Id of the request that it belongs to.
    pub request_id: Option<RequestId>,
    /// Whether the backend server guarantees that the request did not run.
    pub is_not_run: bool,
    /// Whether another backend server than the intended one responded at the address.
    pub is_other_backend: bool,
    /// Whether it has the receipt header of a backend server.
    pub has_receipt: bool,
    /// Whether the body has a content encoding, which no request asks for.
    pub is_encoded: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Version of the weights that produced the response.
    pub version: Option<WeightsVersion>,
}
