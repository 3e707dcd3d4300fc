//! Counts of one fetch and the problem that holds it up.

use std::sync::Mutex;

use crate::weights::{fetch_context::ChunkSource, FetchCounts};

/// Shared by the tasks of one fetch.
#[derive(Debug, Default)]
pub(crate) struct FetchLog {
    counts: Mutex<FetchCounts>,
    problem: Mutex<Option<String>>,
}

impl FetchLog {
    /// The counts so far.
    pub(crate) fn counts(&self) -> FetchCounts {
        self.counts.lock().unwrap().clone()
    }

    /// Changes the counts.
    pub(crate) fn count(&self, change: impl FnOnce(&mut FetchCounts)) {
        change(&mut self.counts.lock().unwrap());
    }

    /// Counts bytes of a chunk, right or wrong, that came to a host in `own_region`.
    pub(crate) fn received(&self, source: &ChunkSource, n_bytes: u64, own_region: &str) {
        self.count(|counts| match source {
            ChunkSource::Origin => counts.origin_bytes += n_bytes,
            ChunkSource::Peer(_, region) => {
                counts.peer_bytes += n_bytes;
                if region != own_region {
                    *counts.cross_region_bytes.entry(region.clone()).or_default() += n_bytes;
                }
            }
        });
    }

    /// What holds the fetch up.
    pub(crate) fn problem(&self) -> Option<String> {
        self.problem.lock().unwrap().clone()
    }

    /// Sets or clears what holds the fetch up.
    pub(crate) fn set_problem(&self, problem: Option<String>) {
        *self.problem.lock().unwrap() = problem;
    }
}
