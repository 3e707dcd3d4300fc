//! Counts of requests or events within one span of time.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// The number of requests that met a service level, and of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that met the level.
    pub good: u64,
    /// All requests.
    pub total: u64,
    /// Sum of the waits of all requests; 0 for levels other than equal wait.
    pub wait_ms: u64,
}

impl Counts {
    /// Returns the number of requests that missed the level.
    pub fn bad(&self) -> u64 {
        self.total - self.good
    }

    /// Returns the mean wait of a request; `None` without requests.
    pub fn mean_wait_ms(&self) -> Option<f64> {
        (self.total > 0).then(|| self.wait_ms as f64 / self.total as f64)
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.good += other.good;
        self.total += other.total;
        self.wait_ms += other.wait_ms;
    }
}
