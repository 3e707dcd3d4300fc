//! Runs calls that must take effect at most once.
//!
//! The claim is durable before the call goes out, its outcome is recorded after. Whatever fails,
//! a key's call goes out at most once, because only the attempt whose claim stands sends it.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http_types::{Response, StatusCode};
use uuid::Uuid;

use crate::{
    charter::ServiceTerms,
    digest::Digest,
    node::Node,
    objects::PlatformError,
    request::{
        claim_bucket::{CallOutcome, Claim, ClaimAnswer, ClaimChange},
        claim_key::ClaimKey,
        claim_object::{since_1970, ClaimObject},
        failure::Failure,
        headers,
        validated_request::ValidatedRequest,
    },
    runtime,
    verdict::Verdict,
};

/// Longest wait until a claim is durable.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before the caller's deadline at which a claim is given up, so that the refusal arrives.
const REFUSAL_MARGIN: Duration = Duration::from_millis(250);
/// Longest wait of a caller for the record of its outcome; the record goes on without it.
const SETTLE_WAIT: Duration = Duration::from_secs(1);
/// Time for which an outcome is tried to be recorded.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest body that is recorded with an outcome.
const MAX_RECORDED_BYTES: usize = 4096;
/// Age at which an object of issue times is no longer kept in memory.
const OBJECT_KEPT_FOR: Duration = Duration::from_secs(600);
/// Pause between two looks at a call in progress with the same key.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause that a refused caller is asked to make.
const OUTAGE_PAUSE: Duration = Duration::from_secs(2);

/// A whole answer of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Media type of the body.
    pub(crate) content_type: Option<String>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// Claims of one slot.
#[derive(Debug)]
pub(crate) struct ClaimStage {
    node: Arc<Node>,
    objects: Mutex<HashMap<String, CachedObject>>,
    /// Claims whose calls are in progress here.
    in_progress: Mutex<Vec<Uuid>>,
}

#[derive(Debug)]
struct CachedObject {
    object: Arc<ClaimObject>,
    bucket_start: Option<Duration>,
}

impl ClaimStage {
    /// Knows no claim.
    pub(crate) fn new(node: Arc<Node>) -> Arc<ClaimStage> {
        Arc::new(ClaimStage { node, objects: Mutex::default(), in_progress: Mutex::default() })
    }

    /// Runs `call` under a claim of the request's key, or gives the recorded answer.
    pub(crate) async fn run<F>(
        self: Arc<Self>,
        incoming: &ValidatedRequest,
        customer: &str,
        service: &str,
        terms: &ServiceTerms,
        call: impl FnOnce() -> F,
    ) -> Result<ServiceAnswer, Failure>
    where
        F: Future<Output = Result<ServiceAnswer, Failure>>,
    {
        let key = incoming.idempotency_key.as_deref().ok_or_else(no_key)?;
        let window = terms.claim_window_s;
        let key = ClaimKey::new(service, customer, key, terms.claim_shards, window, since_1970())
            .map_err(|err| Failure::not_run(StatusCode::BadRequest, err.to_string()))?;
        let object = self.object(&key, window);
        let claim = Claim {
            id: Uuid::new_v4(),
            call_digest: digest_of(incoming),
            claimed_at_s: since_1970(),
            outcome: None,
        };
        let progress = ProgressGuard::new(self.clone(), claim.id);
        let mut is_fresh = false;
        loop {
            match self.take(&object, &key, &claim, incoming.deadline).await? {
                ClaimAnswer::Held | ClaimAnswer::Noted => break,
                ClaimAnswer::Taken(first) => {
                    let is_running = self.in_progress.lock().unwrap().contains(&first.id);
                    let is_due = Instant::now() >= incoming.deadline;
                    match second_call(&claim, first, is_running && !is_due, is_fresh) {
                        SecondCall::Answer(res) => return res,
                        SecondCall::Wait => runtime::sleep(PROGRESS_CHECK_INTERVAL).await,
                        SecondCall::Refresh => {
                            object.refresh().await;
                            is_fresh = true;
                        }
                    }
                }
            }
        }
        let res = if incoming.time_left().is_zero() { Err(too_late()) } else { call().await };
        self.settle(&object, &key, progress, &res).await;
        res
    }

    async fn take(
        self: &Arc<Self>,
        object: &Arc<ClaimObject>,
        key: &ClaimKey,
        claim: &Claim,
        deadline: Instant,
    ) -> Result<ClaimAnswer, Failure> {
        let change = ClaimChange::Take { entry: key.entry.clone(), claim: claim.clone() };
        let latest = deadline.checked_sub(REFUSAL_MARGIN).unwrap_or(deadline);
        let deadline = latest.min(Instant::now() + CLAIM_TIMEOUT);
        let res = object.commit(&self.node.platform, change, deadline).await;
        res.map_err(|err| {
            log::warn!("claims: no claim object={} error=\"{err}\"", key.object);
            let release = ClaimChange::Release { entry: key.entry.clone(), id: claim.id };
            self.note(object, release, None);
            not_claimed(&err)
        })
    }

    /// Records how the call ended, or gives the claim back if it certainly did not run.
    async fn settle(
        &self,
        object: &Arc<ClaimObject>,
        key: &ClaimKey,
        progress: ProgressGuard,
        res: &Result<ServiceAnswer, Failure>,
    ) {
        let entry = key.entry.clone();
        let id = progress.id;
        let change = match res {
            Ok(answer) => ClaimChange::Settle { entry, id, outcome: outcome_of(answer) },
            Err(failure) if failure.verdict == Verdict::NotRun => {
                ClaimChange::Release { entry, id }
            }
            Err(_) => return,
        };
        let _ =
            runtime::timeout(SETTLE_WAIT, self.note(object, change, Some(progress)).recv()).await;
    }

    /// Commits `change` in the background; the channel ends with the commit.
    ///
    /// The call counts as in progress until then, so that a second call waits for the outcome.
    fn note(
        &self,
        object: &Arc<ClaimObject>,
        change: ClaimChange,
        progress: Option<ProgressGuard>,
    ) -> async_channel::Receiver<()> {
        let (done, receiver) = async_channel::bounded(1);
        let (node, object) = (self.node.clone(), object.clone());
        runtime::spawn(async move {
            let deadline = Instant::now() + SETTLE_TIMEOUT;
            if let Err(err) = object.commit(&node.platform, change, deadline).await {
                log::warn!("claims: outcome not recorded error=\"{err}\"");
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
        let now = since_1970();
        objects.retain(|_, it| {
            let is_recent = it.bucket_start.is_none_or(|start| start + OBJECT_KEPT_FOR > now);
            is_recent || Arc::strong_count(&it.object) > 1
        });
        let max_age = key.bucket_start.is_none().then_some(window);
        let object = Arc::new(ClaimObject::new(&key.object, max_age));
        let cached = CachedObject { object: object.clone(), bucket_start: key.bucket_start };
        objects.insert(key.object.clone(), cached);
        object
    }
}

/// What a call does whose key is claimed already.
enum SecondCall {
    /// It is answered.
    Answer(Result<ServiceAnswer, Failure>),
    /// It waits for the first call, which is in progress here.
    Wait,
    /// It reads the claim again, which another slot may have settled.
    Refresh,
}

fn second_call(claim: &Claim, first: Claim, is_running: bool, is_fresh: bool) -> SecondCall {
    if first.call_digest != claim.call_digest {
        let message = "the idempotency key was used with another call; use a new key";
        let failure = Failure::not_run(StatusCode::UnprocessableEntity, message);
        return SecondCall::Answer(Err(failure));
    }
    if let Some(outcome) = first.outcome {
        return SecondCall::Answer(recorded(outcome));
    }
    match (is_running, is_fresh) {
        (true, _) => SecondCall::Wait,
        (false, false) => SecondCall::Refresh,
        (false, true) => SecondCall::Answer(Err(unknown_outcome())),
    }
}

/// Marks a claim as in progress here.
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

fn digest_of(incoming: &ValidatedRequest) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(incoming.method.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(incoming.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&incoming.body);
    hasher.finalize().into()
}

fn outcome_of(answer: &ServiceAnswer) -> CallOutcome {
    let is_short = answer.body.len() <= MAX_RECORDED_BYTES;
    let text = String::from_utf8(answer.body.clone()).ok();
    CallOutcome {
        status: answer.status.into(),
        content_type: answer.content_type.clone(),
        body: text.filter(|_| is_short),
    }
}

fn recorded(outcome: CallOutcome) -> Result<ServiceAnswer, Failure> {
    let status = StatusCode::try_from(outcome.status).unwrap_or(StatusCode::Ok);
    let Some(body) = outcome.body else {
        let message = "the call ran before; its answer was too long to be recorded";
        return Err(Failure::ran(StatusCode::Conflict, message));
    };
    Ok(ServiceAnswer { status, content_type: outcome.content_type, body: body.into_bytes() })
}

impl ServiceAnswer {
    /// The answer as it goes to the entry host.
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

fn no_key() -> Failure {
    let message = "calls of this service take effect at most once; send Idempotency-Key";
    Failure::not_run(StatusCode::BadRequest, message)
}

fn not_claimed(err: &PlatformError) -> Failure {
    let message = match err {
        PlatformError::Refused(_, 413) => {
            "too many keys without issue time in the window; use UUIDv7 keys".to_owned()
        }
        _ => format!("the claim can't be recorded: {err}; send the same key again later"),
    };
    let mut failure =
        Failure::not_run(StatusCode::ServiceUnavailable, message).with_retry_after(OUTAGE_PAUSE);
    failure.is_platform_unavailable = true;
    failure
}

fn too_late() -> Failure {
    let message = "the claim took until the deadline; send the same key again";
    Failure::not_run(StatusCode::GatewayTimeout, message)
}

fn unknown_outcome() -> Failure {
    let message = "a call with this key was begun and its outcome is not recorded; \
                   look up at the service whether it ran";
    Failure::may_have_run(StatusCode::Conflict, message)
}
