//! A rate limit that several tasks share.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// The maximum unused time that a bucket accumulates.
const BURST: Duration = Duration::from_millis(20);

/// A rate limit for any number of tasks, which are served in the order of their calls.
///
/// The rate is passed with each call because it can change at any time.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    next_free_at: Mutex<Instant>,
}

impl TokenBucket {
    pub(crate) fn new() -> TokenBucket {
        TokenBucket { next_free_at: Mutex::new(Instant::now()) }
    }

    /// Reserves `amount` at `rate` per second and returns the instant from which it may be used.
    pub(crate) fn reserve(&self, amount: u64, rate: u64, now: Instant) -> Instant {
        let mut next_free_at = self.next_free_at.lock().unwrap();
        let start = now.checked_sub(BURST).map_or(*next_free_at, |it| it.max(*next_free_at));
        *next_free_at = start + Duration::from_secs_f64(amount as f64 / rate.max(1) as f64);
        *next_free_at
    }

    /// Takes `amount` at `rate` per second if it is available now, and returns `true` if it was.
    pub(crate) fn try_acquire(&self, amount: u64, rate: u64, now: Instant) -> bool {
        let mut next_free_at = self.next_free_at.lock().unwrap();
        if *next_free_at > now {
            return false;
        }
        let start = now.checked_sub(BURST).map_or(*next_free_at, |it| it.max(*next_free_at));
        *next_free_at = start + Duration::from_secs_f64(amount as f64 / rate.max(1) as f64);
        true
    }
}
