//! When the origin may be asked again.

use std::time::{Duration, Instant};

/// Pause after the first failure; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Longest pause that the origin may ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);
/// Part of a pause that is added at random, so that hosts do not come back together.
const JITTER: f64 = 0.5;

/// Paces requests to an origin that refuses or fails.
#[derive(Clone, Debug, Default)]
pub struct OriginGate {
    n_failures: u32,
    not_before: Option<Instant>,
}

impl OriginGate {
    /// Whether the origin may be asked at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|it| it <= now)
    }

    /// The origin answered.
    pub fn succeeded(&mut self) {
        self.n_failures = 0;
    }

    /// The origin failed or could not be reached; `random` is in 0..1.
    pub fn failed(&mut self, now: Instant, random: f64) {
        let pause = FIRST_PAUSE * (1 << self.n_failures.min(8));
        self.n_failures += 1;
        self.pause(pause.min(MAX_PAUSE), now, random);
    }

    /// The origin asked to wait for `retry_after`; `random` is in 0..1.
    pub fn refused(&mut self, retry_after: Duration, now: Instant, random: f64) {
        self.pause(retry_after.min(MAX_RETRY_AFTER), now, random);
    }

    fn pause(&mut self, pause: Duration, now: Instant, random: f64) {
        let until = now + pause.mul_f64(1.0 + JITTER * random);
        self.not_before = Some(self.not_before.map_or(until, |it| it.max(until)));
    }
}
