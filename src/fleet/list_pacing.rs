//! Paces the lists of one kind, so that no reason to list again leads to a storm of calls.

use std::time::{Duration, Instant};

/// Number of lists that may follow each other without a pause, as after an outage.
const MAX_BURST: u32 = 3;
/// Interval of further lists.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Decides how long a process waits before it lists a kind again: a few lists may follow each other,
/// further ones only at intervals.
///
/// Load pattern: a source whose lists or histories are refused again and again, for each kind of
/// each process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListPacing {
    /// The time at which the process could have sent all lists so far at even intervals.
    sent_until: Option<Instant>,
}

impl ListPacing {
    /// Returns the time to wait before the next list.
    pub fn delay(&self, now: Instant) -> Duration {
        let burst = LIST_INTERVAL * (MAX_BURST - 1);
        self.sent_until.map_or(Duration::ZERO, |it| it.saturating_duration_since(now + burst))
    }

    /// Records a list that was sent.
    pub fn record(&mut self, now: Instant) {
        self.sent_until = Some(self.sent_until.map_or(now, |it| it.max(now)) + LIST_INTERVAL);
    }
}
