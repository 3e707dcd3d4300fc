//! How one request ended, as an entry host saw it.

use std::time::Duration;

use crate::{
    ids::{CustomerId, HostId, PoolId, RequestId},
    verdict::Verdict,
};

/// The end of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    pub first_token: Option<Duration>,
    /// Time that the request waited before it went to a backend server.
    pub wait: Duration,
    /// Whether the answer came from the intended version.
    pub version_is_intended: bool,
}
