//! The share of the machine's link that weights may use.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{
    runtime,
    weights::{link_share::LinkShare, token_bucket::TokenBucket},
};

/// Paces what a host sends and receives; live requests that are late shrink the share of weights.
#[derive(Debug)]
pub struct LinkBudget {
    send_bytes_per_s: f64,
    receive_bytes_per_s: f64,
    share: Mutex<LinkShare>,
    send: Mutex<TokenBucket>,
    receive: Mutex<TokenBucket>,
    send_turn: async_lock::Mutex<()>,
}

impl LinkBudget {
    /// Makes a budget; weights keep at least `min_share_percent` of both rates.
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
            send_turn: async_lock::Mutex::new(()),
        }
    }

    /// Reports how long a live request waited for its first token, and the limit for that wait.
    pub fn report_first_token(&self, waited: Duration, limit: Duration) {
        self.share.lock().unwrap().report(waited > limit, Instant::now());
    }

    /// The share of the link that weights may use now, above 0 and at most 1.
    pub fn share(&self) -> f64 {
        self.share.lock().unwrap().at(Instant::now())
    }

    /// Time that `n_bytes` take to receive at the present rate.
    pub fn receive_time(&self, n_bytes: u64) -> Duration {
        Duration::from_secs_f64(n_bytes as f64 / (self.receive_bytes_per_s * self.share()))
    }

    /// Waits until `n_bytes` may be sent; waiting calls go one after the other.
    pub async fn send(&self, n_bytes: u64) {
        let _turn = self.send_turn.lock().await;
        loop {
            let rate = self.send_bytes_per_s * self.share();
            let res = self.send.lock().unwrap().take(n_bytes, rate, Instant::now());
            let Err(debt) = res else { return };
            runtime::sleep(debt).await;
        }
    }

    /// Allows a request of `n_bytes` now, or says how long to wait.
    pub fn try_receive(&self, n_bytes: u64) -> Result<(), Duration> {
        let rate = self.receive_bytes_per_s * self.share();
        self.receive.lock().unwrap().take(n_bytes, rate, Instant::now())
    }

    /// Counts `n_bytes` that came without a request of `try_receive`.
    pub fn charge_received(&self, n_bytes: u64) {
        self.receive.lock().unwrap().charge(n_bytes);
    }

    /// Gives back `n_bytes` of a request that brought nothing.
    pub fn refund_receive(&self, n_bytes: u64) {
        self.receive.lock().unwrap().refund(n_bytes);
    }
}
