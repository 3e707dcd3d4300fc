//! A shared rate limit.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// Unused time that a bucket keeps at most.
const BURST: Duration = Duration::from_millis(20);

/// Gives out a rate to any number of tasks, in the order of their calls.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    next_free_at: Mutex<Instant>,
}

impl TokenBucket {
    pub(crate) fn new() -> TokenBucket {
        TokenBucket { next_free_at: Mutex::new(Instant::now()) }
    }

    /// Reserves `amount` at `rate` a second and gives the instant at which it may be used.
    pub(crate) fn reserve(&self, amount: u64, rate: u64, now: Instant) -> Instant {
        let mut next_free_at = self.next_free_at.lock().unwrap();
        let start = now.checked_sub(BURST).map_or(*next_free_at, |it| it.max(*next_free_at));
        *next_free_at = start + Duration::from_secs_f64(amount as f64 / rate.max(1) as f64);
        *next_free_at
    }

    /// Takes `amount` at `rate` a second if it is free now, with `burst` unused seconds kept.
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
