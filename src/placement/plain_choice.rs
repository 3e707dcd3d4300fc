//! Chooses the backend server of a plain service for a request.
//!
//! Load pattern: many entry hosts that each send few requests to few backend servers. Each host
//! knows only its own requests, so it chooses at random among those that look alike; otherwise all
//! hosts would prefer the same one.

/// Failure rate above which a backend server in the own zone loses its preference over one in
/// another zone.
const MAX_NEAR_FAILURE_RATE: f64 = 0.25;

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
}

/// Returns the index of the backend server for a request: the least loaded one in the own zone, or
/// one in another zone if all of these are full or fail often. `random` is uniform in 0 to 1.
pub fn choose_plain_backend(candidates: &[PlainCandidate], random: f64) -> Option<usize> {
    let cost = |it: &PlainCandidate| {
        let fails_often = it.failure_rate > MAX_NEAR_FAILURE_RATE;
        let is_full = it.n_requests >= it.slots.max(1);
        (fails_often || is_full, !it.is_near, it.n_requests)
    };
    let least = candidates.iter().map(cost).min()?;
    let best: Vec<usize> =
        (0..candidates.len()).filter(|it| cost(&candidates[*it]) == least).collect();
    let idx = (random * best.len() as f64) as usize;
    best.get(idx).copied()
}
