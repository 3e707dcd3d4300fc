//! How one request ended, as an entry host saw it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{
    ids::{CustomerId, HostId, PoolId, RequestId},
    verdict::Verdict,
};

/// The end of one request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// The request.
    pub request_id: RequestId,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The customer.
    pub customer: CustomerId,
    /// The pool or service that was asked.
    pub pool: PoolId,
    /// Backend server host that the request was last sent to.
    pub host: Option<HostId>,
    /// Whether the caller got its whole answer.
    pub is_answered: bool,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time from the request's arrival to the first byte of its answer.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub first_token_ms: Option<Duration>,
    /// Time that the request waited before it went to a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait_ms: Duration,
    /// Whether the answer came from the intended version.
    pub version_is_intended: bool,
}
