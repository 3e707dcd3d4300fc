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
    began: Cell<Option<Instant>>,
    n_lines: Cell<u32>,
    n_left_out: Cell<u32>,
}

/// Whether a line is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineTurn {
    /// Write it; so many were left out in the window before.
    Write {
        /// Lines left out.
        n_left_out: u32,
    },
    /// Leave it out.
    LeaveOut,
}

impl RateLimit {
    /// Makes a limit of `max_lines` a second.
    pub fn new(max_lines: u32) -> RateLimit {
        RateLimit {
            max_lines,
            began: Cell::new(None),
            n_lines: Cell::new(0),
            n_left_out: Cell::new(0),
        }
    }

    /// Decides about one line at `now`.
    pub fn turn(&self, now: Instant) -> LineTurn {
        let is_over = self.began.get().is_none_or(|it| now.duration_since(it) >= WINDOW);
        if is_over {
            self.began.set(Some(now));
            self.n_lines.set(0);
        }
        if self.n_lines.get() >= self.max_lines {
            self.n_left_out.set(self.n_left_out.get() + 1);
            return LineTurn::LeaveOut;
        }
        self.n_lines.set(self.n_lines.get() + 1);
        let n_left_out = if is_over { self.n_left_out.take() } else { 0 };
        LineTurn::Write { n_left_out }
    }
}
