//! The planned end of an entry host process: when it began to leave and when it exits.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use event_listener::Event;

use crate::runtime;

/// Time before the end of the grace period at which a leaving process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The planned end of this process, which begins with a stop signal.
pub(crate) struct Departure {
    grace: Duration,
    since: Cell<Option<Instant>>,
    begun: Event,
}

impl Departure {
    /// Creates the state of a process that serves, and is killed `grace` after a stop signal.
    pub(crate) fn new(grace: Duration) -> Departure {
        Departure { grace, since: Cell::new(None), begun: Event::new() }
    }

    /// Records that the process begins to leave.
    pub(crate) fn begin(&self) {
        self.since.set(Some(Instant::now()));
        self.begun.notify(usize::MAX);
    }

    /// Returns when the process began to leave, or `None` while it serves.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since.get()
    }

    /// Returns the time until a leaving process exits, or `None` while it serves.
    pub(crate) fn time_until_exit(&self) -> Option<Duration> {
        let since = self.since.get()?;
        Some(self.grace.saturating_sub(EXIT_MARGIN).saturating_sub(since.elapsed()))
    }

    /// Returns once the process is leaving and exits within `margin`.
    pub(crate) async fn pass_time_before_exit(&self, margin: Duration) {
        let begun = self.begun.listen();
        if self.since.get().is_none() {
            begun.await;
        }
        let time_left = self.time_until_exit().unwrap_or_default();
        runtime::sleep(time_left.saturating_sub(margin)).await;
    }
}
