//! The time since the start of the machine, including the time for which it was suspended.
//!
//! `Instant::now` stands still while a machine is suspended, so it can't measure a time limit that
//! others measure too.

use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId, Timespec};

/// Returns the current time, to be compared only with other results of this function.
pub fn now() -> Instant {
    Instant::now() + suspended_time()
}

/// Returns the time that has passed since `earlier`, a result of `now`.
pub fn elapsed(earlier: Instant) -> Duration {
    now().saturating_duration_since(earlier)
}

/// Returns the total time for which the machine was suspended since its start.
fn suspended_time() -> Duration {
    let running = clock_gettime(ClockId::Monotonic);
    let total = clock_gettime(ClockId::Boottime);
    duration(total).saturating_sub(duration(running))
}

fn duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
