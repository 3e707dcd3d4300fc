//! Tells when the store last came back, from the times of its responses.

use std::time::{Duration, Instant};

/// Time without a response after which leases may have lapsed in the store; no lease is shorter.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// The latest responses of the store to the calls of a process, and of the processes that relay the
/// store to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    answered: Option<Instant>,
    returned: Option<Instant>,
}

/// The times since the events of a contact, as a relay tells them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContactAges {
    /// Time since the store's latest response.
    pub answered: Option<Duration>,
    /// Time since the store's first response after its latest outage.
    pub returned: Option<Duration>,
}

impl StoreContact {
    /// Records a response of the store. The process calls the store several times in `MIN_OUTAGE`, so
    /// a longer time without a response is an outage.
    pub fn record_answer(&mut self, now: Instant) {
        let before = self.answered.replace(now);
        let Some(silence) = before.map(|it| now.saturating_duration_since(it)) else { return };
        if silence >= MIN_OUTAGE {
            log::info!("store: back after an outage away_ms={}", silence.as_millis());
            self.returned = Some(now);
        }
    }

    /// Records that the store came back, whatever its responses show.
    pub fn record_return(&mut self, now: Instant) {
        self.returned = Some(now);
    }

    /// Adds what a relay knows.
    pub fn merge(&mut self, relayed: ContactAges, now: Instant) {
        let time_of = |age: Option<Duration>| age.and_then(|it| now.checked_sub(it));
        self.answered = self.answered.max(time_of(relayed.answered));
        self.returned = self.returned.max(time_of(relayed.returned));
    }

    /// Returns the greatest age of a change that a process learns now, after it was up to date
    /// `since_up_to_date` ago. While the store is away for everyone who is asked, it acknowledges nothing
    /// that could have come into force, so the age counts from its return.
    pub fn max_change_age(&self, since_up_to_date: Duration, now: Instant) -> Duration {
        let since_return = self.returned.map(|it| now.saturating_duration_since(it));
        since_return.map_or(since_up_to_date, |it| it.min(since_up_to_date))
    }

    /// Returns the time at which the store came back from its latest outage.
    pub fn returned(&self) -> Option<Instant> {
        self.returned
    }

    /// Returns the ages of its events, to be told to others.
    pub fn ages(&self, now: Instant) -> ContactAges {
        let age_of = |it: Option<Instant>| it.map(|it| now.saturating_duration_since(it));
        ContactAges { answered: age_of(self.answered), returned: age_of(self.returned) }
    }
}
