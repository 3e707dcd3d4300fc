//! What a host knows of whether one server is cold.
//!
//! Load pattern: a server restarts while entries of its earlier start still arrive.

use std::time::{Duration, Instant};

use crate::{
    ids::{ServiceId, ZoneId},
    routing::{BackendServer, ColdStart},
};

/// Time for which an entry may have been on its way: its batch at a relay and at this host, and the turns
/// of both. One that arrives within it after an event may have been written before.
const MAX_NEWS_AGE: Duration = Duration::from_secs(1);

/// Whether a server can handle its full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// It is cold, as its entry says.
    Cold,
    /// It may be cold, as it may have started again unnoticed.
    Unknown,
    /// It can handle its full load.
    Warm,
}

/// The latest news of one start of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerWarmth {
    pub(crate) service: ServiceId,
    pub(crate) zone: ZoneId,
    pub(crate) started_ms: u64,
    /// What its entry said last.
    cold_left: Duration,
    /// Time until which it is cold by its entry, or was limited before its entry said that it is warm.
    cold_until: Option<Instant>,
    /// Time of the latest event after which its state is unknown.
    unknown_since: Option<Instant>,
}

impl ServerWarmth {
    /// Creates the record of a server that has the state that its entry says.
    pub(crate) fn by_entry(server: &BackendServer, now: Instant) -> ServerWarmth {
        let cold_until = (!server.cold_left.is_zero()).then(|| now + server.cold_left);
        ServerWarmth {
            service: server.service.clone(),
            zone: server.zone.clone(),
            started_ms: server.started_ms,
            cold_left: server.cold_left,
            cold_until,
            unknown_since: None,
        }
    }

    /// Records an event after which the server may be cold.
    pub(crate) fn note_unknown(&mut self, now: Instant) {
        self.unknown_since = Some(now);
    }

    /// Applies an entry that may be old: it can only say that the server is cold, and says it once.
    pub(crate) fn apply_listed(&mut self, server: &BackendServer, now: Instant) {
        let earlier = std::mem::replace(&mut self.cold_left, server.cold_left);
        if !server.cold_left.is_zero() && server.cold_left != earlier {
            self.cold_until = self.cold_until.max(Some(now + server.cold_left));
        }
    }

    /// Applies an entry that the server has just written.
    pub(crate) fn apply_renewed(
        &mut self,
        server: &BackendServer,
        cold_start: &ColdStart,
        now: Instant,
    ) {
        if self.unknown_since.is_some_and(|it| now < it + MAX_NEWS_AGE) {
            // The server has just written it, so it counts even if it says the same as the one before.
            self.cold_left = Duration::ZERO;
            return self.apply_listed(server, now);
        }
        self.cold_left = server.cold_left;
        let limited_until = self.limited_until(cold_start);
        self.unknown_since = None;
        self.cold_until = match server.cold_left.is_zero() {
            true => limited_until.map(|it| it.min(now)),
            false => Some(now + server.cold_left),
        };
    }

    /// Returns the time until which the server gets a limited rate, or has got it.
    pub(crate) fn limited_until(&self, cold_start: &ColdStart) -> Option<Instant> {
        self.cold_until.max(self.unknown_since.map(|it| it + cold_start.duration))
    }

    pub(crate) fn state(&self, cold_start: &ColdStart, now: Instant) -> ColdState {
        if self.cold_until.is_some_and(|it| now < it) {
            return ColdState::Cold;
        }
        match self.limited_until(cold_start).is_some_and(|it| now < it) {
            true => ColdState::Unknown,
            false => ColdState::Warm,
        }
    }
}
