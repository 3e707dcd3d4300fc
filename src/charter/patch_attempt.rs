//! Decides the next call of the platform for one patch, so that a lost answer is always settled.
//!
//! A write whose answer was lost may still take effect later, as long as the revision that it was
//! made for stands. So the same write is sent again for that same revision: once a later revision
//! stands, whoever made it, the delayed write can't take effect any more, and a read tells whether
//! the patch is in the charter. Until then the outcome is not known.

use serde_json::Value;

use crate::{
    charter::{
        charter_patch::{self, MergeError},
        patch_request::{PatchOutcome, PatchRequest},
        RECENT_PATCHES,
    },
    ids::{DocumentNumber, Revision},
    objects::{Object, Precondition},
};

/// Reads that are older than the operator's number before the number counts as wrong.
const MAX_STALE_READS: u32 = 5;

/// A conditional write of the charter object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CharterWrite {
    /// New value.
    pub value: Vec<u8>,
    /// What must hold for the write to take effect.
    pub precondition: Precondition,
}

/// What came of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and made this revision.
    Written(Revision),
    /// The precondition did not hold; it never takes effect.
    Conflict,
    /// It never reached the platform or was refused by it.
    NotRun,
    /// The answer was lost; it may take effect at any later time.
    Lost,
}

/// The next thing to do for a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchStep {
    /// Read the charter object.
    Read,
    /// Write the charter object.
    Write(CharterWrite),
    /// Nothing more; an accepted charter's text is given along when it is known.
    Done(PatchOutcome, Option<Vec<u8>>),
}

/// Progress of one patch; values in, values out.
#[derive(Debug)]
pub struct PatchAttempt {
    request: PatchRequest,
    min_revision: Revision,
    min_number: DocumentNumber,
    unconfirmed: Option<Precondition>,
    in_flight: Option<CharterWrite>,
    n_stale_reads: u32,
}

impl PatchAttempt {
    /// Begins with a read; one that shows a number below `local_number`, which is in force here, lags.
    pub fn new(request: PatchRequest, local_number: DocumentNumber) -> PatchAttempt {
        PatchAttempt {
            request,
            min_revision: 0,
            min_number: local_number,
            unconfirmed: None,
            in_flight: None,
            n_stale_reads: 0,
        }
    }

    /// Decides after a read; `None` means that the object does not exist.
    pub fn on_read(&mut self, object: Option<Object>) -> PatchStep {
        let revision = object.as_ref().map_or(0, |it| it.revision);
        if revision < self.min_revision {
            return PatchStep::Read;
        }
        self.min_revision = revision;
        let text = object.map_or_else(charter_patch::empty_charter, |it| it.value);
        let Ok(current) = serde_json::from_slice::<Value>(&text) else {
            return self.unreadable_charter();
        };
        let precondition = precondition_of(revision);
        let number = charter_patch::number_of(&current);
        if number < self.min_number {
            return PatchStep::Read;
        }
        if let Some(accepted) = charter_patch::accepted_number(&current, &self.request.id) {
            return self.repeated_patch(&current, accepted, text);
        }
        let is_settled = self.unconfirmed.is_some_and(|it| it != precondition);
        if is_settled {
            self.unconfirmed = None;
        }
        if is_settled && number > self.request.base_number + RECENT_PATCHES as u64 {
            let reason = "too many patches were accepted since to tell";
            return done(PatchOutcome::Unsettled(reason.to_owned()));
        }
        if number < self.request.base_number && self.n_stale_reads < MAX_STALE_READS {
            self.n_stale_reads += 1;
            return PatchStep::Read;
        }
        self.apply(current, number, precondition)
    }

    /// Decides after a write.
    pub fn on_write(&mut self, result: WriteResult) -> PatchStep {
        let Some(write) = self.in_flight.take() else {
            return PatchStep::Read;
        };
        match result {
            WriteResult::Written(_) => {
                let number = self.request.base_number + 1;
                return PatchStep::Done(PatchOutcome::Accepted(number), Some(write.value));
            }
            WriteResult::Conflict => self.min_revision = min_revision_after(write.precondition),
            WriteResult::Lost => self.unconfirmed = Some(write.precondition),
            WriteResult::NotRun => {}
        }
        PatchStep::Read
    }

    /// The outcome when the time is up; `reason` says what was waited for.
    pub fn outcome_at_deadline(&self, reason: &str) -> PatchOutcome {
        if self.unconfirmed.is_some() || self.in_flight.is_some() {
            return PatchOutcome::Unsettled(reason.to_owned());
        }
        PatchOutcome::Unavailable(reason.to_owned())
    }

    fn apply(
        &mut self,
        current: Value,
        number: DocumentNumber,
        precondition: Precondition,
    ) -> PatchStep {
        match charter_patch::apply(current, &self.request) {
            Ok(value) => self.write(CharterWrite { value, precondition }),
            Err(MergeError::Stale) => done(PatchOutcome::Stale { current: number }),
            Err(MergeError::Invalid(errors)) => done(PatchOutcome::Invalid(errors)),
        }
    }

    fn write(&mut self, write: CharterWrite) -> PatchStep {
        self.in_flight = Some(write.clone());
        PatchStep::Write(write)
    }

    fn repeated_patch(&self, current: &Value, number: DocumentNumber, text: Vec<u8>) -> PatchStep {
        match charter_patch::check_same_patch(current, &self.request) {
            Ok(()) => PatchStep::Done(PatchOutcome::Accepted(number), Some(text)),
            Err(error) => done(PatchOutcome::Invalid(vec![error])),
        }
    }

    fn unreadable_charter(&self) -> PatchStep {
        done(self.outcome_at_deadline(
            "the charter object of the platform is not JSON; write a valid one first",
        ))
    }
}

/// The precondition that holds for exactly the revision that was read; 0 means no object.
pub(crate) fn precondition_of(revision: Revision) -> Precondition {
    match revision {
        0 => Precondition::Absent,
        it => Precondition::Revision(it),
    }
}

/// The smallest revision that a read can show after a conflict with `precondition`.
pub(crate) fn min_revision_after(precondition: Precondition) -> Revision {
    match precondition {
        Precondition::Absent => 1,
        Precondition::Revision(it) => it + 1,
    }
}

fn done(outcome: PatchOutcome) -> PatchStep {
    PatchStep::Done(outcome, None)
}
