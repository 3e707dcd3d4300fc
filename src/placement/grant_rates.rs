//! Limits the rate of requests to each server.
//!
//! Load pattern: a server that can handle few requests a second, while many wait. They are spread evenly,
//! with
//! a small burst (the generic cell rate algorithm). Requests before the limit began count too: a server
//! that becomes cold under load has just got some.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{ids::BackendId, placement::RateLimit};

/// Longest time for which earlier requests hold back later ones: the window of the limit.
const WINDOW: Duration = Duration::from_secs(1);

/// The latest grants at each server that has a rate limit.
#[derive(Clone, Debug, Default)]
pub struct GrantRates {
    grants: BTreeMap<BackendId, Grants>,
    /// Time at which the first server that was refused takes a request, since `begin_round`.
    next_due: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Grants {
    /// Time from which no earlier request counts any more.
    idle_from: Instant,
    /// Least time that one of the requests that count was charged.
    charge: Duration,
}

impl GrantRates {
    /// Begins to look for the server that takes a request first.
    pub fn begin_round(&mut self, now: Instant) {
        self.next_due = None;
        self.grants.retain(|_, it| now < it.idle_from);
    }

    /// Returns `true` if a server takes a request now.
    pub fn is_due(&mut self, server: &str, limit: &RateLimit, now: Instant) -> bool {
        let Some(grants) = self.grants.get(server).filter(|_| limit.is_binding) else {
            return true;
        };
        let due = grants.idle_from.checked_sub(limit.burst_time()).unwrap_or(now);
        if due <= now {
            return true;
        }
        self.next_due = Some(self.next_due.map_or(due, |it| it.min(due)));
        false
    }

    /// Records a request to a server.
    pub fn record(&mut self, server: &str, limit: &RateLimit, now: Instant) {
        let earlier = self.grants.get(server).filter(|it| now < it.idle_from);
        let begin = earlier.map_or(now, |it| it.idle_from);
        let charge = earlier.map_or(limit.interval, |it| it.charge.min(limit.interval));
        let idle_from = match limit.is_binding {
            true => begin + limit.interval,
            false => (begin + limit.interval).min(now + WINDOW),
        };
        self.grants.insert(server.to_owned(), Grants { idle_from, charge });
    }

    /// Takes back a request that was not sent.
    pub fn give_back(&mut self, server: &str) {
        let Some(grants) = self.grants.get_mut(server) else { return };
        grants.idle_from = grants.idle_from.checked_sub(grants.charge).unwrap_or(grants.idle_from);
    }

    /// Returns the time at which the first server that was refused since `begin_round` takes a request.
    pub fn next_due(&self) -> Option<Instant> {
        self.next_due
    }
}
