//! A retry budget, which limits attempts beyond the first of each request so that retries cannot
//! amplify an overload.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Share of the permitted retries of the deployment that all entry hosts together use.
const SAFETY_SHARE: f64 = 0.85;

/// The retry budget of one entry host for one pool or service, over a sliding window.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl WindowedRetryBudget {
    /// Creates a budget. In each `window`, the hosts together may send `ratio` retries per request
    /// and `slack` more.
    pub fn new(ratio: f64, slack: u64, window: Duration) -> WindowedRetryBudget {
        WindowedRetryBudget {
            ratio,
            slack: slack as f64,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.push_back(now);
        self.remove_expired(now);
    }

    /// Takes one retry from the budget; returns `false` if the window allows no more. The slack is
    /// divided evenly among `n_hosts` hosts.
    pub fn try_spend_retry(&mut self, n_hosts: usize, now: Instant) -> bool {
        self.remove_expired(now);
        let slack = self.slack / n_hosts.max(1) as f64;
        let allowance = SAFETY_SHARE * (self.ratio * self.requests.len() as f64 + slack);
        if self.retries.len() as f64 + 1.0 > allowance {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn remove_expired(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|it| now.duration_since(*it) > self.window) {
                times.pop_front();
            }
        }
    }
}
