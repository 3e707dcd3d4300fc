//! Measures how long a new number takes to be in force on every host.

use std::{collections::VecDeque, time::Duration};

/// Numbers that are waited for at the same time at most; further ones count with the newest.
const MAX_PENDING: usize = 64;

/// Follows one rising number; times are since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Convergence {
    newest: u64,
    pending: VecDeque<Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u64,
    since: Duration,
}

impl Convergence {
    /// Whether a number is waited for once `newest` is known.
    pub fn is_waiting(&self, newest: u64) -> bool {
        newest > self.newest || !self.pending.is_empty()
    }

    /// Takes the number known here and the lowest_in_force one in force on any host at `now`.
    ///
    /// Gives the time that each number elapsed which is in force everywhere now, or which has been
    /// waited for longer than `limit`.
    pub fn observe(
        &mut self,
        now: Duration,
        newest: u64,
        lowest_in_force: u64,
        limit: Duration,
    ) -> Vec<Duration> {
        let is_first_number = self.newest == 0;
        if newest > self.newest {
            self.newest = newest;
            if !is_first_number && self.pending.len() < MAX_PENDING {
                self.pending.push_back(Pending { number: newest, since: now });
            }
        }
        let mut durations = Vec::new();
        while let Some(oldest) = self.pending.front() {
            let elapsed = now.saturating_sub(oldest.since);
            if oldest.number > lowest_in_force && elapsed <= limit {
                break;
            }
            durations.push(elapsed);
            self.pending.pop_front();
        }
        durations
    }
}
