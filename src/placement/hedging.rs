//! When a repeatable call that is late is sent to a second server.
//!
//! Load pattern: one of some servers is slow and already has the call. A second call costs the work of
//! another server, so it is made only if the response can still be in time by it, late enough that
//! most calls have their response, and for a small share of the calls, as an overload makes all late.

use std::time::Duration;

use crate::placement::{server_slowness::Evidence, usual_latency::UsualLatency};

/// Shortest time without a response after which a call is hedged; hosts may stand still for so long.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Least share of the time to the objective that is left for the second response.
const SECOND_SHARE: f64 = 0.4;
/// Hedged requests that each call allows.
const HEDGES_PER_CALL: f64 = 0.1;
/// Most hedged requests that earlier calls allow at a time.
const MAX_SAVED_HEDGES: f64 = 5.0;

/// Returns the time without a response after which a second server gets the call, at the latest time at
/// which its response can still arrive within `time_to_objective`; `None` if it can't, or if sizes vary
/// so much that a late response doesn't show a slow server.
pub(crate) fn delay(usual: &UsualLatency, time_to_objective: Duration) -> Option<Duration> {
    if !Evidence::new(0.0, usual.variance()).outweighs_prior() {
        return None;
    }
    let for_second = usual.late().max(time_to_objective.mul_f64(SECOND_SHARE));
    let latest = time_to_objective.saturating_sub(for_second);
    let delay = latest.max(usual.late()).max(MIN_DELAY);
    (delay + usual.late() <= time_to_objective).then_some(delay)
}

/// Limits hedged requests to a share of this host's calls.
#[derive(Clone, Debug)]
pub(crate) struct HedgeAllowance {
    n_saved: f64,
}

impl Default for HedgeAllowance {
    fn default() -> HedgeAllowance {
        HedgeAllowance { n_saved: 1.0 }
    }
}

impl HedgeAllowance {
    /// Counts a call, which allows a share of a hedged request.
    pub(crate) fn count_call(&mut self) {
        self.n_saved = (self.n_saved + HEDGES_PER_CALL).min(MAX_SAVED_HEDGES);
    }

    /// Takes one hedged request; returns `false` if there is none left.
    pub(crate) fn try_spend(&mut self) -> bool {
        let is_allowed = self.n_saved >= 1.0;
        if is_allowed {
            self.n_saved -= 1.0;
        }
        is_allowed
    }
}
