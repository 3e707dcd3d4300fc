//! Counts of the last hours in a fixed number of slots.

use std::time::Duration;

use crate::report::{counts::Counts, windows::LONGEST_WINDOW};

/// Span of one slot.
const SLOT: Duration = Duration::from_secs(30);
/// Slots of the ring; one more than the longest window needs, as the current one is not full.
const SLOTS: usize = (LONGEST_WINDOW.as_secs() / SLOT.as_secs()) as usize + 1;

/// Counts in slots of time; the memory does not grow with the requests.
#[derive(Clone, Debug)]
pub struct CountRing {
    slots: Vec<Counts>,
    /// Number of the newest slot since the start.
    newest: u64,
}

impl Default for CountRing {
    fn default() -> CountRing {
        CountRing { slots: vec![Counts::default(); SLOTS], newest: 0 }
    }
}

impl CountRing {
    /// Adds `counts` at the time `now` since the start; a time before the newest slot counts there.
    pub fn add(&mut self, now: Duration, counts: Counts) {
        self.advance(now);
        self.slots[self.newest as usize % SLOTS] += counts;
    }

    /// The sum over the `window` that ends at `now`, rounded up to whole slots.
    pub fn sum(&self, now: Duration, window: Duration) -> Counts {
        self.sum_slots(slot_of(now), slots_in(window))
    }

    /// The sums over `n_steps` spans of `step` each, oldest first; the last one ends at `now`.
    pub fn series(&self, now: Duration, step: Duration, n_steps: usize) -> Vec<Counts> {
        let slots_a_step = slots_in(step);
        let sum_at = |idx: usize| {
            let back = (n_steps - 1 - idx) as u64 * slots_a_step;
            match slot_of(now).checked_sub(back) {
                Some(last) => self.sum_slots(last, slots_a_step),
                None => Counts::default(),
            }
        };
        (0..n_steps).map(sum_at).collect()
    }

    /// Sums `n` slots that end with the slot number `last`.
    fn sum_slots(&self, last: u64, n: u64) -> Counts {
        let oldest_held = self.newest.saturating_sub(SLOTS as u64 - 1);
        let first = (last + 1).saturating_sub(n).max(oldest_held);
        let mut sum = Counts::default();
        for number in first..=last.min(self.newest) {
            sum += self.slots[number as usize % SLOTS];
        }
        sum
    }

    /// Empties the slots between the newest one and `now`.
    fn advance(&mut self, now: Duration) {
        let slot = slot_of(now);
        if slot <= self.newest {
            return;
        }
        let n_stale = (slot - self.newest).min(SLOTS as u64);
        for number in slot + 1 - n_stale..=slot {
            self.slots[number as usize % SLOTS] = Counts::default();
        }
        self.newest = slot;
    }
}

fn slot_of(now: Duration) -> u64 {
    now.as_secs() / SLOT.as_secs()
}

fn slots_in(window: Duration) -> u64 {
    window.as_secs().div_ceil(SLOT.as_secs())
}
