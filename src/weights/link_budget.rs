//! Limits the bytes that weights may send and receive on the host's link.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{
    runtime,
    weights::{link_share::LinkShare, token_bucket::TokenBucket},
};

/// Paces the weights that a host sends and receives.
///
/// Late live requests reduce the share of the link that weights may use.
#[derive(Debug)]
pub struct LinkBudget {
    send_bytes_per_s: f64,
    receive_bytes_per_s: f64,
    share: Mutex<LinkShare>,
    send: Mutex<TokenBucket>,
    receive: Mutex<TokenBucket>,
    send_lock: async_lock::Mutex<()>,
}

impl LinkBudget {
    /// Returns a budget in which weights keep at least `min_share_percent` of both rates.
    pub fn new(
        send_bytes_per_s: u64,
        receive_bytes_per_s: u64,
        min_share_percent: u32,
    ) -> LinkBudget {
        let now = Instant::now();
        LinkBudget {
            send_bytes_per_s: send_bytes_per_s as f64,
            receive_bytes_per_s: receive_bytes_per_s as f64,
            share: Mutex::new(LinkShare::new(min_share_percent, now)),
            send: Mutex::new(TokenBucket::new(now)),
            receive: Mutex::new(TokenBucket::new(now)),
            send_lock: async_lock::Mutex::new(()),
        }
    }

    /// Records the wait of a live request for its first token; a wait above `limit` is late.
    pub fn report_first_token(&self, waited: Duration, limit: Duration) {
        self.share.lock().unwrap().report(waited > limit, Instant::now());
    }

    /// Returns the share of the link that weights may use now, above 0 and at most 1.
    pub fn share(&self) -> f64 {
        self.share.lock().unwrap().at(Instant::now())
    }

    /// Returns the time that `n_bytes` take to receive at the current rate.
    pub fn receive_time(&self, n_bytes: u64) -> Duration {
        Duration::from_secs_f64(n_bytes as f64 / (self.receive_bytes_per_s * self.share()))
    }

    /// Waits until `n_bytes` may be sent; concurrent calls proceed one at a time.
    pub async fn send(&self, n_bytes: u64) {
        let _guard = self.send_lock.lock().await;
        loop {
            let rate = self.send_bytes_per_s * self.share();
            let res = self.send.lock().unwrap().try_take(n_bytes, rate, Instant::now());
            let Err(debt) = res else { return };
            runtime::sleep(debt).await;
        }
    }

    /// Charges `n_bytes` if the budget allows a request now; otherwise returns the time to wait.
    pub fn try_receive(&self, n_bytes: u64) -> Result<(), Duration> {
        let rate = self.receive_bytes_per_s * self.share();
        self.receive.lock().unwrap().try_take(n_bytes, rate, Instant::now())
    }

    /// Charges `n_bytes` without waiting for the budget.
    pub fn charge_received(&self, n_bytes: u64) {
        self.receive.lock().unwrap().charge(n_bytes);
    }

    /// Refunds `n_bytes` of a request that received nothing.
    pub fn refund_receive(&self, n_bytes: u64) {
        self.receive.lock().unwrap().refund(n_bytes);
    }
}
