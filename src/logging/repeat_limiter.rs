//! Suppresses repeated log lines.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The minimum interval between two logged lines with the same text.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of remembered lines; all are removed when it is reached.
const MAX_REMEMBERED_LINES: usize = 512;

/// Remembers when each line was last logged, so that a fault that repeats does not flood the log.
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    lines: HashMap<String, LoggedLine>,
}

#[derive(Debug)]
struct LoggedLine {
    last_logged: Instant,
    n_suppressed: u64,
}

/// The decision about one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDecision {
    /// Log the line; the number is that of equal lines suppressed since it was last logged.
    Log(u64),
    /// Suppress the line.
    Suppress,
}

impl RepeatLimiter {
    /// Decides about `message` at time `now`; the text after `error=` is not compared.
    pub fn decide(&mut self, message: &str, now: Instant) -> RepeatDecision {
        let key = message.split(" error=").next().unwrap_or(message);
        if let Some(logged) = self.lines.get_mut(key) {
            if now.duration_since(logged.last_logged) < REPEAT_INTERVAL {
                logged.n_suppressed += 1;
                return RepeatDecision::Suppress;
            }
            let n_suppressed = std::mem::take(&mut logged.n_suppressed);
            logged.last_logged = now;
            return RepeatDecision::Log(n_suppressed);
        }
        if self.lines.len() >= MAX_REMEMBERED_LINES {
            self.lines.clear();
        }
        self.lines.insert(key.to_owned(), LoggedLine { last_logged: now, n_suppressed: 0 });
        RepeatDecision::Log(0)
    }
}
