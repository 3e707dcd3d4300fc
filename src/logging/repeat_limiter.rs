//! Holds back log lines that say the same again and again.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time in which a line is logged once.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Lines remembered; when there are more, all are forgotten.
const MAX_LINES: usize = 512;

/// Remembers when each line was last logged.
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    lines: HashMap<String, Logged>,
}

#[derive(Debug)]
struct Logged {
    at: Instant,
    n_held_back: u64,
}

/// Whether a line is to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admittance {
    /// Log it; so many equal lines were held back since the last one.
    Log(u64),
    /// Hold it back.
    HoldBack,
}

impl RepeatLimiter {
    /// Decides about `message` at `now`; the text after `error=` makes no difference.
    pub fn admit(&mut self, message: &str, now: Instant) -> Admittance {
        let key = message.split(" error=").next().unwrap_or(message);
        if let Some(logged) = self.lines.get_mut(key) {
            if now.duration_since(logged.at) < QUIET_TIME {
                logged.n_held_back += 1;
                return Admittance::HoldBack;
            }
            let n_held_back = std::mem::take(&mut logged.n_held_back);
            logged.at = now;
            return Admittance::Log(n_held_back);
        }
        if self.lines.len() >= MAX_LINES {
            self.lines.clear();
        }
        self.lines.insert(key.to_owned(), Logged { at: now, n_held_back: 0 });
        Admittance::Log(0)
    }
}
