//! The quarantine, as it concerns one request.

use std::sync::Arc;

use http_types::StatusCode;

use crate::{
    digest::Digest,
    request::{
        failure::Failure,
        quarantine::{QuarantineChange, QuarantineStatus, MAX_CRASHED_HOSTS},
        quarantine_stage::QuarantineStage,
        validated_request::ValidatedRequest,
    },
};

/// Reads and changes the quarantine entry of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestQuarantine {
    stage: Arc<QuarantineStage>,
    fingerprint: Digest,
}

impl RequestQuarantine {
    /// Returns the access to the entry of `incoming`, whose fingerprint is a digest of its path and
    /// body.
    pub(crate) fn new(
        stage: Arc<QuarantineStage>,
        incoming: &ValidatedRequest,
    ) -> RequestQuarantine {
        let mut hasher = blake3::Hasher::new();
        hasher.update(incoming.path.as_bytes());
        hasher.update(&[0]);
        hasher.update(&incoming.body);
        RequestQuarantine { stage, fingerprint: hasher.finalize().into() }
    }

    /// Returns the current status of the request.
    pub(crate) fn status(&self) -> QuarantineStatus {
        self.stage.status_of(&self.fingerprint)
    }

    /// Records that the request crashed the backend server of `host`.
    pub(crate) async fn record_crash(&self, host: &str) {
        let host = host.to_owned();
        let change = QuarantineChange::Crashed { fingerprint: self.fingerprint, host };
        self.stage.record_change(change).await;
    }

    /// Records that the request ran without a crash, so that it is no longer suspect.
    pub(crate) async fn record_success(&self) {
        let change = QuarantineChange::Cleared { fingerprint: self.fingerprint };
        self.stage.record_change(change).await;
    }
}

/// Returns the failure of a request that the quarantine refuses.
///
/// With an idempotency key the verdict is may-have-run, because an earlier call with the same key
/// may have run.
pub(crate) fn refusal(incoming: &ValidatedRequest) -> Failure {
    let message = format!(
        "this request crashed {MAX_CRASHED_HOSTS} backend servers and is refused; \
         change it or ask an operator to clear it"
    );
    if incoming.idempotency_key.is_some() {
        return Failure::may_have_run(StatusCode::UnprocessableEntity, message);
    }
    Failure::not_run(StatusCode::UnprocessableEntity, message)
}
