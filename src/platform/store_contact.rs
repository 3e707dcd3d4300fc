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
    /// The end of the latest outage in which the process heard other hosts, so that the store was away,
    /// not the process.
    outage_ended: Option<Instant>,
    /// Time since which other hosts have been heard without a gap, and time at which one was heard last.
    heard_since: Option<Instant>,
    heard_last: Option<Instant>,
}

/// The times since the events of a contact, as a relay tells them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContactAges {
    /// Time since the store's latest response.
    pub answered: Option<Duration>,
    /// Time since the store's first response after its latest outage.
    pub returned: Option<Duration>,
    /// Time since the end of the latest outage that was the store's own.
    pub outage_ended: Option<Duration>,
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
            if self.has_heard_others(silence, now) {
                self.outage_ended = Some(now);
            }
        }
    }

    /// Records a message of another host, which shows that this process isn't cut off.
    pub fn record_peer(&mut self, now: Instant) {
        let gap = self.heard_last.replace(now).map(|it| now.saturating_duration_since(it));
        if gap.is_none_or(|it| it >= MIN_OUTAGE) {
            self.heard_since = Some(now);
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
        self.outage_ended = self.outage_ended.max(time_of(relayed.outage_ended));
    }

    /// Returns the greatest age of a change that a process learns now, if it was last up to date
    /// `since_up_to_date` ago. During an outage the store acknowledges no changes, so after one the age is
    /// counted from its end. A process that was cut off itself can't tell.
    pub fn max_change_age(&self, since_up_to_date: Duration, now: Instant) -> Duration {
        let since_outage = self.outage_ended.map(|it| now.saturating_duration_since(it));
        since_outage.map_or(since_up_to_date, |it| it.min(since_up_to_date))
    }

    /// Returns `true` if other hosts were heard all through a silence of the store that ends now, or have
    /// never been heard, as there may be none.
    fn has_heard_others(&self, silence: Duration, now: Instant) -> bool {
        let (Some(since), Some(last)) = (self.heard_since, self.heard_last) else { return true };
        let is_heard_now = now.saturating_duration_since(last) < MIN_OUTAGE;
        is_heard_now && now.saturating_duration_since(since) >= silence
    }

    /// Returns the time at which the store came back from its latest outage.
    pub fn returned(&self) -> Option<Instant> {
        self.returned
    }

    /// Returns the ages of its events, to be told to others.
    pub fn ages(&self, now: Instant) -> ContactAges {
        let age_of = |it: Option<Instant>| it.map(|it| now.saturating_duration_since(it));
        ContactAges {
            answered: age_of(self.answered),
            returned: age_of(self.returned),
            outage_ended: age_of(self.outage_ended),
        }
    }
}
