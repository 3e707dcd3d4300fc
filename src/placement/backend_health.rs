//! Judges backend servers by the outcomes that this host sees.
//!
//! Liveness probes cost the engine a slot and may lie, so none are sent. Answers to: crashed, dark
//! and cut-off backend servers, and ones that fail a part of their requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Failures in a row after which a backend server rests.
const MAX_FAILURES: u32 = 2;
/// First rest of a backend server.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest rest.
const MAX_REST: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the failure rate.
const RATE_GAIN: f64 = 0.1;

/// What outcomes say of each backend server.
#[derive(Clone, Debug, Default)]
pub struct BackendHealth {
    records: HashMap<BackendId, Record>,
}

#[derive(Clone, Debug)]
struct Record {
    n_failures: u32,
    failure_rate: f64,
    rest: Duration,
    rests_until: Option<Instant>,
    on_trial: bool,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            n_failures: 0,
            failure_rate: 0.0,
            rest: FIRST_REST,
            rests_until: None,
            on_trial: false,
        }
    }
}

impl BackendHealth {
    /// Counts an answer.
    pub fn succeeded(&mut self, backend: &str) {
        let Some(record) = self.records.get_mut(backend) else { return };
        record.n_failures = 0;
        record.failure_rate *= 1.0 - RATE_GAIN;
        record.rest = FIRST_REST;
        record.rests_until = None;
        record.on_trial = false;
    }

    /// Counts a lost connection, a time-out or a broken answer; says whether it rests from now on.
    pub fn failed(&mut self, backend: &str, now: Instant) -> bool {
        let record = self.records.entry(backend.to_owned()).or_default();
        record.n_failures += 1;
        record.failure_rate += RATE_GAIN * (1.0 - record.failure_rate);
        if record.n_failures < MAX_FAILURES && !record.on_trial {
            return false;
        }
        record.rests_until = Some(now + record.rest);
        record.rest = (record.rest * 2).min(MAX_REST);
        record.on_trial = true;
        true
    }

    /// Whether it may get requests now; after a rest it gets one on trial.
    pub fn is_usable(&self, backend: &str, n_in_progress: u32, now: Instant) -> bool {
        let Some(record) = self.records.get(backend) else { return true };
        match record.rests_until {
            Some(until) if now < until => false,
            Some(_) => n_in_progress == 0,
            None => true,
        }
    }

    /// Share of failures among the latest outcomes.
    pub fn failure_rate(&self, backend: &str) -> f64 {
        self.records.get(backend).map_or(0.0, |it| it.failure_rate)
    }

    /// Forgets backend servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.records.retain(|it, _| is_known(it));
    }
}
