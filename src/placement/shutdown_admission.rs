//! Decides whether an entry host that shuts down still accepts a request.
//!
//! During a planned stop under load, callers keep using their connections to a host that is about
//! to exit. A request that may not finish in time is refused while it is certain that it has not
//! run: an accepted one that the exit cuts is lost to a caller that may not repeat it.

use std::time::Duration;

/// Time beyond its timeout that a request may take until its response is written.
const END_MARGIN: Duration = Duration::from_millis(150);

/// Returns `true` if a request that takes all of its `timeout` finishes before the process exits in
/// `time_to_exit`.
pub fn can_finish_before_exit(time_to_exit: Duration, timeout: Duration) -> bool {
    time_to_exit >= timeout + END_MARGIN
}
