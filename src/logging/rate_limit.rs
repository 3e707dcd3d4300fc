//! Bounds the number of lines of one kind in a second.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Admits so many lines in each second and counts the others.
#[derive(Debug)]
pub struct RateLimit {
    max_lines: u32,
    window_start: Cell<Option<Instant>>,
    n_lines: Cell<u32>,
    n_dropped: Cell<u32>,
}

/// Whether a line is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// Write it; so many were left out in the window before.
    Write {
        /// Lines left out.
        n_dropped: u32,
    },
    /// Leave it out.
    Drop,
}

impl RateLimit {
    /// Makes a limit of `max_lines` a second.
    pub fn new(max_lines: u32) -> RateLimit {
        RateLimit {
            max_lines,
            window_start: Cell::new(None),
            n_lines: Cell::new(0),
            n_dropped: Cell::new(0),
        }
    }

    /// Decides about one line at `now`.
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
