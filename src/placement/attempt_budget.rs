//! Bounds attempts beyond the first of each request, so that they never feed an overload.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the deployment's allowance that the hosts use together.
const SAFETY_SHARE: f64 = 0.85;

/// Attempts at one pool or service by one entry host, in a sliding window.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl AttemptBudget {
    /// Makes a budget of `ratio` of the requests and `slack` more in each `window`.
    pub fn new(ratio: f64, slack: u64, window: Duration) -> AttemptBudget {
        AttemptBudget {
            ratio,
            slack: slack as f64,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one further attempt; says whether the window allows it for one of `n_hosts` hosts.
    pub fn take_repeat(&mut self, n_hosts: usize, now: Instant) -> bool {
        self.forget(now);
        let slack = self.slack / n_hosts.max(1) as f64;
        let allowance = SAFETY_SHARE * (self.ratio * self.requests.len() as f64 + slack);
        if self.repeats.len() as f64 + 1.0 > allowance {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|it| now.duration_since(*it) > self.window) {
                times.pop_front();
            }
        }
    }
}
