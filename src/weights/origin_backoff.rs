//! Decides when requests to the origin may be sent again.

use std::time::{Duration, Instant};

/// Delay after the first failure; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest delay after failures.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Longest delay accepted from a `Retry-After` header of the origin.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);
/// Largest fraction of a delay that is added to it at random, so that hosts do not retry at the
/// same time.
const JITTER: f64 = 0.5;

/// Delays requests to an origin that refuses them or fails.
#[derive(Clone, Debug, Default)]
pub struct OriginBackoff {
    n_failures: u32,
    not_before: Option<Instant>,
}

impl OriginBackoff {
    /// Returns `true` if a request may be sent at `now`.
    pub fn allows_request(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|it| it <= now)
    }

    /// Records a successful response.
    pub fn record_success(&mut self) {
        self.n_failures = 0;
    }

    /// Records that the origin failed or was unreachable; `random` is in 0..1.
    pub fn record_failure(&mut self, now: Instant, random: f64) {
        let pause = FIRST_PAUSE * (1 << self.n_failures.min(8));
        self.n_failures += 1;
        self.pause(pause.min(MAX_PAUSE), now, random);
    }

    /// Records that the origin refused a request for the time `retry_after`; `random` is in 0..1.
    pub fn record_refusal(&mut self, retry_after: Duration, now: Instant, random: f64) {
        self.pause(retry_after.min(MAX_RETRY_AFTER), now, random);
    }

    fn pause(&mut self, pause: Duration, now: Instant, random: f64) {
        let until = now + pause.mul_f64(1.0 + JITTER * random);
        self.not_before = Some(self.not_before.map_or(until, |it| it.max(until)));
    }
}
