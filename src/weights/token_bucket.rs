//! A token bucket whose rate may change at any time.

use std::time::{Duration, Instant};

/// Time at full rate for which unused tokens are kept.
const BURST: Duration = Duration::from_millis(100);

/// Tokens are bytes; a taker may leave a debt that the following takers wait for.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Starts with no tokens and no debt at `now`.
    pub fn new(now: Instant) -> TokenBucket {
        TokenBucket { tokens: 0.0, updated: now }
    }

    /// Takes `n_bytes` if there is no debt, or says how long the debt lasts.
    pub fn take(&mut self, n_bytes: u64, bytes_per_s: f64, now: Instant) -> Result<(), Duration> {
        self.refill(bytes_per_s, now);
        if self.tokens < 0.0 {
            return Err(Duration::from_secs_f64(-self.tokens / bytes_per_s));
        }
        self.tokens -= n_bytes as f64;
        Ok(())
    }

    /// Takes `n_bytes` in any case.
    pub fn charge(&mut self, n_bytes: u64) {
        self.tokens -= n_bytes as f64;
    }

    /// Gives back `n_bytes` that were taken and not used.
    pub fn refund(&mut self, n_bytes: u64) {
        self.tokens += n_bytes as f64;
    }

    fn refill(&mut self, bytes_per_s: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = now;
        let full = bytes_per_s * BURST.as_secs_f64();
        self.tokens = (self.tokens + elapsed.as_secs_f64() * bytes_per_s).min(full);
    }
}
