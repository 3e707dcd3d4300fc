//! Limits the number of log lines of one kind per second.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// The length of a window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A limit of the number of lines per window; it counts the lines that exceed the limit.
#[derive(Debug)]
pub struct RateLimit {
    max_lines: u32,
    window_start: Cell<Option<Instant>>,
    n_lines: Cell<u32>,
    n_dropped: Cell<u32>,
}

/// The decision about one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// Write the line.
    Write {
        /// The number of lines dropped since the first line of the previous window; 0 for all but the
        /// first line of a window.
        n_dropped: u32,
    },
    /// Drop the line.
    Drop,
}

impl RateLimit {
    /// Creates a limit of `max_lines` per second.
    pub fn new(max_lines: u32) -> RateLimit {
        RateLimit {
            max_lines,
            window_start: Cell::new(None),
            n_lines: Cell::new(0),
            n_dropped: Cell::new(0),
        }
    }

    /// Decides about one line at time `now`.
    pub fn decide(&self, now: Instant) -> LineDecision {
        let is_over = self.window_start.get().is_none_or(|it| now.duration_since(it) >= WINDOW);
        if is_over {
            self.window_start.set(Some(now));
            self.n_lines.set(0);
        }
        if self.n_lines.get() >= self.max_lines {
            self.n_dropped.set(self.n_dropped.get() + 1);
            return LineDecision::Drop;
        }
        self.n_lines.set(self.n_lines.get() + 1);
        let n_dropped = if is_over { self.n_dropped.take() } else { 0 };
        LineDecision::Write { n_dropped }
    }
}
