//! Names of the headers that the processes add to HTTP messages.

/// Id of the request, echoed at each hop.
pub(crate) const REQUEST_ID: &str = "X-Request-Id";
/// Whether the request ran.
pub(crate) const VERDICT: &str = "X-Verdict";
/// Version of the weights that computed the answer.
pub(crate) const VERSION: &str = "X-Version";
/// Switch number that the request was admitted under.
pub(crate) const SWITCH: &str = "X-Switch";
/// Customer of the request, between processes.
pub(crate) const CUSTOMER: &str = "X-Customer";
/// Time that the caller still waits, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "X-Deadline-Ms";
/// Proof that the sender holds the shared key.
pub(crate) const PROOF: &str = "X-Proof";
/// Priority that the engine honours.
pub(crate) const PRIORITY: &str = "X-Priority";
/// Key of a call that must take effect at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Time after which a refused request may be sent again, in seconds.
pub(crate) const RETRY_AFTER: &str = "Retry-After";
/// Requests that wait in the slot.
pub(crate) const LOAD_QUEUED: &str = "X-Load-Queued";
/// Requests in progress at the backend server.
pub(crate) const LOAD_RUNNING: &str = "X-Load-Running";
/// Wait that a new request must expect, in milliseconds.
pub(crate) const LOAD_WAIT_MS: &str = "X-Load-Wait-Ms";
/// Time that the request waited in the slot, in milliseconds.
pub(crate) const WAIT_MS: &str = "X-Wait-Ms";
/// Present when the request is suspected to crash backend servers and must run alone.
pub(crate) const SUSPECT: &str = "X-Suspect";
/// Present when a slot refused because it can't reach the platform; another slot can't help.
pub(crate) const PLATFORM_UNAVAILABLE: &str = "X-Platform-Out";
/// Present on a failure during which the backend server broke the connection.
pub(crate) const CRASHED: &str = "X-Crashed";
