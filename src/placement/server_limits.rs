//! The limits on their requests that backend servers named.
//!
//! Load pattern: a server in need takes fewer requests than others, for as long as its responses say so.
//! Responses reach several hosts, some of them late, and a host tells the others what it heard. So the
//! order of two responses is not always known: one that names a stricter limit counts at once, one that
//! names a looser limit or none only if its request began after the limit was last named.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{limit_statement::LimitStatement, ramp, RequestLimit},
};

/// Time for which the end of a limit is remembered, as an older response may still arrive through another
/// host.
const END_RECORD_TTL: Duration = Duration::from_secs(60);
/// Time for which the limit of a removed backend server is remembered, as its entry may come back.
const REMOVED_RECORD_TTL: Duration = Duration::from_secs(600);

/// The limits of backend servers, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    records: HashMap<BackendId, Record>,
}

/// The newest limit of one start of a backend server.
#[derive(Clone, Debug)]
struct Record {
    /// The start that named it, by its entry.
    listed_start_ms: u64,
    /// The latest start that may have named it.
    latest_start_ms: u64,
    limit: RequestLimit,
    /// The limit that was last reported as a change.
    reported: RequestLimit,
    /// Time at which the server first named a limit.
    first_named: Instant,
    /// Begin of the request, and arrival, of the latest response that named one.
    begun: Instant,
    last_named: Instant,
    /// Whether that response arrived at this host.
    is_own: bool,
    end: Option<End>,
    n_held_back: u64,
}

/// The end of a limit.
#[derive(Clone, Copy, Debug)]
struct End {
    /// Begin of the request whose response named no limit.
    begun: Instant,
    /// Arrival of that response.
    arrived: Instant,
}

/// What a response changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// Nothing, or only the age of the limit.
    Unchanged,
    /// The server named a limit that hardly differs from the one that was last reported.
    Adjusted,
    /// The server named another limit, or one for the first time.
    Named,
    /// It names none any more.
    Ended {
        /// Time since it first named one.
        lasted: Duration,
        /// Requests that this host did not send to it.
        n_held_back: u64,
    },
}

impl ServerLimits {
    /// Applies what a response says.
    pub fn record(&mut self, statement: &LimitStatement) -> LimitChange {
        let known = self.records.get_mut(&statement.backend);
        if known.as_ref().is_some_and(|it| statement.latest_start_ms < it.listed_start_ms) {
            return LimitChange::Unchanged;
        }
        match (known, statement.limit) {
            (None, None) => LimitChange::Unchanged,
            (Some(known), None) if statement.started_ms <= known.latest_start_ms => {
                known.end(statement)
            }
            (Some(known), Some(limit)) if statement.started_ms <= known.latest_start_ms => {
                known.renew(statement, limit)
            }
            // Another start, which has said nothing of its own so far.
            (Some(_), None) => {
                self.records.remove(&statement.backend);
                LimitChange::Unchanged
            }
            (_, Some(limit)) => {
                self.records.insert(statement.backend.clone(), Record::new(statement, limit));
                LimitChange::Named
            }
        }
    }

    /// Returns the limit of the start `started_ms` of a backend server, which rises for a while after its
    /// end; `None` if it takes any number of requests.
    pub fn limit(&self, backend: &str, started_ms: u64, now: Instant) -> Option<RequestLimit> {
        let record = self.records.get(backend).filter(|it| started_ms <= it.latest_start_ms)?;
        let Some(end) = record.end else { return Some(record.limit) };
        let growth = ramp::growth(now.saturating_duration_since(end.arrived))?;
        Some(record.limit.grown(growth))
    }

    /// Counts a request that was not sent to a backend server because of its limit.
    pub fn note_held_back(&mut self, backend: &str) {
        if let Some(record) = self.records.get_mut(backend) {
            record.n_held_back += 1;
        }
    }

    /// Returns what the latest response of a backend server said that named a limit, or ended it.
    pub fn statement(&self, backend: &str) -> Option<LimitStatement> {
        Some(self.records.get(backend)?.statement(backend))
    }

    /// Returns what the latest responses of all backend servers with a limit said.
    pub fn statements(&self) -> impl Iterator<Item = LimitStatement> + '_ {
        self.records.iter().filter(|it| it.1.end.is_none()).map(|it| it.1.statement(it.0))
    }

    /// Returns the number of backend servers that name a limit.
    pub fn n_limited(&self) -> usize {
        self.records.values().filter(|it| it.end.is_none()).count()
    }

    /// Returns `true` if no backend server has a limit, or had one lately.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets limits that ended, and those of backend servers that were removed, long ago.
    pub fn forget_old(&mut self, is_registered: impl Fn(&str) -> bool, now: Instant) {
        let age = |it: Instant| now.saturating_duration_since(it);
        self.records.retain(|id, it| match it.end {
            Some(end) => age(end.arrived) < END_RECORD_TTL,
            None => is_registered(id) || age(it.last_named) < REMOVED_RECORD_TTL,
        });
    }
}

impl Record {
    fn new(statement: &LimitStatement, limit: RequestLimit) -> Record {
        Record {
            listed_start_ms: statement.started_ms,
            latest_start_ms: statement.latest_start_ms,
            limit,
            reported: limit,
            first_named: statement.arrived,
            begun: statement.begun,
            last_named: statement.arrived,
            is_own: statement.is_own,
            end: None,
            n_held_back: 0,
        }
    }

    fn statement(&self, backend: &str) -> LimitStatement {
        LimitStatement {
            backend: backend.to_owned(),
            started_ms: self.listed_start_ms,
            latest_start_ms: self.latest_start_ms,
            limit: self.end.is_none().then_some(self.limit),
            begun: self.end.map_or(self.begun, |it| it.begun),
            arrived: self.end.map_or(self.last_named, |it| it.arrived),
            is_own: self.is_own,
        }
    }

    /// Applies a response without a limit.
    fn end(&mut self, statement: &LimitStatement) -> LimitChange {
        if self.end.is_some() || statement.begun < self.last_named {
            return LimitChange::Unchanged;
        }
        self.end = Some(End { begun: statement.begun, arrived: statement.arrived });
        LimitChange::Ended {
            lasted: statement.arrived.saturating_duration_since(self.first_named),
            n_held_back: self.n_held_back,
        }
    }

    /// Applies a response with a limit.
    fn renew(&mut self, statement: &LimitStatement, limit: RequestLimit) -> LimitChange {
        if let Some(end) = self.end {
            // It may be older than the response that ended the limit.
            if statement.arrived < end.begun {
                return LimitChange::Unchanged;
            }
            *self = Record::new(statement, limit);
            return LimitChange::Named;
        }
        let is_later = statement.begun >= self.last_named;
        self.listed_start_ms = self.listed_start_ms.max(statement.started_ms);
        self.latest_start_ms = self.latest_start_ms.max(statement.latest_start_ms);
        if statement.arrived > self.last_named {
            self.begun = statement.begun;
            self.last_named = statement.arrived;
            self.is_own = statement.is_own;
        }
        if limit == self.limit || (limit > self.limit && !is_later) {
            return LimitChange::Unchanged;
        }
        self.limit = limit;
        if limit.is_near(&self.reported) {
            return LimitChange::Adjusted;
        }
        self.reported = limit;
        LimitChange::Named
    }
}
