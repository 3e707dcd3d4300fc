//! Reasons why a response broke off after its head was sent.

/// The reason why the rest of a response could not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutReason {
    /// The deadline of the request passed.
    Deadline,
    /// The process exits.
    HostExit,
    /// No other backend server had capacity to go on.
    NoCapacity,
    /// The retry budget of the pool or service is spent.
    NoRetryBudget,
    /// The request was sent to as many backend servers as its route allows, or may not be sent again.
    NoAttempt,
    /// A part of the prompt crashes backend servers.
    QuarantinedPart,
    /// Too much was buffered, and this response waited for its caller.
    BuffersFull,
    /// The response that should go on can't follow what was sent.
    UnusableResponse,
}

impl CutReason {
    /// Returns the value of the log field `reason`.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CutReason::Deadline => "deadline",
            CutReason::HostExit => "host-exit",
            CutReason::NoCapacity => "no-capacity",
            CutReason::NoRetryBudget => "no-retry-budget",
            CutReason::NoAttempt => "no-attempt",
            CutReason::QuarantinedPart => "quarantined-part",
            CutReason::BuffersFull => "buffers-full",
            CutReason::UnusableResponse => "unusable-response",
        }
    }
}
