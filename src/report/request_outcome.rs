//! The outcome of one request, as recorded by an entry host.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{
    ids::{CustomerId, HostId, PoolId, RequestId},
    verdict::Verdict,
};

/// The outcome of one request: who sent it, where it was sent, and how it ended.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// Id of the request.
    pub request_id: RequestId,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The customer.
    pub customer: CustomerId,
    /// The pool or service that was requested.
    pub pool: PoolId,
    /// Backend server host that the request was last sent to.
    pub host: Option<HostId>,
    /// Whether the caller received the complete answer.
    pub is_answered: bool,
    /// Whether the request ran, did not run or may have run.
    pub verdict: Verdict,
    /// Time from the arrival of the request to the first byte of the answer.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub first_token_ms: Option<Duration>,
    /// Time that the request waited before it was sent to a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait_ms: Duration,
    /// Whether the answer was computed by the intended version.
    pub version_is_intended: bool,
}
