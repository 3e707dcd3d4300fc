//! Records the outcome of one request of a caller.

use std::{sync::Arc, time::Duration, time::Instant};

use crate::{
    report::{RequestHistory, RequestOutcome},
    request::{relay::StreamEnd, validated_request::ValidatedRequest},
    verdict::Verdict,
};

/// Collects the outcome of a request and records it in the request history when dropped.
///
/// A request that is dropped early, for example because its caller disconnected, is recorded too.
#[derive(Debug)]
pub(crate) struct RequestRecorder {
    history: Arc<RequestHistory>,
    outcome: Option<RequestOutcome>,
    arrived_at: Instant,
}

impl RequestRecorder {
    /// Creates the recorder of a request that arrived at `arrived_at`.
    pub(crate) fn new(
        history: Arc<RequestHistory>,
        incoming: &ValidatedRequest,
        customer: &str,
        pool: &str,
        arrived_at: Instant,
    ) -> RequestRecorder {
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
        RequestRecorder { history, outcome: Some(outcome), arrived_at }
    }

    /// Records that the slot at `host` responded, after `slot_wait` in the slot's queue.
    pub(crate) fn record_response(
        &mut self,
        host: &str,
        sent_at: Instant,
        slot_wait: Duration,
        is_intended: bool,
    ) {
        let total_wait = sent_at.duration_since(self.arrived_at) + slot_wait;
        let first_token = self.arrived_at.elapsed();
        self.update(|it| {
            it.host = Some(host.to_owned());
            it.verdict = Verdict::Ran;
            it.wait_ms = total_wait;
            it.first_token_ms = Some(first_token);
            it.version_is_intended = is_intended;
        });
    }

    /// Records that the response to the caller is complete.
    pub(crate) fn record_success(mut self) {
        self.update(|it| it.is_answered = true);
    }

    /// Records how a stream ended; only a complete one counts as a success.
    pub(crate) fn record_stream_end(self, end: StreamEnd) {
        if end == StreamEnd::Complete {
            self.record_success();
        }
    }

    /// Records that the caller received an error with `verdict`.
    pub(crate) fn record_failure(mut self, verdict: Verdict) {
        self.update(|it| it.verdict = verdict);
    }

    fn update(&mut self, apply: impl FnOnce(&mut RequestOutcome)) {
        if let Some(outcome) = &mut self.outcome {
            apply(outcome);
        }
    }
}

impl Drop for RequestRecorder {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            self.history.record(outcome);
        }
    }
}
