//! The error of one attempt at a slot, with the decision on a retry.

use crate::request::failure::Failure;

/// Whether and how a request is retried after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// No retry: the failure is returned to the caller.
    Never,
    /// Retry if the retry budget allows it.
    WithinBudget,
    /// Retry without charging the retry budget: the eligible slots are expected to change soon, or
    /// the request became suspect and runs alone from now on.
    WithoutBudget,
}

/// The error of one attempt at a slot.
#[derive(Debug)]
pub(crate) struct AttemptError {
    /// The failure to return to the caller if there is no further attempt.
    pub(crate) failure: Failure,
    /// Whether the request may be retried.
    pub(crate) retry: RetryDecision,
}

impl AttemptError {
    /// Returns the error of an attempt that is not followed by another one.
    pub(crate) fn no_retry(failure: Failure) -> AttemptError {
        AttemptError { failure, retry: RetryDecision::Never }
    }

    /// Returns the error of an attempt that is followed by another one without charging the retry
    /// budget.
    pub(crate) fn free_retry(failure: Failure) -> AttemptError {
        AttemptError { failure, retry: RetryDecision::WithoutBudget }
    }
}
