//! Counts the end of one request of a caller.

use std::{sync::Arc, time::Duration, time::Instant};

use crate::{
    report::{RequestAccounts, RequestOutcome},
    request::{incoming::Incoming, relay::StreamEnd},
    verdict::Verdict,
};

/// What is known of a request so far; recorded when it is dropped.
#[derive(Debug)]
pub(crate) struct Account {
    accounts: Arc<RequestAccounts>,
    outcome: Option<RequestOutcome>,
    arrived: Instant,
}

impl Account {
    /// Begins the account of a request that arrived at `arrived`.
    pub(crate) fn new(
        accounts: Arc<RequestAccounts>,
        incoming: &Incoming,
        customer: &str,
        pool: &str,
        arrived: Instant,
    ) -> Account {
        let outcome = RequestOutcome {
            request_id: incoming.id.clone(),
            idempotency_key: incoming.idempotency_key.clone(),
            customer: customer.to_owned(),
            pool: pool.to_owned(),
            host: None,
            is_answered: false,
            verdict: Verdict::NotRun,
            first_token_ms: None,
            wait_ms: Duration::ZERO,
            version_is_intended: true,
        };
        Account { accounts, outcome: Some(outcome), arrived }
    }

    /// Notes that a slot answered, after the request waited `slot_wait` in its queue.
    pub(crate) fn answered_by(
        &mut self,
        host: &str,
        sent: Instant,
        slot_wait: Duration,
        is_intended: bool,
    ) {
        let waited = sent.duration_since(self.arrived) + slot_wait;
        let first = self.arrived.elapsed();
        self.change(|it| {
            it.host = Some(host.to_owned());
            it.verdict = Verdict::Ran;
            it.wait_ms = waited;
            it.first_token_ms = Some(first);
            it.version_is_intended = is_intended;
        });
    }

    /// Notes that the caller has its whole answer.
    pub(crate) fn complete(mut self) {
        self.change(|it| it.is_answered = true);
    }

    /// Notes how a stream ended.
    pub(crate) fn stream_ended(self, end: StreamEnd) {
        if end == StreamEnd::Whole {
            self.complete();
        }
    }

    /// Notes that the caller got an error.
    pub(crate) fn failed(mut self, verdict: Verdict) {
        self.change(|it| it.verdict = verdict);
    }

    fn change(&mut self, change: impl FnOnce(&mut RequestOutcome)) {
        if let Some(outcome) = &mut self.outcome {
            change(outcome);
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            self.accounts.record(outcome);
        }
    }
}
