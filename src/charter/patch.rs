//! Writes a patch to the charter object of the platform and sends the result to other processes.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use serde_bytes::ByteBuf;
use serde_json::Value;

use crate::{
    charter::{
        charter_patch,
        patch_attempt::{precondition_of, PatchAttempt, PatchStep, WriteResult},
        patch_request::{PatchOutcome, PatchRequest, PatchState},
        push::push_document,
    },
    ids::DocumentNumber,
    node::Node,
    objects::{Object, PlatformClient, PlatformError},
    peer::{Document, DocumentName},
    runtime,
    verdict::Verdict,
};

/// Name of the charter object at the platform.
const CHARTER_OBJECT: &str = "charter";
/// First delay before a call is retried.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay before a call is retried.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Timeout for determining the state of a patch.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Applies a patch to the charter; every outcome except `Unsettled` is final.
///
/// When this returns, an accepted charter is in force in this process and was pushed to others.
pub async fn patch(node: &Node, request: PatchRequest) -> PatchOutcome {
    let id = request.id.clone();
    let local_number = node.documents.charter_number();
    let (outcome, text) = settle(&node.platform, request, local_number).await;
    log::info!("charter: processed a patch id={id} outcome={outcome:?}");
    if let Some(document) = text.and_then(charter_document) {
        apply_and_push(node, document).await;
    }
    outcome
}

/// Returns the state of the patch `id`, which is marked as refused if it was not accepted.
///
/// A patch that is reported as refused never takes effect.
pub async fn patch_state(node: &Node, id: &str) -> PatchState {
    let settle = refuse_unless_accepted(node, id);
    runtime::timeout(STATE_TIMEOUT, settle).await.unwrap_or(PatchState::Unknown)
}

async fn settle(
    platform: &PlatformClient,
    request: PatchRequest,
    local_number: DocumentNumber,
) -> (PatchOutcome, Option<Vec<u8>>) {
    let deadline = request.deadline;
    let mut attempt = PatchAttempt::new(request, local_number);
    let mut step = PatchStep::Read;
    let mut reason = "the platform did not respond in time".to_owned();
    let mut backoff = Backoff::new();
    loop {
        step = match step {
            PatchStep::Done(outcome, text) => return (outcome, text),
            PatchStep::Read => {
                match before_deadline(deadline, platform.get(CHARTER_OBJECT)).await {
                    Some(Ok(object)) => attempt.on_read(object),
                    Some(Err(err)) => {
                        reason = err.to_string();
                        PatchStep::Read
                    }
                    None => return (attempt.outcome_at_deadline(&reason), None),
                }
            }
            PatchStep::Write(write) => {
                let put = platform.put(CHARTER_OBJECT, &write.value, write.precondition);
                match before_deadline(deadline, put).await {
                    Some(res) => attempt.on_write(write_result(res, &mut reason)),
                    None => return (attempt.outcome_at_deadline(&reason), None),
                }
            }
        };
        if step == PatchStep::Read && before_deadline(deadline, backoff.wait()).await.is_none() {
            return (attempt.outcome_at_deadline(&reason), None);
        }
    }
}

async fn refuse_unless_accepted(node: &Node, id: &str) -> PatchState {
    let mut backoff = Backoff::new();
    loop {
        if let Ok(object) = node.platform.get(CHARTER_OBJECT).await {
            if let Some(state) = try_refuse(node, id, object).await {
                return state;
            }
        }
        backoff.wait().await;
    }
}

/// Marks the patch `id` as refused unless it was accepted, and returns its state; `None` if this
/// failed, or if the platform has an older charter than this process.
///
/// The write creates a new revision, so that a delayed write for an older one can't take effect.
async fn try_refuse(node: &Node, id: &str, object: Option<Object>) -> Option<PatchState> {
    let revision = object.as_ref().map_or(0, |it| it.revision);
    let text = object.map_or_else(charter_patch::empty_charter, |it| it.value);
    let mut charter: Value = serde_json::from_slice(&text).ok()?;
    if let Some(number) = charter_patch::accepted_number(&charter, id) {
        return Some(PatchState::Accepted(number));
    }
    // An older charter can't tell that a patch was not accepted.
    if charter_patch::number_of(&charter) < node.documents.charter_number() {
        return None;
    }
    if charter_patch::is_refused(&charter, id) {
        return Some(PatchState::Refused);
    }
    charter_patch::mark_refused(&mut charter, id);
    let text = charter.to_string().into_bytes();
    let put = node.platform.put(CHARTER_OBJECT, &text, precondition_of(revision)).await;
    put.is_ok().then_some(PatchState::Refused)
}

fn write_result(res: Result<u64, PlatformError>, reason: &mut String) -> WriteResult {
    match res {
        Ok(revision) => WriteResult::Written(revision),
        Err(PlatformError::Conflict(_)) => WriteResult::Conflict,
        Err(err) => {
            *reason = err.to_string();
            match err.verdict() {
                Verdict::NotRun => WriteResult::NotRun,
                Verdict::Ran | Verdict::MayHaveRun => WriteResult::Lost,
            }
        }
    }
}

fn charter_document(text: Vec<u8>) -> Option<Document> {
    let charter: Value = serde_json::from_slice(&text).ok()?;
    let number = charter_patch::number_of(&charter);
    Some(Document { name: DocumentName::Charter, number, json: ByteBuf::from(text) })
}

async fn apply_and_push(node: &Node, document: Document) {
    if let Err(err) = node.documents.offer(document.clone()) {
        log::error!("charter: failed to apply the accepted charter error=\"{err}\"");
        return;
    }
    push_document(node, document).await;
}

async fn before_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let limit = deadline.saturating_duration_since(Instant::now());
    runtime::timeout(limit, future).await.ok()
}

/// Exponential backoff with jitter between calls to the platform.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Backoff {
        Backoff(INITIAL_BACKOFF)
    }

    async fn wait(&mut self) {
        runtime::sleep(self.0.mul_f64(0.5 + fastrand::f64())).await;
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}
