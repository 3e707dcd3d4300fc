//! Holds back log lines that say the same again and again.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time in which a line is logged once.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Lines remembered; when there are more, all are forgotten.
const MAX_REMEMBERED_LINES: usize = 512;

/// Remembers when each line was last logged.
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    lines: HashMap<String, LoggedLine>,
}

#[derive(Debug)]
struct LoggedLine {
    last_logged: Instant,
    n_suppressed: u64,
}

/// Whether a line is to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDecision {
    /// Log it; so many equal lines were held back since the last one.
    Log(u64),
    /// Hold it back.
    Suppress,
}

impl RepeatLimiter {
    /// Decides about `message` at `now`; the text after `error=` makes no difference.
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
