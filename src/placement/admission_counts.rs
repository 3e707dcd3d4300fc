//! Counts the decisions on requests for capacity.

/// The numbers of decisions on requests that arrived for the first time and on returning ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests that were not refused before.
    pub first: DecisionCounts,
    /// Requests that came back after a refusal.
    pub returning: DecisionCounts,
}

/// The numbers of requests that were admitted and refused. A request counts each time that it asks: at
/// several owners, and once more to wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// The number of requests for which capacity was reserved.
    pub n_admitted: u64,
    /// The number of requests that found no capacity in time.
    pub n_refused: u64,
}

impl AdmissionCounts {
    /// Returns the counts for requests of one kind.
    pub(crate) fn of(&mut self, is_return: bool) -> &mut DecisionCounts {
        match is_return {
            true => &mut self.returning,
            false => &mut self.first,
        }
    }
}
