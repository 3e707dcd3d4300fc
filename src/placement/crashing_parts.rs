//! Detects parts of prompts that crash engines.

use std::time::Instant;

use crate::placement::{PartCrash, PartDigest, QuarantinedPart};

/// The parts of prompts that this host suspects of crashing engines, and those in quarantine.
#[derive(Clone, Debug, Default)]
pub struct CrashingParts {}

impl CrashingParts {
    /// Records a crash; returns the parts that this quarantines.
    pub fn record_crash(&mut self, _crash: &PartCrash, _now: Instant) -> Vec<QuarantinedPart> {
        Vec::new()
    }

    /// Clears suspects; returns those of which the other hosts should hear.
    pub fn clear(&mut self, _parts: &[PartDigest], _now: Instant) -> Vec<PartDigest> {
        Vec::new()
    }

    /// Returns the part for which a request with these parts is refused.
    pub fn find_quarantined(
        &self,
        _parts: &[PartDigest],
        _now: Instant,
    ) -> Option<QuarantinedPart> {
        None
    }

    /// Returns the parts in quarantine for a beacon, the most recent first.
    pub fn quarantined(&self, _now: Instant) -> Vec<QuarantinedPart> {
        Vec::new()
    }

    /// Adds what another host reports; returns what is new here.
    pub fn merge(&mut self, _reported: &[QuarantinedPart], _now: Instant) -> Vec<QuarantinedPart> {
        Vec::new()
    }
}
