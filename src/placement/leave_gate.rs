//! Whether a leaving entry host still takes a request.
//!
//! Answers to: planned stops under load, when callers go on using connections to a host that is to
//! end. A request that can't be finished in time is refused while it is known not to have run.

use std::time::Duration;

/// Share of a request's time limit that must be left for it.
const NEEDED_SHARE: f64 = 0.8;

/// Whether a request with `time_limit` can be finished in the time that is `left` to the process.
pub fn may_take(left: Duration, time_limit: Duration) -> bool {
    left >= time_limit.mul_f64(NEEDED_SHARE)
}
