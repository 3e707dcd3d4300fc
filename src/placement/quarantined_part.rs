//! A part of prompts whose requests are refused.

use serde::{Deserialize, Serialize};

use crate::placement::PartDigest;

/// A part of prompts that crashes engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartDigest,
    /// Crashes one after the other: each of a request that was sent after the crash before.
    pub n_crashes: u32,
    /// Distinct engines that crashed.
    pub n_engines: u32,
    /// Time since the start of the quarantine, in milliseconds.
    pub age_ms: u64,
    /// Quarantines of this part so far; each lasts twice as long as the one before, up to a maximum.
    pub n_quarantines: u32,
}
