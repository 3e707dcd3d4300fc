//! Decides when a peer that acknowledges nothing is gone.

use std::time::{Duration, Instant};

use crate::http1::AckStatus;

/// Time without the acknowledgement of anything sent after which a peer is considered gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that counts between two observations; a host that was paused knows nothing of the
/// rest.
const MAX_STEP: Duration = Duration::from_secs(1);
/// Longest clock tick of a system, by which the times of an `AckStatus` may be off.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// How long a peer has owed an acknowledgement.
///
/// A peer whose process reads nothing closes its window, but its system acknowledges each probe of
/// the window, so it is never silent here.
#[derive(Clone, Debug)]
pub struct PeerSilence {
    observed: Instant,
    unanswered: Option<Duration>,
}

impl PeerSilence {
    /// Creates the state of a connection that has just been opened.
    pub fn new(now: Instant) -> PeerSilence {
        PeerSilence { observed: now, unanswered: None }
    }

    /// Records the status of the connection at `now`; returns `true` if the peer is gone.
    pub fn observe(&mut self, status: AckStatus, now: Instant) -> bool {
        let step = now.saturating_duration_since(self.observed);
        self.observed = now;
        let is_answered = status.since_ack <= step + CLOCK_TICK;
        self.unanswered = match self.unanswered {
            _ if !status.awaits_ack() => None,
            Some(unanswered) if !is_answered => Some(unanswered + step.min(MAX_STEP)),
            _ => Some(Duration::ZERO),
        };
        self.unanswered.is_some_and(|it| it >= SILENCE_TIMEOUT)
    }
}
