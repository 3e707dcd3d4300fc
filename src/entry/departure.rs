//! The planned end of an entry host process: when it began to leave and when it exits.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use event_listener::Event;
use futures_lite::FutureExt;

use crate::runtime;

/// Time before the end of the grace period at which a leaving process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time for which a process whose requests have all ended still answers, before it exits early; no less
/// than the margin in which requests that have not arrived completely are refused.
const EARLY_EXIT_NOTICE: Duration = Duration::from_millis(600);

/// The planned end of this process, which begins with a stop signal.
pub(crate) struct Departure {
    grace: Duration,
    since: Cell<Option<Instant>>,
    exit_at: Cell<Option<Instant>>,
    /// Notified when the time of the exit changes.
    changed: Event,
}

impl Departure {
    /// Creates the state of a process that serves, and is killed `grace` after a stop signal.
    pub(crate) fn new(grace: Duration) -> Departure {
        Departure { grace, since: Cell::new(None), exit_at: Cell::new(None), changed: Event::new() }
    }

    /// Records that the process begins to leave.
    pub(crate) fn begin(&self) {
        let now = Instant::now();
        self.since.set(Some(now));
        self.set_exit(now + self.grace.saturating_sub(EXIT_MARGIN));
    }

    /// Brings the exit of a leaving process forward, as it has no request in progress. Requests that
    /// arrive until then are refused, unless they end in time.
    pub(crate) fn exit_early(&self) {
        let Some(exit_at) = self.exit_at.get() else { return };
        self.set_exit(exit_at.min(Instant::now() + EARLY_EXIT_NOTICE));
    }

    /// Returns when the process began to leave, or `None` while it serves.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since.get()
    }

    /// Returns the time until a leaving process exits, or `None` while it serves.
    pub(crate) fn time_until_exit(&self) -> Option<Duration> {
        Some(self.exit_at.get()?.saturating_duration_since(Instant::now()))
    }

    /// Returns once the process is leaving and exits within `margin`.
    pub(crate) async fn wait_until_before_exit(&self, margin: Duration) {
        loop {
            let changed = self.changed.listen();
            let Some(time_until_exit) = self.time_until_exit() else {
                changed.await;
                continue;
            };
            let time_left = time_until_exit.saturating_sub(margin);
            if time_left.is_zero() {
                return;
            }
            changed.or(runtime::sleep(time_left)).await;
        }
    }

    fn set_exit(&self, exit_at: Instant) {
        self.exit_at.set(Some(exit_at));
        self.changed.notify(usize::MAX);
    }
}
