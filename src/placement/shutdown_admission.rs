//! Decides whether an entry host that shuts down still accepts a request.
//!
//! During a planned stop under load, callers keep using their connections to a host that is about
//! to exit. A request that cannot finish in time is refused while it is certain that it has not
//! run.

use std::time::Duration;

/// Share of a request's timeout that must remain before the process exits.
const MIN_REMAINING_SHARE: f64 = 0.8;

/// Returns `true` if a request with this timeout can finish before the process exits in
/// `time_to_exit`.
pub fn can_finish_before_exit(time_to_exit: Duration, timeout: Duration) -> bool {
    time_to_exit >= timeout.mul_f64(MIN_REMAINING_SHARE)
}
