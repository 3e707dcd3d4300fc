//! Additional copies from the origin for hosts that are slow to finish.

use crate::charter::RolloutMode;

/// Counts the additional chunk copies that one host requested from the origin.
///
/// When this host and its neighbours together have all chunks, it may also request those that it
/// lacks from the origin, so that it finishes sooner.
#[derive(Clone, Debug, Default)]
pub struct Endgame {
    n_copies: u32,
}

/// The limits for additional copies from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndgameLimits {
    /// The objective of the rollout.
    pub mode: RolloutMode,
    /// Maximum number of copies of the weights that the origin sends.
    pub origin_copies: u32,
    /// Number of chunks of the weights.
    pub n_chunks: u32,
    /// Number of participating hosts.
    pub n_hosts: u32,
}

impl Endgame {
    /// Returns `true` if the host may request one more copy; with equal shares, all hosts together
    /// stay within `origin_copies`.
    pub fn allows_copy(&self, limits: &EndgameLimits) -> bool {
        limits.mode == RolloutMode::TimeFirst && self.n_copies < host_share(limits)
    }

    /// Counts a requested copy.
    pub fn record_copy(&mut self) {
        self.n_copies += 1;
    }
}

/// Returns each host's equal share of the additional copies, which exclude the first copy.
fn host_share(limits: &EndgameLimits) -> u32 {
    let further = u64::from(limits.origin_copies.saturating_sub(1));
    let host_share = further * u64::from(limits.n_chunks) / u64::from(limits.n_hosts.max(1));
    u32::try_from(host_share).unwrap_or(u32::MAX)
}
