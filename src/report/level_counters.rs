//! Counts of requests for each customer and service level; the caller passes the current time.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    charter::{Charter, ServiceLevels},
    ids::CustomerId,
    report::{
        burn_counts::{LevelCounts, SERIES_POINTS, SERIES_STEP},
        count_ring::CountRing,
        counts::Counts,
        level::Level,
        request_outcome::RequestOutcome,
        windows::Window,
    },
};

/// Maximum number of customers that are counted; requests of further customers are not counted.
const MAX_CUSTOMERS: usize = 256;

/// Counts how many requests and events met each service level over the last hours.
///
/// There is one ring of counts for each customer and level. All times are measured from the start
/// of the process.
#[derive(Debug, Default)]
pub struct LevelCounters {
    rings: BTreeMap<(Option<CustomerId>, Level), CountRing>,
}

impl LevelCounters {
    /// Counts a completed request against the limits in `levels`.
    pub fn record(&mut self, now: Duration, outcome: &RequestOutcome, levels: &ServiceLevels) {
        if !self.has_room_for(&outcome.customer) {
            return;
        }
        let wait_ms = outcome.wait_ms.as_millis() as u64;
        self.count(now, outcome, Level::Answered, outcome.is_answered, 0);
        self.count(now, outcome, Level::EqualWait, true, wait_ms);
        if let Some(first_token) = outcome.first_token_ms {
            let is_in_time = first_token <= levels.first_token_ms;
            self.count(now, outcome, Level::FirstToken, is_in_time, 0);
        }
        if outcome.is_answered {
            self.count(now, outcome, Level::ExactVersion, outcome.version_is_intended, 0);
        }
    }

    /// Counts an event that concerns the whole deployment, such as a rollout.
    pub fn record_event(&mut self, now: Duration, level: Level, is_in_time: bool) {
        let counts = Counts { good: is_in_time.into(), total: 1, wait_ms: 0 };
        self.rings.entry((None, level)).or_default().add(now, counts);
    }

    /// Returns all counts up to `now`, with the weights of the customers from `charter`.
    pub fn counts(&self, now: Duration, charter: &Charter) -> Vec<LevelCounts> {
        let counts_of = |((customer, level), ring): (&(Option<CustomerId>, Level), &CountRing)| {
            let spec = customer.as_ref().and_then(|it| charter.customers.get(it));
            LevelCounts {
                customer: customer.clone(),
                weight: spec.map_or(0, |it| it.weight),
                level: *level,
                windows: Window::ALL.map(|it| ring.sum(now, it.duration())),
                series: ring.series(now, SERIES_STEP, SERIES_POINTS),
            }
        };
        self.rings.iter().map(counts_of).collect()
    }

    fn count(
        &mut self,
        now: Duration,
        outcome: &RequestOutcome,
        level: Level,
        is_good: bool,
        wait_ms: u64,
    ) {
        let ring = self.rings.entry((Some(outcome.customer.clone()), level)).or_default();
        ring.add(now, Counts { good: is_good.into(), total: 1, wait_ms });
    }

    /// Returns `true` if the customer is counted already or there is room for a new one.
    fn has_room_for(&self, customer: &str) -> bool {
        let key = (Some(customer.to_owned()), Level::Answered);
        self.rings.contains_key(&key) || self.rings.len() < MAX_CUSTOMERS * Level::ALL.len()
    }
}
