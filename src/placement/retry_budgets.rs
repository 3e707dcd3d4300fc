//! The retry budgets of one entry host, one for each pool or service.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{ids::ServiceId, placement::WindowedRetryBudget};

/// Retry budgets by pool or service, all with the same limits.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    new_budget: WindowedRetryBudget,
    budgets: HashMap<ServiceId, WindowedRetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets of `ratio` retries per request and `slack` more in each `window`, both for all
    /// entry hosts together.
    pub fn new(ratio: f64, slack: u64, window: Duration) -> RetryBudgets {
        let new_budget = WindowedRetryBudget::new(ratio, slack, window);
        RetryBudgets { new_budget, budgets: HashMap::new() }
    }

    /// Counts a request for a pool or service, which raises its budget.
    pub fn count_request(&mut self, service: &ServiceId, now: Instant) {
        self.budget(service).count_request(now);
    }

    /// Takes one retry from the budget of a pool or service; returns `false` if it is spent. The
    /// slack is divided evenly among `n_hosts` hosts.
    pub fn try_spend_retry(&mut self, service: &ServiceId, n_hosts: usize, now: Instant) -> bool {
        self.budget(service).try_spend_retry(n_hosts, now)
    }

    fn budget(&mut self, service: &ServiceId) -> &mut WindowedRetryBudget {
        self.budgets.entry(service.clone()).or_insert_with(|| self.new_budget.clone())
    }
}
