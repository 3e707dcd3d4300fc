//! Retry pacing that all watches of a process share while the store is unavailable.
//!
//! Only one watch retries at a time, so the load on a recovering store does not grow with the
//! number of watches per process.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use event_listener::Event;
use futures_lite::FutureExt;

use crate::runtime;

/// Mean delay before the first retry; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum time for which a watch waits for the one that retries, as the task of that one may have
/// been dropped.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Retry state that all watches of a process share; clones refer to the same state.
#[derive(Clone, Debug)]
pub struct StoreRetry {
    max_delay: Duration,
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    delay: RefCell<Duration>,
    has_retry_in_progress: Cell<bool>,
    available: Event,
    restart: Event,
}

impl StoreRetry {
    /// Creates the state of a store that is available; the mean delay doubles with each retry up to
    /// `max_delay`.
    pub fn new(max_delay: Duration) -> StoreRetry {
        let delay = RefCell::new(FIRST_RETRY_DELAY);
        let shared = Shared {
            delay,
            has_retry_in_progress: Cell::new(false),
            available: Event::new(),
            restart: Event::new(),
        };
        StoreRetry { max_delay, shared: Rc::new(shared) }
    }

    /// Waits after a failed call until the caller should retry: one watch for the retry delay, the
    /// others until the store responds to it, for `MAX_WAIT` at most.
    pub async fn wait(&self) {
        if self.shared.has_retry_in_progress.get() {
            let available = self.shared.available.listen();
            return available.or(runtime::sleep(MAX_WAIT)).await;
        }
        self.shared.has_retry_in_progress.set(true);
        let delay = *self.shared.delay.borrow();
        *self.shared.delay.borrow_mut() = (delay * 2).min(self.max_delay);
        runtime::sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
        self.shared.has_retry_in_progress.set(false);
    }

    /// Restarts all watches, which may have missed changes without an error.
    pub fn restart_watches(&self) {
        self.shared.restart.notify(usize::MAX);
    }

    /// Waits until `restart_watches` is called.
    pub async fn wait_for_restart(&self) {
        self.shared.restart.listen().await;
    }

    /// Resets the delay and wakes the waiting watches, once the store responds.
    pub fn reset(&self) {
        *self.shared.delay.borrow_mut() = FIRST_RETRY_DELAY;
        self.shared.available.notify(usize::MAX);
    }
}
