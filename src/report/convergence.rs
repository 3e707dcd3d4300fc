//! Measures how long a new number, such as a charter number, takes to be in force on every host.

use std::{collections::VecDeque, time::Duration};

/// Maximum number of pending measurements; further numbers are not measured.
const MAX_PENDING: usize = 64;

/// Measures the convergence of one increasing number; times are since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Convergence {
    newest: u64,
    pending: VecDeque<Pending>,
}

/// A number that is not in force on every host yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u64,
    since: Duration,
}

impl Convergence {
    /// Returns `true` if a measurement is pending or starts with `newest`, the newest known number.
    pub fn is_waiting(&self, newest: u64) -> bool {
        newest > self.newest || !self.pending.is_empty()
    }

    /// Records the newest known number and the lowest number in force on any host at `now`.
    ///
    /// Returns the elapsed times of the measurements that end now: their number is in force
    /// everywhere, or has been pending for longer than `limit`. The first number observed is not
    /// measured.
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
