//! The parts of a backend server's response head that the system uses.

use std::time::Duration;

use crate::{
    ids::{RequestId, WeightsVersion},
    relay::StatedLimit,
};

/// The information in a backend server's response head.
///
/// It determines whether the response can be used and whether the request may be retried.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Whether the backend server guarantees that the request did not run.
    pub is_not_run: bool,
    /// Whether another backend server than the intended one responded at the address.
    pub is_other_backend: bool,
    /// Whether the backend server leaves, so that it is to get no more requests.
    pub is_leaving: bool,
    /// Time for which the backend server, which refused the request, wants no more of this host.
    pub pause: Option<Duration>,
    /// What it says of a limit on the requests of all hosts to the backend server.
    pub limit: StatedLimit,
    /// Whether the response has the receipt header, which every backend server adds.
    pub has_receipt: bool,
    /// Whether the body has a content encoding, which makes the response unusable.
    pub is_encoded: bool,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Version of the weights that produced the response.
    pub version: Option<WeightsVersion>,
}
