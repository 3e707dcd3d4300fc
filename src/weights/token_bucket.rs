//! A token bucket whose rate may change at any time.

use std::time::{Duration, Instant};

/// Time at full rate for which unused tokens are kept.
const BURST: Duration = Duration::from_millis(100);

/// A token bucket that counts bytes.
///
/// A caller may take more bytes than there are tokens; later callers wait until this debt is paid
/// off.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Returns a bucket with neither tokens nor debt at `now`.
    pub fn new(now: Instant) -> TokenBucket {
        TokenBucket { tokens: 0.0, updated: now }
    }

    /// Takes `n_bytes` if there is no debt; otherwise returns the time until the debt is paid off.
    pub fn try_take(
        &mut self,
        n_bytes: u64,
        bytes_per_s: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.refill(bytes_per_s, now);
        if self.tokens < 0.0 {
            return Err(Duration::from_secs_f64(-self.tokens / bytes_per_s));
        }
        self.tokens -= n_bytes as f64;
        Ok(())
    }

    /// Takes `n_bytes` regardless of debt.
    pub fn charge(&mut self, n_bytes: u64) {
        self.tokens -= n_bytes as f64;
    }

    /// Refunds `n_bytes` that were taken and not used.
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
