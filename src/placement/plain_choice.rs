//! Chooses the backend server of a plain service for a request.
//!
//! Load pattern: many entry hosts that each send few requests to few backend servers, of which some
//! are slow at times. Each host knows only its own requests, so it chooses at random among those that
//! look alike; otherwise all hosts would prefer the same one. Zones may have unequal demand: another
//! zone is used if that gains more time than its bytes are worth.

use std::time::Duration;

/// Failure rate above which a backend server in the own zone loses its preference over one in
/// another zone.
const MAX_NEAR_FAILURE_RATE: f64 = 0.25;
/// Share of the latency objective that a server in another zone must gain to be preferred. Callers get
/// nothing for a response that is earlier than the objective, and bytes between zones are scarce.
const ZONE_PRICE_SHARE: f64 = 0.25;
/// Further gain, as a share of the latency objective, from which on all requests go to another zone.
/// Below it only a share of them does: if all hosts left a busy zone at once, the next one would be
/// overloaded.
const ZONE_RAMP_SHARE: f64 = 0.5;
/// Share of the latency objective up to which differences in expected time are ignored.
const ALIKE_SHARE: f64 = 0.125;

/// A backend server of a plain service that can be chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCandidate {
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it is in this host's availability zone.
    pub is_near: bool,
    /// The number of this host's requests in progress there.
    pub n_requests: u32,
    /// Its failure rate, a moving average over the latest outcomes.
    pub failure_rate: f64,
    /// Time in which it is expected to respond; equal for all while nothing is known.
    pub expected_latency: Duration,
}

impl PlainCandidate {
    /// Returns `true` if it is used only when all others are full or fail often, too.
    fn is_last_resort(&self) -> bool {
        let is_full = self.n_requests >= self.slots.max(1);
        self.failure_rate > MAX_NEAR_FAILURE_RATE || is_full
    }
}

/// Returns the index of the backend server for a request: the least loaded of those in the own zone
/// that respond fast enough for the latency `objective`, or one in another zone if all of these are
/// full, fail often or are clearly slower. `random` is uniform in 0 to 1.
pub fn choose_plain_backend(
    candidates: &[PlainCandidate],
    objective: Duration,
    mut random: f64,
) -> Option<usize> {
    let is_last_resort = candidates.iter().all(PlainCandidate::is_last_resort);
    let usable = |it: &&PlainCandidate| it.is_last_resort() == is_last_resort;
    let least_latency = |is_near: bool| {
        let in_zone = candidates.iter().filter(usable).filter(|it| it.is_near == is_near);
        in_zone.map(|it| it.expected_latency).min()
    };
    let (is_near, least) = match (least_latency(true), least_latency(false)) {
        (Some(near), Some(far)) => {
            let share = share_far(near, far, objective);
            let is_near = random >= share;
            // What is left of the random number is uniform again.
            random = if is_near { (random - share) / (1.0 - share) } else { random / share };
            (is_near, if is_near { near } else { far })
        }
        (Some(near), None) => (true, near),
        (None, far) => (false, far?),
    };
    let most = least + objective.mul_f64(ALIKE_SHARE);
    let is_alike =
        |it: &&PlainCandidate| it.is_near == is_near && usable(it) && it.expected_latency <= most;
    let n_requests = candidates.iter().filter(is_alike).map(|it| it.n_requests).min()?;
    let is_best = |it: &&PlainCandidate| is_alike(it) && it.n_requests == n_requests;
    let best: Vec<usize> = (0..candidates.len()).filter(|it| is_best(&&candidates[*it])).collect();
    let idx = (random * best.len() as f64) as usize;
    best.get(idx).copied()
}

/// Returns the share of the requests that go to another zone, if the fastest servers of the own zone and
/// of the others are expected to respond in these times.
fn share_far(near: Duration, far: Duration, objective: Duration) -> f64 {
    let gain = near.saturating_sub(far + objective.mul_f64(ZONE_PRICE_SHARE));
    if gain.is_zero() {
        return 0.0;
    }
    let full_gain = objective.mul_f64(ZONE_RAMP_SHARE);
    if gain >= full_gain {
        1.0
    } else {
        gain.as_secs_f64() / full_gain.as_secs_f64()
    }
}
