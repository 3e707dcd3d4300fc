//! Counts over the last hours in a fixed number of time buckets.

use std::time::Duration;

use crate::report::{counts::Counts, windows::LONGEST_WINDOW};

/// Duration that one bucket covers.
const BUCKET_SPAN: Duration = Duration::from_secs(30);
/// Number of buckets: one more than the longest window needs, as the current bucket is incomplete.
const N_BUCKETS: usize = (LONGEST_WINDOW.as_secs() / BUCKET_SPAN.as_secs()) as usize + 1;

/// A ring buffer of counts per time bucket; its memory does not grow with the number of requests.
#[derive(Clone, Debug)]
pub struct CountRing {
    buckets: Vec<Counts>,
    /// Number of the newest bucket, counted from the start of the process.
    newest: u64,
}

impl Default for CountRing {
    fn default() -> CountRing {
        CountRing { buckets: vec![Counts::default(); N_BUCKETS], newest: 0 }
    }
}

impl CountRing {
    /// Adds `counts` at the time `now` since the start of the process; a time before the newest
    /// bucket is counted in the newest bucket.
    pub fn add(&mut self, now: Duration, counts: Counts) {
        self.advance(now);
        self.buckets[self.newest as usize % N_BUCKETS] += counts;
    }

    /// Returns the sum over the `window` that ends at `now`, rounded up to complete buckets.
    pub fn sum(&self, now: Duration, window: Duration) -> Counts {
        self.sum_buckets(bucket_at(now), n_buckets_in(window))
    }

    /// Returns the sums over `n_steps` consecutive spans of `step` each, oldest first; the last
    /// span ends at `now`.
    pub fn series(&self, now: Duration, step: Duration, n_steps: usize) -> Vec<Counts> {
        let buckets_per_step = n_buckets_in(step);
        let sum_at = |idx: usize| {
            let n_back = (n_steps - 1 - idx) as u64 * buckets_per_step;
            match bucket_at(now).checked_sub(n_back) {
                Some(last) => self.sum_buckets(last, buckets_per_step),
                None => Counts::default(),
            }
        };
        (0..n_steps).map(sum_at).collect()
    }

    /// Returns the sum of the `n_buckets` buckets that end with bucket number `last`.
    fn sum_buckets(&self, last: u64, n_buckets: u64) -> Counts {
        let oldest_stored = self.newest.saturating_sub(N_BUCKETS as u64 - 1);
        let first = (last + 1).saturating_sub(n_buckets).max(oldest_stored);
        let mut sum = Counts::default();
        for number in first..=last.min(self.newest) {
            sum += self.buckets[number as usize % N_BUCKETS];
        }
        sum
    }

    /// Makes the bucket of `now` the newest one and clears the buckets that are reused for it and
    /// for those skipped.
    fn advance(&mut self, now: Duration) {
        let bucket = bucket_at(now);
        if bucket <= self.newest {
            return;
        }
        let n_stale = (bucket - self.newest).min(N_BUCKETS as u64);
        for number in bucket + 1 - n_stale..=bucket {
            self.buckets[number as usize % N_BUCKETS] = Counts::default();
        }
        self.newest = bucket;
    }
}

fn bucket_at(now: Duration) -> u64 {
    now.as_secs() / BUCKET_SPAN.as_secs()
}

fn n_buckets_in(window: Duration) -> u64 {
    window.as_secs().div_ceil(BUCKET_SPAN.as_secs())
}
