//! The outcomes of the requests of one entry host, for look-ups and the burn report.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    documents::DocumentStore,
    metric_names,
    report::{
        burn_counts::BurnCounts, level::Level, level_counters::LevelCounters,
        request_outcome::RequestOutcome,
    },
};

/// Number of recent requests that are kept for look-ups.
const MAX_RECENT_REQUESTS: usize = 4096;

/// Recent request outcomes and service-level counts of one process.
///
/// Finds requests by request id or idempotency key and provides the counts of the burn report.
#[derive(Debug)]
pub struct RequestHistory {
    documents: Arc<DocumentStore>,
    started: Instant,
    inner: Mutex<Inner>,
}

/// State behind the lock.
#[derive(Debug, Default)]
struct Inner {
    counters: LevelCounters,
    recent: VecDeque<RequestOutcome>,
}

impl RequestHistory {
    /// Creates an empty history; the limits of the service levels are read from the charter in
    /// `documents`.
    pub fn new(documents: Arc<DocumentStore>) -> Arc<RequestHistory> {
        let started = Instant::now();
        Arc::new(RequestHistory { documents, started, inner: Mutex::default() })
    }

    /// Records the outcome of one request in the metrics, the counts and the recent requests.
    pub fn record(&self, outcome: RequestOutcome) {
        record_metrics(&outcome);
        let charter = self.documents.charter().unwrap_or_default();
        let mut inner = self.inner.lock().unwrap();
        inner.counters.record(self.started.elapsed(), &outcome, &charter.service_levels);
        if inner.recent.len() >= MAX_RECENT_REQUESTS {
            inner.recent.pop_front();
        }
        inner.recent.push_back(outcome);
    }

    /// Counts an event of the whole deployment that took `duration`; it meets `level` if that is at
    /// most `limit`.
    pub fn record_event(&self, level: Level, duration: Duration, limit: Duration) {
        let mut inner = self.inner.lock().unwrap();
        inner.counters.record_event(self.started.elapsed(), level, duration <= limit);
    }

    /// Returns the counts of this process for the burn report.
    pub fn burn_counts(&self, host: &str) -> BurnCounts {
        let charter = self.documents.charter().unwrap_or_default();
        let inner = self.inner.lock().unwrap();
        BurnCounts {
            host: host.to_owned(),
            service_levels: charter.service_levels.clone(),
            levels: inner.counters.counts(self.started.elapsed(), &charter),
        }
    }

    /// Returns the recent requests with this id or idempotency key, newest first.
    pub fn find(&self, id_or_key: &str) -> Vec<RequestOutcome> {
        let inner = self.inner.lock().unwrap();
        let matches_id = |it: &&RequestOutcome| {
            it.request_id == id_or_key || it.idempotency_key.as_deref() == Some(id_or_key)
        };
        inner.recent.iter().rev().filter(matches_id).cloned().collect()
    }
}

fn record_metrics(outcome: &RequestOutcome) {
    let customer = outcome.customer.clone();
    let labels = [
        ("customer", customer.clone()),
        ("pool", outcome.pool.clone()),
        ("verdict", outcome.verdict.as_str().to_owned()),
        ("answered", outcome.is_answered.to_string()),
    ];
    metrics::counter!(metric_names::REQUESTS, &labels).increment(1);
    let wait = metrics::histogram!(metric_names::WAIT_SECONDS, "customer" => customer.clone());
    wait.record(outcome.wait_ms.as_secs_f64());
    if let Some(first_token) = outcome.first_token_ms {
        metrics::histogram!(metric_names::FIRST_TOKEN_SECONDS, "customer" => customer)
            .record(first_token.as_secs_f64());
    }
}
