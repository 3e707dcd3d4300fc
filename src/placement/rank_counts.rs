//! Counts the decisions on requests by rank.

use std::{collections::BTreeMap, time::Duration};

/// Ranks from here on are counted together.
const MAX_RANK: u32 = 99;

/// The decisions on first attempts of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankCounts {
    /// The number of requests for which capacity was reserved.
    pub n_served: u64,
    /// The number of requests that waited in vain, or would have.
    pub n_refused: u64,
    /// The number of requests that wait now.
    pub n_waiting: u64,
    /// Sum of the times that requests had left, when capacity was reserved, until they had to begin.
    pub total_slack: Duration,
}

/// The decisions on first attempts by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct CountsByRank {
    by_rank: BTreeMap<u32, RankCounts>,
}

impl CountsByRank {
    /// Records that capacity was reserved for a request that had `slack` left.
    pub(crate) fn record_served(&mut self, rank: u32, slack: Duration) {
        let counts = self.of(rank);
        counts.n_served += 1;
        // A request may state any time.
        counts.total_slack = counts.total_slack.saturating_add(slack);
    }

    /// Records a refusal.
    pub(crate) fn record_refused(&mut self, rank: u32) {
        self.of(rank).n_refused += 1;
    }

    /// Returns the counts by rank; `waiting` are the ranks of the waiting requests.
    pub(crate) fn with_waiting(
        &self,
        waiting: impl Iterator<Item = u32>,
    ) -> BTreeMap<u32, RankCounts> {
        let mut counts = self.clone();
        waiting.for_each(|it| counts.of(it).n_waiting += 1);
        counts.by_rank
    }

    fn of(&mut self, rank: u32) -> &mut RankCounts {
        self.by_rank.entry(rank.min(MAX_RANK)).or_default()
    }
}
