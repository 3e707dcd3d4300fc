//! The backend servers that asked this host for a pause.
//!
//! Load pattern: overload. A server that is full refuses requests and names the time for which it
//! wants no more. Requests that it would refuse again go elsewhere at once, or back to their callers
//! with the time of the first server that takes them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Time of a pause after which one request tries the server, and once more after the same time, so that
/// one wrong response does not take a server away for good.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of requests that try a server in one pause. More would press on one that keeps
/// refusing.
const MAX_TRIALS: u32 = 2;
/// Longest pause that is kept to, after which that of a removed server is forgotten too.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// The pauses of backend servers.
///
/// A pause binds the host that was refused: others may have less in progress there.
#[derive(Clone, Debug, Default)]
pub struct PausedServers {
    pauses: HashMap<BackendId, Pause>,
}

#[derive(Clone, Debug)]
struct Pause {
    /// The start of the server that asked for it, by its entry.
    listed_start_ms: u64,
    /// The latest start that may have asked for it.
    latest_start_ms: u64,
    begun: Instant,
    end: Instant,
    /// Time from which one request may try the server.
    next_trial: Instant,
    /// The number of requests that have tried it.
    n_trials: u32,
}

impl PausedServers {
    /// Records that a backend server, whose entry lists the start `started_ms`, asked for a pause;
    /// returns `true` if it begins one, not if one goes on. The latest end counts.
    ///
    /// `asked_ms` is the time of day of its response in milliseconds since the Unix epoch: a new start
    /// may respond before its entry is known, but not before its own time.
    pub fn record(
        &mut self,
        backend: &str,
        started_ms: u64,
        pause: Duration,
        asked_ms: u64,
        now: Instant,
    ) -> bool {
        if pause.is_zero() {
            return false;
        }
        let latest_start_ms = started_ms.max(asked_ms);
        let end = now + pause.min(MAX_PAUSE);
        let next_trial = now + TRIAL_INTERVAL;
        match self.pauses.get_mut(backend).filter(|it| now < it.end) {
            // A late response of an earlier start says nothing of the present one.
            Some(running) if started_ms < running.listed_start_ms => false,
            Some(running) if started_ms <= running.latest_start_ms => {
                running.listed_start_ms = started_ms;
                running.latest_start_ms = running.latest_start_ms.max(latest_start_ms);
                running.end = running.end.max(end);
                running.next_trial = next_trial;
                false
            }
            _ => {
                let begun = Pause {
                    listed_start_ms: started_ms,
                    latest_start_ms,
                    begun: now,
                    end,
                    next_trial,
                    n_trials: 0,
                };
                self.pauses.insert(backend.to_owned(), begun);
                true
            }
        }
    }

    /// Returns the time until the start `started_ms` of a backend server takes requests again, or
    /// `None` if it takes them now.
    pub fn time_left(&self, backend: &str, started_ms: u64, now: Instant) -> Option<Duration> {
        let pause = self.pauses.get(backend).filter(|it| started_ms <= it.latest_start_ms)?;
        let until = match pause.n_trials < MAX_TRIALS {
            true => pause.end.min(pause.next_trial),
            false => pause.end,
        };
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records that a request to the start `started_ms` of a backend server is begun, which may be
    /// the one that tries it.
    pub fn note_begun(&mut self, backend: &str, started_ms: u64, now: Instant) {
        let Some(pause) = self.pauses.get_mut(backend) else { return };
        if started_ms <= pause.latest_start_ms && pause.next_trial <= now {
            pause.next_trial = now + TRIAL_INTERVAL;
            pause.n_trials += 1;
        }
    }

    /// Records that the start `started_ms` of a backend server served a request: that ends a pause in
    /// which a request has tried the server, whose length is returned.
    pub fn note_served(
        &mut self,
        backend: &str,
        started_ms: u64,
        now: Instant,
    ) -> Option<Duration> {
        let pause = self.pauses.get(backend)?;
        if pause.n_trials == 0 || started_ms > pause.latest_start_ms {
            return None;
        }
        let length = now.saturating_duration_since(pause.begun);
        self.pauses.remove(backend);
        Some(length)
    }

    /// Returns the time until the first of `servers`, given by id and start, takes requests again, if
    /// all of them pause.
    pub fn time_until_first<'a>(
        &self,
        servers: impl IntoIterator<Item = (&'a str, u64)>,
        now: Instant,
    ) -> Option<Duration> {
        let left = |it: (&str, u64)| self.time_left(it.0, it.1, now);
        let all_left: Option<Vec<Duration>> = servers.into_iter().map(left).collect();
        all_left?.into_iter().min()
    }

    /// Returns `true` if there is no pause.
    pub fn is_empty(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Removes the pauses that have ended, and returns their backend servers and lengths.
    pub fn expire(&mut self, now: Instant) -> Vec<(BackendId, Duration)> {
        let ended = |it: &Pause| now >= it.end;
        let expired: Vec<(BackendId, Duration)> = self
            .pauses
            .iter()
            .filter(|it| ended(it.1))
            .map(|it| (it.0.clone(), it.1.end - it.1.begun))
            .collect();
        self.pauses.retain(|_, it| !ended(it));
        expired
    }
}
