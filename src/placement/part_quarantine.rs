//! The quarantine of a part of prompts.

use std::time::{Duration, Instant};

use crate::placement::{PartDigest, QuarantinedPart};

/// Time of the first quarantine of a part.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10 * 60);
/// Maximum time of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(2 * 60 * 60);
/// Time after its end for which a quarantine is remembered.
const MEMORY_TIME: Duration = MAX_QUARANTINE;

/// A quarantine of a part of prompts, in force until its end and remembered for some time.
#[derive(Clone, Debug)]
pub(crate) struct PartQuarantine {
    pub(crate) n_quarantines: u32,
    pub(crate) n_crashes: u32,
    pub(crate) n_engines: u32,
    // The end rather than the start, since an instant cannot be before the start of the machine.
    until: Instant,
}

impl PartQuarantine {
    pub(crate) fn new(
        n_quarantines: u32,
        n_crashes: u32,
        n_engines: u32,
        now: Instant,
    ) -> PartQuarantine {
        PartQuarantine {
            n_quarantines,
            n_crashes,
            n_engines,
            until: now + quarantine_time(n_quarantines),
        }
    }

    /// Returns the quarantine that another host reports if it is still in force.
    pub(crate) fn from_report(reported: &QuarantinedPart, now: Instant) -> Option<PartQuarantine> {
        let time = quarantine_time(reported.n_quarantines);
        let remaining = time.checked_sub(Duration::from_millis(reported.age_ms))?;
        let is_in_force = !remaining.is_zero();
        is_in_force.then(|| PartQuarantine {
            n_quarantines: reported.n_quarantines,
            n_crashes: reported.n_crashes,
            n_engines: reported.n_engines,
            until: now + remaining,
        })
    }

    /// Takes over what another host knows: a later quarantine, or the earlier end of the same one.
    pub(crate) fn merge(&mut self, other: PartQuarantine) {
        if other.n_quarantines > self.n_quarantines {
            *self = other;
        } else if other.n_quarantines == self.n_quarantines {
            self.until = self.until.min(other.until);
        }
    }

    pub(crate) fn is_in_force(&self, now: Instant) -> bool {
        now < self.until
    }

    pub(crate) fn is_remembered(&self, now: Instant) -> bool {
        now < self.until + MEMORY_TIME
    }

    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    /// Returns the quarantined part for reports to other hosts and to operators.
    pub(crate) fn report(&self, part: PartDigest, now: Instant) -> QuarantinedPart {
        let remaining = self.until.saturating_duration_since(now);
        let age = quarantine_time(self.n_quarantines).saturating_sub(remaining);
        QuarantinedPart {
            part,
            n_crashes: self.n_crashes,
            n_engines: self.n_engines,
            age_ms: age.as_millis() as u64,
            n_quarantines: self.n_quarantines,
        }
    }
}

fn quarantine_time(n_quarantines: u32) -> Duration {
    let factor = 2u32.saturating_pow(n_quarantines.saturating_sub(1));
    FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE)
}
