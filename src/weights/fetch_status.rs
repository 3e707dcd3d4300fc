//! Counters of one fetch and the problem that blocks it.

use std::sync::Mutex;

use crate::weights::{fetch_context::ChunkSource, FetchCounts};

/// The counters and the current problem of one fetch, shared by its tasks and read by operators.
#[derive(Debug, Default)]
pub(crate) struct FetchStatus {
    counts: Mutex<FetchCounts>,
    problem: Mutex<Option<String>>,
}

impl FetchStatus {
    /// Returns the counters so far.
    pub(crate) fn counts(&self) -> FetchCounts {
        self.counts.lock().unwrap().clone()
    }

    /// Applies `change` to the counters.
    pub(crate) fn update_counts(&self, change: impl FnOnce(&mut FetchCounts)) {
        change(&mut self.counts.lock().unwrap());
    }

    /// Counts the bytes of a chunk received by a host in `own_region`, before they are verified.
    pub(crate) fn record_received(&self, source: &ChunkSource, n_bytes: u64, own_region: &str) {
        self.update_counts(|counts| match source {
            ChunkSource::Origin => counts.origin_bytes += n_bytes,
            ChunkSource::Peer(_, region) => {
                counts.peer_bytes += n_bytes;
                if region != own_region {
                    *counts.cross_region_bytes.entry(region.clone()).or_default() += n_bytes;
                }
            }
        });
    }

    /// Returns the problem that blocks the fetch, if any.
    pub(crate) fn problem(&self) -> Option<String> {
        self.problem.lock().unwrap().clone()
    }

    /// Sets or clears the problem that blocks the fetch.
    pub(crate) fn set_problem(&self, problem: Option<String>) {
        *self.problem.lock().unwrap() = problem;
    }
}
