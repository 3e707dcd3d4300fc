//! Counts the outcomes of requests on one entry host.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use crate::{documents::DocumentStore, report::RequestOutcome};

/// Number of requests that are kept for a look-up.
const KEPT_REQUESTS: usize = 4096;

/// Outcomes of the requests of one process.
#[derive(Debug)]
pub struct RequestAccounts {
    _documents: Arc<DocumentStore>,
    recent: Mutex<VecDeque<RequestOutcome>>,
}

impl RequestAccounts {
    /// Starts without counts; the limits of the service levels come from the charter held.
    pub fn new(documents: Arc<DocumentStore>) -> Arc<RequestAccounts> {
        Arc::new(RequestAccounts { _documents: documents, recent: Mutex::default() })
    }

    /// Counts the end of one request.
    pub fn record(&self, outcome: RequestOutcome) {
        let mut recent = self.recent.lock().unwrap();
        if recent.len() >= KEPT_REQUESTS {
            recent.pop_front();
        }
        recent.push_back(outcome);
    }

    /// The latest requests with this id or idempotency key, newest first.
    pub fn find(&self, id_or_key: &str) -> Vec<RequestOutcome> {
        let recent = self.recent.lock().unwrap();
        let is_named = |it: &&RequestOutcome| {
            it.request_id == id_or_key || it.idempotency_key.as_deref() == Some(id_or_key)
        };
        recent.iter().rev().filter(is_named).cloned().collect()
    }
}
