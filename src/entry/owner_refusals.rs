//! The refusals of the owners that were asked for one request.

use std::time::Duration;

use crate::{entry::reservation_error::ReservationError, fleet::RefusalReason, ids::HostId};

/// The refusals of the owners that were asked for one request.
#[derive(Debug, Default)]
pub(crate) struct OwnerRefusals {
    /// The first owner whose engines are full.
    first_full: Option<HostId>,
    /// The owner whose engines take a request first, and after which time, of those whose engines named
    /// limits.
    first_due: Option<(Duration, HostId)>,
    has_unusable: bool,
}

impl OwnerRefusals {
    /// Records a refusal.
    pub(crate) fn record(&mut self, owner: HostId, reason: RefusalReason) {
        match reason {
            RefusalReason::Full | RefusalReason::Ranked(_) => {
                self.first_full.get_or_insert(owner);
            }
            RefusalReason::Limited(left) => {
                self.first_due = self.first_due.take().into_iter().chain([(left, owner)]).min();
            }
            RefusalReason::NoUsableEngine => self.has_unusable = true,
            RefusalReason::NotOwner => {}
        }
    }

    /// Returns `true` if an owner has engines that the request can use later.
    pub(crate) fn has_usable(&self) -> bool {
        self.first_full.is_some() || self.first_due.is_some()
    }

    /// Returns the owner at which a request waits that may wait for so long.
    pub(crate) fn owner_to_wait_at(&self, longest_wait: Duration) -> Option<&HostId> {
        if longest_wait.is_zero() {
            return None;
        }
        let due_in_time = self.first_due.as_ref().filter(|it| it.0 <= longest_wait);
        self.first_full.as_ref().or(due_in_time.map(|it| &it.1))
    }

    /// Returns the error of a request that does not wait; `None` if no owner answered.
    pub(crate) fn error(&self) -> Option<ReservationError> {
        match (&self.first_full, &self.first_due) {
            (Some(_), _) => Some(ReservationError::Full),
            (None, Some((left, _))) => Some(ReservationError::limited(*left)),
            (None, None) => self.has_unusable.then_some(ReservationError::NoBackend),
        }
    }
}
