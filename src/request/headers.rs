//! Names of the HTTP headers of requests and responses between callers, entry hosts and slots.

/// Id of the request, echoed at each hop.
pub(crate) const REQUEST_ID: &str = "X-Request-Id";
/// Verdict: whether the request ran.
pub(crate) const VERDICT: &str = "X-Verdict";
/// Version of the weights that computed the response.
pub(crate) const VERSION: &str = "X-Version";
/// Switch number that the request is admitted under, or that of the slot that refused it.
pub(crate) const SWITCH: &str = "X-Switch";
/// Customer of the request; sent by entry hosts to slots.
pub(crate) const CUSTOMER: &str = "X-Customer";
/// Time until the caller's deadline, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "X-Deadline-Ms";
/// Proof that the sender has the shared peer key: a keyed hash of the request id.
pub(crate) const PROOF: &str = "X-Proof";
/// Priority of the request at the engine.
pub(crate) const PRIORITY: &str = "X-Priority";
/// Idempotency key of a call that must take effect at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Time after which a refused request may be sent again, in seconds.
pub(crate) const RETRY_AFTER: &str = "Retry-After";
/// Number of requests queued in the slot.
pub(crate) const LOAD_QUEUED: &str = "X-Load-Queued";
/// Number of requests in progress at the backend server.
pub(crate) const LOAD_RUNNING: &str = "X-Load-Running";
/// Expected queue time of a new request at the slot, in milliseconds.
pub(crate) const LOAD_WAIT_MS: &str = "X-Load-Wait-Ms";
/// Time that the request was queued in the slot, in milliseconds.
pub(crate) const WAIT_MS: &str = "X-Wait-Ms";
/// Present if the request is suspected of crashing backend servers and must run alone.
pub(crate) const SUSPECT: &str = "X-Suspect";
/// Present if a slot refused the request because the platform is unavailable; a retry at another
/// slot would fail in the same way.
pub(crate) const PLATFORM_UNAVAILABLE: &str = "X-Platform-Out";
/// Present on a failure for which the backend server broke the connection.
pub(crate) const CRASHED: &str = "X-Crashed";
