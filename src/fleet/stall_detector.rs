//! Detects that this process did not run for a while, so that messages waited unread.

use std::time::{Duration, Instant};

/// Interval at which turns must be recorded.
pub const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two turns above which the process was stalled: suspended, or without processor
/// time.
const MIN_STALL: Duration = Duration::from_millis(200);
/// Time after a stall within which the messages that waited meanwhile are read.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// The latest stalls of a process.
///
/// A message that arrived during the stall looks new when it is read. Its age matters where a
/// deadline counts from the moment at which it was sent. All times are those of `clock::now`.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_turn: Instant,
    /// Stalls after which the process may still be catching up, oldest first.
    stalls: Vec<Stall>,
}

#[derive(Clone, Copy, Debug)]
struct Stall {
    began: Instant,
    catch_up_until: Instant,
}

impl StallDetector {
    /// Creates a detector of a process that runs now.
    pub fn new(now: Instant) -> StallDetector {
        StallDetector { last_turn: now, stalls: Vec::new() }
    }

    /// Records that the process runs. Call this every `TURN_INTERVAL`.
    pub fn record_turn(&mut self, now: Instant) {
        let began = std::mem::replace(&mut self.last_turn, now);
        let length = now.duration_since(began);
        if length < MIN_STALL {
            return;
        }
        self.stalls.retain(|it| began < it.catch_up_until);
        // Nothing was caught up on during this stall.
        self.stalls.iter_mut().for_each(|it| it.catch_up_until += length);
        self.stalls.push(Stall { began, catch_up_until: now + CATCH_UP_TIME });
    }

    /// Returns the longest time for which a message that is read now may have waited unread.
    pub fn max_delay(&mut self, now: Instant) -> Duration {
        self.record_turn(now);
        let recent = self.stalls.iter().find(|it| now < it.catch_up_until);
        recent.map_or(Duration::ZERO, |it| now.duration_since(it.began))
    }
}
