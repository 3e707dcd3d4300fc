//! The backend servers that said in a response that they leave.
//!
//! Load pattern: a server that is shut down goes on answering while its entry in the store is late,
//! comes through another host or from a restored copy. It gets no more requests, whatever is listed;
//! only a later start of the server opens it again. The table of backend servers remembers those whose
//! entries vanished, which may still run; these here said themselves that they leave.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Time for which a removed backend server is remembered, as its entry may come back.
const REMOVED_RECORD_TTL: Duration = Duration::from_secs(600);

/// The backend servers that leave, with the start that said so.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    records: HashMap<BackendId, Record>,
}

#[derive(Clone, Debug)]
struct Record {
    started_ms: u64,
    closed: Instant,
    /// Whether a later start of the server was listed.
    is_reopened: bool,
}

impl LeavingServers {
    /// Records that the start `started_ms` of a backend server leaves; returns `true` if that is new.
    pub fn record(&mut self, backend: &str, started_ms: u64, now: Instant) -> bool {
        if self.is_closed(backend, started_ms) {
            return false;
        }
        let record = Record { started_ms, closed: now, is_reopened: false };
        self.records.insert(backend.to_owned(), record);
        true
    }

    /// Returns `true` if the start `started_ms` of a backend server gets no more requests. An earlier
    /// start than the one that leaves comes from an outdated entry.
    pub fn is_closed(&self, backend: &str, started_ms: u64) -> bool {
        self.records.get(backend).is_some_and(|it| started_ms <= it.started_ms)
    }

    /// Returns for how long a backend server was closed if `started_ms` is the first later start.
    pub fn reopen(&mut self, backend: &str, started_ms: u64, now: Instant) -> Option<Duration> {
        let record = self.records.get_mut(backend)?;
        if record.is_reopened || started_ms <= record.started_ms {
            return None;
        }
        record.is_reopened = true;
        Some(now.saturating_duration_since(record.closed))
    }

    /// Forgets backend servers that were removed and have been closed for long.
    pub fn forget_removed(&mut self, is_registered: impl Fn(&str) -> bool, now: Instant) {
        self.records.retain(|id, it| {
            is_registered(id) || now.saturating_duration_since(it.closed) < REMOVED_RECORD_TTL
        });
    }
}
