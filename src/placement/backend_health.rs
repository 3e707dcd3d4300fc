//! Outlier ejection: stops sending requests to backend servers that fail.
//!
//! Handles backend servers that crash, hang, become unreachable or fail a part of their requests.
//! It uses the outcomes of requests and sends no health checks, which would occupy a slot of the
//! engine and may succeed although requests fail.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Number of consecutive failures at which a backend server is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// First ejection time; it doubles with each further ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Time after its last failure for which a removed backend server is remembered, as one that
/// restarts registers again under the same id.
const REMOVED_RECORD_TTL: Duration = Duration::from_secs(60);
/// Weight of the newest outcome in the moving average of the failure rate.
const RATE_GAIN: f64 = 0.1;

/// The health of each backend server, derived from the outcomes of this host's requests.
#[derive(Clone, Debug, Default)]
pub struct BackendHealth {
    records: HashMap<BackendId, Record>,
}

#[derive(Clone, Debug)]
struct Record {
    n_consecutive_failures: u32,
    failure_rate: f64,
    ejection_time: Duration,
    ejected_until: Option<Instant>,
    is_on_probation: bool,
    last_failure: Instant,
}

impl Record {
    fn new(last_failure: Instant) -> Record {
        Record {
            n_consecutive_failures: 0,
            failure_rate: 0.0,
            ejection_time: FIRST_EJECTION,
            ejected_until: None,
            is_on_probation: false,
            last_failure,
        }
    }
}

impl BackendHealth {
    /// Records a successful response, which ends an ejection.
    pub fn record_success(&mut self, backend: &str) {
        let Some(record) = self.records.get_mut(backend) else { return };
        record.n_consecutive_failures = 0;
        record.failure_rate *= 1.0 - RATE_GAIN;
        record.ejection_time = FIRST_EJECTION;
        record.ejected_until = None;
        record.is_on_probation = false;
    }

    /// Records a lost connection, a timeout or an invalid response; returns `true` if it ejects the
    /// backend server.
    ///
    /// Failures of attempts that were running when the server was ejected have the same cause, so
    /// they do not prolong the ejection.
    pub fn record_failure(&mut self, backend: &str, now: Instant) -> bool {
        self.record(backend, MAX_CONSECUTIVE_FAILURES, now)
    }

    /// Records a response that no sound backend server sends, such as a body without end; returns `true`
    /// if it ejects the backend server, for which one such response is enough.
    pub fn record_unsound(&mut self, backend: &str, now: Instant) -> bool {
        self.record(backend, 1, now)
    }

    /// Records a failure that ejects the backend server if it is at least the `n_ejecting`th in a row.
    fn record(&mut self, backend: &str, n_ejecting: u32, now: Instant) -> bool {
        let record = self.records.entry(backend.to_owned()).or_insert_with(|| Record::new(now));
        record.last_failure = now;
        if record.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        record.n_consecutive_failures += 1;
        record.failure_rate += RATE_GAIN * (1.0 - record.failure_rate);
        if record.n_consecutive_failures < n_ejecting && !record.is_on_probation {
            return false;
        }
        record.ejected_until = Some(now + record.ejection_time);
        record.ejection_time = (record.ejection_time * 2).min(MAX_EJECTION);
        record.is_on_probation = true;
        true
    }

    /// Forgets backend servers that were removed and whose last failure is long past.
    pub fn forget_removed(&mut self, is_registered: impl Fn(&str) -> bool, now: Instant) {
        self.records.retain(|id, it| {
            is_registered(id) || now.duration_since(it.last_failure) < REMOVED_RECORD_TTL
        });
    }

    /// Returns `true` if the backend server may receive a request now. After an ejection it is on
    /// probation and receives one request at a time until one succeeds.
    pub fn is_usable(&self, backend: &str, n_in_progress: u32, now: Instant) -> bool {
        let Some(record) = self.records.get(backend) else { return true };
        match record.ejected_until {
            Some(until) if now < until => false,
            Some(_) => n_in_progress == 0,
            None => true,
        }
    }

    /// Returns `true` if the backend server has not served a request since it was ejected.
    pub fn is_on_probation(&self, backend: &str) -> bool {
        self.records.get(backend).is_some_and(|it| it.ejected_until.is_some())
    }

    /// Returns the backend servers that are ejected now.
    pub fn ejected(&self, now: Instant) -> impl Iterator<Item = &BackendId> {
        let is_ejected = move |it: &Record| it.ejected_until.is_some_and(|until| now < until);
        self.records.iter().filter(move |it| is_ejected(it.1)).map(|it| it.0)
    }

    /// Returns the failure rate, a moving average over the latest outcomes.
    pub fn failure_rate(&self, backend: &str) -> f64 {
        self.records.get(backend).map_or(0.0, |it| it.failure_rate)
    }
}
