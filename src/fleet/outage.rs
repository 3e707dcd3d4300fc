//! One process asks a store that is away once for all its watches.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use event_listener::Event;
use futures_lite::FutureExt;

use crate::runtime;

/// First pause after a failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest wait for the watch that probes, in case it was dropped.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// The store's absence as all watches of a process see it.
#[derive(Clone, Debug)]
pub struct Outage {
    max_delay: Duration,
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    delay: RefCell<Duration>,
    is_probed: Cell<bool>,
    ended: Event,
    interrupted: Event,
}

impl Outage {
    /// Makes an outage that is not on; calls are at most `max_delay` apart while it is.
    pub fn new(max_delay: Duration) -> Outage {
        let delay = RefCell::new(FIRST_RETRY_DELAY);
        let shared = Shared {
            delay,
            is_probed: Cell::new(false),
            ended: Event::new(),
            interrupted: Event::new(),
        };
        Outage { max_delay, shared: Rc::new(shared) }
    }

    /// Waits after a failed call until the next try; only one watch tries while others wait.
    pub async fn wait(&self) {
        if self.shared.is_probed.get() {
            let ended = self.shared.ended.listen();
            return ended.or(runtime::sleep(MAX_WAIT)).await;
        }
        self.shared.is_probed.set(true);
        let delay = *self.shared.delay.borrow();
        *self.shared.delay.borrow_mut() = (delay * 2).min(self.max_delay);
        runtime::sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
        self.shared.is_probed.set(false);
    }

    /// Has all watches begin anew, after a gap that they did not see.
    pub fn interrupt(&self) {
        self.shared.interrupted.notify(usize::MAX);
    }

    /// Waits until the watches are to begin anew.
    pub async fn interrupted(&self) {
        self.shared.interrupted.listen().await;
    }

    /// Tells the other watches that the store answers.
    pub fn end(&self) {
        *self.shared.delay.borrow_mut() = FIRST_RETRY_DELAY;
        self.shared.ended.notify(usize::MAX);
    }
}
