//! Decides on the next call to the platform for one patch and resolves lost responses.
//!
//! A write whose response was lost may still take effect later, as long as the object is at the
//! revision that the write was made for. The attempt therefore sends the same write again for that
//! revision. Once the object has a later revision, whoever wrote it, the delayed write can no
//! longer take effect, and a read shows whether the patch is in the charter. Until then the
//! outcome is unknown.

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

/// Maximum number of reads with a number below the patch's base number that count as stale.
///
/// After these reads, the base number counts as wrong.
const MAX_STALE_READS: u32 = 5;

/// A conditional write of the charter object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CharterWrite {
    /// New value.
    pub value: Vec<u8>,
    /// Condition under which the write takes effect.
    pub precondition: Precondition,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and created this revision.
    Written(Revision),
    /// The precondition did not hold; the write never takes effect.
    Conflict,
    /// The write did not reach the platform or the platform refused it.
    NotRun,
    /// The response was lost; the write may take effect at any later time.
    Lost,
}

/// The next step of a patch attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchStep {
    /// Read the charter object.
    Read,
    /// Write the charter object.
    Write(CharterWrite),
    /// The attempt is complete; the text is that of the charter with the patch, if it was accepted.
    Done(PatchOutcome, Option<Vec<u8>>),
}

/// The state machine of one patch, which makes no calls itself.
///
/// The caller executes each `PatchStep` and passes the result to `on_read` or `on_write`.
#[derive(Debug)]
pub struct PatchAttempt {
    request: PatchRequest,
    min_revision: Revision,
    min_number: DocumentNumber,
    unconfirmed_write: Option<Precondition>,
    in_flight: Option<CharterWrite>,
    n_stale_reads: u32,
}

impl PatchAttempt {
    /// Creates an attempt, whose first step is a read.
    ///
    /// `local_number` is the charter in force in this process; a read with a lower number is stale.
    pub fn new(request: PatchRequest, local_number: DocumentNumber) -> PatchAttempt {
        PatchAttempt {
            request,
            min_revision: 0,
            min_number: local_number,
            unconfirmed_write: None,
            in_flight: None,
            n_stale_reads: 0,
        }
    }

    /// Returns the step after a read; `object` is `None` if the object does not exist.
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
        let is_settled = self.unconfirmed_write.is_some_and(|it| it != precondition);
        if is_settled {
            self.unconfirmed_write = None;
        }
        if is_settled && number > self.request.base_number + RECENT_PATCHES as u64 {
            let reason =
                "too many patches were accepted since then to find this one; check the charter";
            return done(PatchOutcome::Unsettled(reason.to_owned()));
        }
        if number < self.request.base_number && self.n_stale_reads < MAX_STALE_READS {
            self.n_stale_reads += 1;
            return PatchStep::Read;
        }
        self.apply(current, number, precondition)
    }

    /// Returns the step after a write.
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
            WriteResult::Lost => self.unconfirmed_write = Some(write.precondition),
            WriteResult::NotRun => {}
        }
        PatchStep::Read
    }

    /// Returns the outcome of an attempt that ends now for `reason`, such as a passed deadline.
    pub fn outcome_at_deadline(&self, reason: &str) -> PatchOutcome {
        if self.unconfirmed_write.is_some() || self.in_flight.is_some() {
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
            "the charter object at the platform is not valid JSON; write a valid one first",
        ))
    }
}

/// Returns the precondition that holds only for `revision`; 0 means that the object is absent.
pub(crate) fn precondition_of(revision: Revision) -> Precondition {
    match revision {
        0 => Precondition::Absent,
        it => Precondition::Revision(it),
    }
}

/// Returns the lowest revision that a read can show after a conflict with `precondition`.
pub(crate) fn min_revision_after(precondition: Precondition) -> Revision {
    match precondition {
        Precondition::Absent => 1,
        Precondition::Revision(it) => it + 1,
    }
}

fn done(outcome: PatchOutcome) -> PatchStep {
    PatchStep::Done(outcome, None)
}
