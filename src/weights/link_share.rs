//! Additive increase and multiplicative decrease of the link share of weights.

use std::time::{Duration, Instant};

/// Factor by which a late live request reduces the share.
const DECREASE: f64 = 0.7;
/// Shortest time between two decreases, so that one burst of late requests counts once.
const DECREASE_PAUSE: Duration = Duration::from_millis(500);
/// Fraction of the link by which the share recovers per second.
const INCREASE_PER_S: f64 = 0.05;

/// The share of the link that weights may use; never 0.
///
/// It decreases when live requests are late and recovers slowly, so that a transfer of weights does
/// not delay live traffic and still completes.
#[derive(Clone, Debug)]
pub struct LinkShare {
    share: f64,
    min_share: f64,
    updated: Instant,
    last_decrease: Option<Instant>,
}

impl LinkShare {
    /// Returns a share that starts at the full link.
    pub fn new(min_share_percent: u32, now: Instant) -> LinkShare {
        let min_share = f64::from(min_share_percent.clamp(1, 100)) / 100.0;
        LinkShare { share: 1.0, min_share, updated: now, last_decrease: None }
    }

    /// Records one live request, which reduces the share if it was late.
    pub fn report(&mut self, is_late: bool, now: Instant) {
        self.recover(now);
        let is_pausing =
            self.last_decrease.is_some_and(|it| now.saturating_duration_since(it) < DECREASE_PAUSE);
        if !is_late || is_pausing {
            return;
        }
        self.share = (self.share * DECREASE).max(self.min_share);
        self.last_decrease = Some(now);
    }

    /// Returns the share at `now`.
    pub fn at(&mut self, now: Instant) -> f64 {
        self.recover(now);
        self.share
    }

    fn recover(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = now;
        self.share = (self.share + elapsed.as_secs_f64() * INCREASE_PER_S).min(1.0);
    }
}
