//! Counts the outcomes of requests on one entry host.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    documents::DocumentStore,
    metric_names,
    report::{
        account_book::AccountBook, burn_counts::BurnCounts, level::Level,
        request_outcome::RequestOutcome,
    },
};

/// Number of requests that are kept for a look-up.
const KEPT_REQUESTS: usize = 4096;

/// Outcomes of the requests of one process.
#[derive(Debug)]
pub struct RequestAccounts {
    documents: Arc<DocumentStore>,
    started: Instant,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    book: AccountBook,
    recent: VecDeque<RequestOutcome>,
}

impl RequestAccounts {
    /// Starts without counts; the limits of the service levels come from the charter held.
    pub fn new(documents: Arc<DocumentStore>) -> Arc<RequestAccounts> {
        let started = Instant::now();
        Arc::new(RequestAccounts { documents, started, held: Mutex::default() })
    }

    /// Counts the end of one request.
    pub fn record(&self, outcome: RequestOutcome) {
        count_metrics(&outcome);
        let charter = self.documents.charter().unwrap_or_default();
        let mut held = self.held.lock().unwrap();
        held.book.record(self.started.elapsed(), &outcome, &charter.service_levels);
        if held.recent.len() >= KEPT_REQUESTS {
            held.recent.pop_front();
        }
        held.recent.push_back(outcome);
    }

    /// Counts one event of the whole deployment, which took `duration` of at most `limit`.
    pub fn record_event(&self, level: Level, duration: Duration, limit: Duration) {
        let mut held = self.held.lock().unwrap();
        held.book.record_event(self.started.elapsed(), level, duration <= limit);
    }

    /// The counts of this process for the burn report.
    pub fn burn_counts(&self, host: &str) -> BurnCounts {
        let charter = self.documents.charter().unwrap_or_default();
        let held = self.held.lock().unwrap();
        BurnCounts {
            host: host.to_owned(),
            service_levels: charter.service_levels.clone(),
            levels: held.book.counts(self.started.elapsed(), &charter),
        }
    }

    /// The latest requests with this id or idempotency key, newest first.
    pub fn find(&self, id_or_key: &str) -> Vec<RequestOutcome> {
        let held = self.held.lock().unwrap();
        let is_named = |it: &&RequestOutcome| {
            it.request_id == id_or_key || it.idempotency_key.as_deref() == Some(id_or_key)
        };
        held.recent.iter().rev().filter(is_named).cloned().collect()
    }
}

fn count_metrics(outcome: &RequestOutcome) {
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
