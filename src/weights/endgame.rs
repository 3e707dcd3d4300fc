//! Further copies from the origin for hosts that lag.

use crate::charter::RolloutMode;

/// Counts the further chunks that one host took from the origin.
#[derive(Clone, Debug, Default)]
pub struct Endgame {
    n_taken: u32,
}

/// What an endgame may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndgameTerms {
    /// What the rollout favours.
    pub mode: RolloutMode,
    /// Copies that the origin sends at most.
    pub origin_copies: u32,
    /// Chunks of the weights.
    pub n_chunks: u32,
    /// Hosts that take part.
    pub n_hosts: u32,
}

impl Endgame {
    /// Whether the host may take a further chunk; all hosts together stay within the copies allowed.
    pub fn may_take(&self, terms: &EndgameTerms) -> bool {
        terms.mode == RolloutMode::TimeFirst && self.n_taken < share(terms)
    }

    /// Counts a chunk that was asked for.
    pub fn taken(&mut self) {
        self.n_taken += 1;
    }
}

/// Each host's equal share of the further copies; the first copy is not counted.
fn share(terms: &EndgameTerms) -> u32 {
    let further = u64::from(terms.origin_copies.saturating_sub(1));
    let share = further * u64::from(terms.n_chunks) / u64::from(terms.n_hosts.max(1));
    u32::try_from(share).unwrap_or(u32::MAX)
}
