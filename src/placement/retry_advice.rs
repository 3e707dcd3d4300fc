//! When a caller that is turned away should come again.
//!
//! Answers to: waves of callers that come back while engines are still full, and are turned away
//! once more. While most requests find a place, one that comes back soon is still on time; in an
//! overload it is served only after that has passed, so it is sent further away.

use std::time::{Duration, Instant};

/// Time over which the share of requests that found a place is forgotten.
const MEMORY: Duration = Duration::from_millis(600);
/// Share of requests that find a place, above which a caller should come back soon.
const CALM_SHARE: f64 = 0.75;
/// Wait while most requests find a place.
const SHORT_WAIT: Duration = Duration::from_millis(200);
/// Least wait in an overload.
const LONG_WAIT: Duration = Duration::from_millis(900);
/// Spread of the waits in an overload, so that callers don't come back together.
const LONG_SPREAD: Duration = Duration::from_millis(900);

/// The share of requests that found a place lately.
#[derive(Clone, Debug)]
pub struct RetryAdvice {
    share: f64,
    updated: Option<Instant>,
}

impl Default for RetryAdvice {
    fn default() -> RetryAdvice {
        RetryAdvice { share: 1.0, updated: None }
    }
}

impl RetryAdvice {
    /// Counts a request that found a place, or did not.
    pub fn count(&mut self, has_place: bool, now: Instant) {
        let since = self.updated.map_or(Duration::ZERO, |it| now.duration_since(it));
        self.updated = Some(now);
        // Each request weighs at least a little, also when many come at the same time.
        let gain = (since.as_secs_f64() / MEMORY.as_secs_f64()).clamp(0.03, 1.0);
        let outcome = f64::from(u8::from(has_place));
        self.share += gain * (outcome - self.share);
    }

    /// The wait for a caller that is turned away now; `draw` is uniform in 0 to 1.
    pub fn wait(&self, draw: f64) -> Duration {
        match self.share >= CALM_SHARE {
            true => SHORT_WAIT,
            false => LONG_WAIT + LONG_SPREAD.mul_f64(draw),
        }
    }
}
