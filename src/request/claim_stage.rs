//! Runs calls that must take effect at most once.
//!
//! A claim on the idempotency key is made durable before the call is sent, and the outcome is
//! recorded after it. Only the attempt that owns the claim sends the call, so the call of a key is
//! sent at most once whatever fails.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http_types::{Response, StatusCode};
use uuid::Uuid;

use crate::{
    charter::ServiceSpec,
    digest::Digest,
    node::Node,
    objects::PlatformError,
    request::{
        claim_bucket::{CallOutcome, Claim, ClaimChange, ClaimResult},
        claim_key::ClaimKey,
        claim_object::{unix_time, ClaimObject},
        failure::Failure,
        headers,
        validated_request::ValidatedRequest,
    },
    runtime,
    verdict::Verdict,
};

/// Timeout for making a claim durable.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before the caller's deadline at which an attempt to claim is given up, so that the refusal
/// still reaches the caller.
const REFUSAL_MARGIN: Duration = Duration::from_millis(250);
/// Maximum time for which the response to the caller waits until the outcome is recorded; after it
/// recording continues in the background.
const RECORD_WAIT: Duration = Duration::from_secs(1);
/// Timeout for recording an outcome, with retries.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a body that is recorded with an outcome.
const MAX_RECORDED_BYTES: usize = 4096;
/// Age of a claim object's time span after which the object is removed from the cache.
const OBJECT_CACHE_AGE: Duration = Duration::from_secs(600);
/// Interval at which a duplicate call checks a call in progress with the same key.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// `Retry-After` of a response that reports that a claim could not be recorded.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A complete response of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Media type of the body.
    pub(crate) content_type: Option<String>,
    /// Body of the response.
    pub(crate) body: Vec<u8>,
}

/// Runs the calls of one slot under claims on their idempotency keys.
///
/// A duplicate of a call, such as a retry at another slot, gets the recorded outcome instead of a
/// second call to the service.
#[derive(Debug)]
pub(crate) struct ClaimStage {
    node: Arc<Node>,
    objects: Mutex<HashMap<String, CachedObject>>,
    /// Ids of the claims whose calls are in progress at this slot.
    in_progress: Mutex<Vec<Uuid>>,
}

#[derive(Debug)]
struct CachedObject {
    object: Arc<ClaimObject>,
    bucket_start: Option<Duration>,
}

impl ClaimStage {
    /// Creates the stage with an empty cache of claim objects.
    pub(crate) fn new(node: Arc<Node>) -> Arc<ClaimStage> {
        Arc::new(ClaimStage { node, objects: Mutex::default(), in_progress: Mutex::default() })
    }

    /// Runs `call` under a claim on the request's key, or returns the recorded response of the key.
    pub(crate) async fn run<F>(
        self: Arc<Self>,
        incoming: &ValidatedRequest,
        customer: &str,
        service: &str,
        spec: &ServiceSpec,
        call: impl FnOnce() -> F,
    ) -> Result<ServiceResponse, Failure>
    where
        F: Future<Output = Result<ServiceResponse, Failure>>,
    {
        let key = incoming.idempotency_key.as_deref().ok_or_else(missing_key)?;
        let window = spec.claim_window_s;
        let key = ClaimKey::new(service, customer, key, spec.claim_shards, window, unix_time())
            .map_err(|err| Failure::not_run(StatusCode::BadRequest, err.to_string()))?;
        let object = self.object(&key, window);
        let claim = Claim {
            id: Uuid::new_v4(),
            call_digest: call_digest_of(incoming),
            claimed_at_s: unix_time(),
            outcome: None,
        };
        let progress = ProgressGuard::new(self.clone(), claim.id);
        let mut is_refreshed = false;
        loop {
            match self.acquire(&object, &key, &claim, incoming.deadline).await? {
                ClaimResult::Acquired | ClaimResult::Updated => break,
                ClaimResult::AlreadyClaimed(existing) => {
                    let is_running = self.in_progress.lock().unwrap().contains(&existing.id);
                    let is_past_deadline = Instant::now() >= incoming.deadline;
                    match duplicate_action(
                        &claim,
                        existing,
                        is_running && !is_past_deadline,
                        is_refreshed,
                    ) {
                        DuplicateAction::Respond(res) => return res,
                        DuplicateAction::Wait => runtime::sleep(PROGRESS_CHECK_INTERVAL).await,
                        DuplicateAction::Refresh => {
                            object.refresh().await;
                            is_refreshed = true;
                        }
                    }
                }
            }
        }
        let res = if incoming.time_left().is_zero() { Err(claim_timeout()) } else { call().await };
        self.record_outcome(&object, &key, progress, &res).await;
        res
    }

    async fn acquire(
        self: &Arc<Self>,
        object: &Arc<ClaimObject>,
        key: &ClaimKey,
        claim: &Claim,
        deadline: Instant,
    ) -> Result<ClaimResult, Failure> {
        let change =
            ClaimChange::Acquire { entry_key: key.entry_key.clone(), claim: claim.clone() };
        let latest_deadline = deadline.checked_sub(REFUSAL_MARGIN).unwrap_or(deadline);
        let deadline = latest_deadline.min(Instant::now() + CLAIM_TIMEOUT);
        let res = object.commit(&self.node.platform, change, deadline).await;
        res.map_err(|err| {
            log::warn!("claims: failed to record a claim object={} error=\"{err}\"", key.object);
            let release = ClaimChange::Release { entry_key: key.entry_key.clone(), id: claim.id };
            self.commit_in_background(object, release, None);
            claim_failure(&err)
        })
    }

    /// Records the outcome of the call, or releases the claim if the call certainly did not run.
    async fn record_outcome(
        &self,
        object: &Arc<ClaimObject>,
        key: &ClaimKey,
        progress: ProgressGuard,
        res: &Result<ServiceResponse, Failure>,
    ) {
        let entry_key = key.entry_key.clone();
        let id = progress.id;
        let change = match res {
            Ok(response) => {
                ClaimChange::RecordOutcome { entry_key, id, outcome: outcome_of(response) }
            }
            Err(failure) if failure.verdict == Verdict::NotRun => {
                ClaimChange::Release { entry_key, id }
            }
            Err(_) => return,
        };
        let _ = runtime::timeout(
            RECORD_WAIT,
            self.commit_in_background(object, change, Some(progress)).recv(),
        )
        .await;
    }

    /// Commits `change` in the background; the returned channel closes at the end of the commit.
    ///
    /// The call counts as in progress until then, so that a duplicate call waits for the outcome.
    fn commit_in_background(
        &self,
        object: &Arc<ClaimObject>,
        change: ClaimChange,
        progress: Option<ProgressGuard>,
    ) -> async_channel::Receiver<()> {
        let (done, receiver) = async_channel::bounded(1);
        let (node, object) = (self.node.clone(), object.clone());
        runtime::spawn(async move {
            let deadline = Instant::now() + RECORD_TIMEOUT;
            if let Err(err) = object.commit(&node.platform, change, deadline).await {
                log::warn!("claims: failed to record an outcome or a release error=\"{err}\"");
            }
            drop(progress);
            drop(done);
        })
        .detach();
        receiver
    }

    fn object(&self, key: &ClaimKey, window: Duration) -> Arc<ClaimObject> {
        let mut objects = self.objects.lock().unwrap();
        if let Some(cached) = objects.get(&key.object) {
            return cached.object.clone();
        }
        let now = unix_time();
        objects.retain(|_, it| {
            let is_recent = it.bucket_start.is_none_or(|start| start + OBJECT_CACHE_AGE > now);
            is_recent || Arc::strong_count(&it.object) > 1
        });
        let max_age = key.bucket_start.is_none().then_some(window);
        let object = Arc::new(ClaimObject::new(&key.object, max_age));
        let cached = CachedObject { object: object.clone(), bucket_start: key.bucket_start };
        objects.insert(key.object.clone(), cached);
        object
    }
}

/// The next step for a call whose key is already claimed.
enum DuplicateAction {
    /// Respond with the result.
    Respond(Result<ServiceResponse, Failure>),
    /// Wait for the first call, which is in progress at this slot.
    Wait,
    /// Read the claim again: another slot may have recorded the outcome.
    Refresh,
}

fn duplicate_action(
    claim: &Claim,
    existing: Claim,
    is_running: bool,
    is_refreshed: bool,
) -> DuplicateAction {
    if existing.call_digest != claim.call_digest {
        let message = "the idempotency key was used for a different call; use a new key";
        let failure = Failure::not_run(StatusCode::UnprocessableEntity, message);
        return DuplicateAction::Respond(Err(failure));
    }
    if let Some(outcome) = existing.outcome {
        return DuplicateAction::Respond(recorded_response(outcome));
    }
    match (is_running, is_refreshed) {
        (true, _) => DuplicateAction::Wait,
        (false, false) => DuplicateAction::Refresh,
        (false, true) => DuplicateAction::Respond(Err(unknown_outcome())),
    }
}

/// Marks a claim's call as in progress at this slot until it is dropped.
struct ProgressGuard {
    stage: Arc<ClaimStage>,
    id: Uuid,
}

impl ProgressGuard {
    fn new(stage: Arc<ClaimStage>, id: Uuid) -> ProgressGuard {
        stage.in_progress.lock().unwrap().push(id);
        ProgressGuard { stage, id }
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.stage.in_progress.lock().unwrap().retain(|it| *it != self.id);
    }
}

fn call_digest_of(incoming: &ValidatedRequest) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(incoming.method.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(incoming.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&incoming.body);
    hasher.finalize().into()
}

fn outcome_of(response: &ServiceResponse) -> CallOutcome {
    let is_short = response.body.len() <= MAX_RECORDED_BYTES;
    let text = String::from_utf8(response.body.clone()).ok();
    CallOutcome {
        status: response.status.into(),
        content_type: response.content_type.clone(),
        body: text.filter(|_| is_short),
    }
}

fn recorded_response(outcome: CallOutcome) -> Result<ServiceResponse, Failure> {
    let status = StatusCode::try_from(outcome.status).unwrap_or(StatusCode::Ok);
    let Some(body) = outcome.body else {
        let message =
            "the call ran before, but its response was not recorded because it was too long or \
             not text; look up the result at the service";
        return Err(Failure::ran(StatusCode::Conflict, message));
    };
    Ok(ServiceResponse { status, content_type: outcome.content_type, body: body.into_bytes() })
}

impl ServiceResponse {
    /// Returns the HTTP response to the entry host.
    pub(crate) fn into_response(self, request_id: &str) -> Response {
        let mut response = Response::new(self.status);
        response.set_body(self.body);
        response.insert_header(headers::REQUEST_ID, request_id);
        response.insert_header(headers::VERDICT, Verdict::Ran.as_str());
        if let Some(content_type) = self.content_type {
            response.insert_header("Content-Type", content_type);
        }
        response
    }
}

fn missing_key() -> Failure {
    let message = "calls of this service take effect at most once; send Idempotency-Key";
    Failure::not_run(StatusCode::BadRequest, message)
}

fn claim_failure(err: &PlatformError) -> Failure {
    let message = match err {
        PlatformError::Refused(_, 413) => {
            "too many keys without an issue time in the claim window; use UUIDv7 keys".to_owned()
        }
        _ => format!("the claim can't be recorded: {err}; retry later with the same key"),
    };
    let mut failure = Failure::not_run(StatusCode::ServiceUnavailable, message)
        .with_retry_after(OUTAGE_RETRY_AFTER);
    failure.is_platform_unavailable = true;
    failure
}

fn claim_timeout() -> Failure {
    let message = "recording the claim took until the deadline; retry with the same key";
    Failure::not_run(StatusCode::GatewayTimeout, message)
}

fn unknown_outcome() -> Failure {
    let message = "a call with this key was started and its outcome is not recorded; \
                   check at the service whether it ran";
    Failure::may_have_run(StatusCode::Conflict, message)
}
