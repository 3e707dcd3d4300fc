//! The request pipeline of an entry host: validation, admission, forwarding with retries, and the
//! relayed response.

use std::{
    future::Future,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};

use crate::{
    charter::Charter,
    digest::Digest,
    ids::CustomerId,
    membership::HostState,
    node::Node,
    request::{
        attempt_error::{AttemptError, RetryDecision},
        entry_hosts,
        failure::Failure,
        forwarded_request::ForwardedRequest,
        in_progress_counts::{InProgressCounts, InProgressGuard},
        quarantine_stage::QuarantineStage,
        request_recorder::RequestRecorder,
        retry_budget::RetryBudget,
        route::{Route, ENTRY_HOSTS_PATH},
        slot_loads::SlotLoads,
        validated_request::{
            check_framing, header_value, request_id_of, RequestLimits, ValidatedRequest,
        },
    },
    runtime,
    verdict::Verdict,
};

/// Delay before the first retry; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// `Retry-After` of a response that refuses a request before it is forwarded.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The request pipeline of an entry host.
///
/// It authenticates callers, limits the requests in progress of each customer, and forwards
/// requests to slots within the retry budget.
pub(crate) struct EntryStage {
    pub(crate) node: Arc<Node>,
    pub(crate) loads: Arc<SlotLoads>,
    retry_budget: Mutex<RetryBudget>,
    in_progress: Arc<InProgressCounts>,
    pub(crate) quarantine: Arc<QuarantineStage>,
    refuses_new_requests: AtomicBool,
}

impl EntryStage {
    /// Creates the pipeline and starts the task that makes it refuse requests after the host began
    /// to leave.
    pub(crate) fn new(node: Arc<Node>) -> Arc<EntryStage> {
        let stage = Arc::new(EntryStage {
            quarantine: QuarantineStage::new(node.clone()),
            node,
            loads: SlotLoads::new(),
            retry_budget: Mutex::new(RetryBudget::new()),
            in_progress: Arc::default(),
            refuses_new_requests: AtomicBool::new(false),
        });
        runtime::spawn(stage.clone().refuse_requests_after_leaving()).detach();
        stage
    }

    /// Handles one request; failures become error responses.
    pub(crate) async fn handle(&self, request: Request) -> Response {
        let id = match request_id_of(&request) {
            Ok(id) => id,
            Err((id, failure)) => return failure.closing_connection().into_response(&id),
        };
        let mut response = match self.process(id.clone(), request).await {
            Ok(response) => response,
            Err(failure) => {
                log::debug!(
                    "request: failed id={id} status={} verdict={} reason=\"{}\"",
                    failure.status,
                    failure.verdict,
                    failure.message
                );
                failure.into_response(&id)
            }
        };
        if self.is_leaving() {
            response.insert_header("Connection", "close");
        }
        response
    }

    async fn process(&self, id: String, request: Request) -> Result<Response, Failure> {
        let arrived_at = Instant::now();
        check_framing(&request)?;
        if request.url().path() == ENTRY_HOSTS_PATH && request.method() == Method::Get {
            return Ok(entry_hosts::response(&self.node, &id));
        }
        if self.refuses_new_requests.load(Ordering::Relaxed) {
            return Err(self.leaving_failure());
        }
        let charter = self.node.documents.charter().ok_or_else(no_charter)?;
        let customer = authenticate(&charter, &request).map_err(Failure::closing_connection)?;
        let in_progress_guard =
            self.begin_request(&charter, &customer).map_err(Failure::closing_connection)?;
        let limits = RequestLimits {
            max_body_bytes: self.node.settings.limits.max_body_bytes,
            request_timeout_ms: self.node.settings.limits.request_timeout_ms,
        };
        let read = ValidatedRequest::read(id, request, limits);
        let incoming = self.until_drain_end(read, || self.leaving_failure()).await?;
        if !self.node.drain.allows(incoming.deadline) {
            return Err(self.leaving_failure());
        }
        let route = Route::parse(&incoming)?;
        let history = self.node.request_history.clone();
        let recorder =
            RequestRecorder::new(history, &incoming, &customer, route.target(), arrived_at);
        let mut forwarded =
            ForwardedRequest::new(self, &incoming, &route, &customer, in_progress_guard, recorder);
        let res = self.until_drain_end(self.forward(&mut forwarded), drained).await;
        if let (Err(failure), Some(recorder)) = (&res, forwarded.recorder.take()) {
            recorder.record_failure(failure.verdict);
        }
        res
    }

    /// Forwards the request, with retries at other slots, until a slot responds.
    ///
    /// Once an attempt may have run, the verdict of a later failure is raised from not-run to
    /// may-have-run, because it must cover all attempts.
    async fn forward(&self, forwarded: &mut ForwardedRequest<'_>) -> Result<Response, Failure> {
        self.retry_budget.lock().unwrap().deposit();
        let mut backoff = INITIAL_BACKOFF;
        let mut may_have_run = false;
        loop {
            let AttemptError { mut failure, retry } = match forwarded.try_slot().await {
                Ok(response) => return Ok(response),
                Err(err) => err,
            };
            may_have_run |= failure.verdict != Verdict::NotRun;
            if may_have_run && failure.verdict == Verdict::NotRun {
                failure.verdict = Verdict::MayHaveRun;
            }
            let may_retry = match retry {
                RetryDecision::Never => false,
                RetryDecision::WithoutBudget => true,
                RetryDecision::WithinBudget => self.retry_budget.lock().unwrap().try_withdraw(),
            };
            if !may_retry || forwarded.incoming.time_left() <= backoff {
                return Err(failure);
            }
            runtime::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Returns the result of `operation`, or a failure if the process ends its requests before.
    async fn until_drain_end<T>(
        &self,
        operation: impl Future<Output = Result<T, Failure>>,
        failure: impl Fn() -> Failure,
    ) -> Result<T, Failure> {
        let drain_end = async {
            self.node.drain.wait_until_end().await;
            Err(failure())
        };
        operation.or(drain_end).await
    }

    fn leaving_failure(&self) -> Failure {
        let message = "this entry host is leaving; send the request to an address in entry_hosts";
        let mut failure =
            Failure::not_run(StatusCode::ServiceUnavailable, message).closing_connection();
        failure.entry_hosts = entry_hosts::addresses(&self.node);
        failure
    }

    /// Refuses new requests some time after this host began to leave.
    ///
    /// The delay is the maximum age of the entry host list, so that no caller still uses a cached
    /// list that contains this host.
    async fn refuse_requests_after_leaving(self: Arc<Self>) {
        loop {
            let changed = self.node.membership.listen();
            if self.is_leaving() {
                break;
            }
            changed.await;
        }
        runtime::sleep(self.node.settings.limits.entry_hosts_max_age_s).await;
        self.refuses_new_requests.store(true, Ordering::Relaxed);
        log::info!("request: refusing new requests because the host is leaving");
    }

    fn is_leaving(&self) -> bool {
        self.node.membership.own().state == HostState::Leaving
    }

    fn begin_request(&self, charter: &Charter, customer: &str) -> Result<InProgressGuard, Failure> {
        let limit = charter.customers[customer].max_in_progress;
        self.in_progress.try_begin(customer, limit).ok_or_else(|| {
            let message =
                format!("the customer has {limit} requests in progress, its limit; send fewer");
            Failure::not_run(StatusCode::TooManyRequests, message)
                .with_retry_after(REFUSAL_RETRY_AFTER)
        })
    }
}

fn authenticate(charter: &Charter, request: &Request) -> Result<CustomerId, Failure> {
    let unauthorized = |message: &str| Failure::not_run(StatusCode::Unauthorized, message);
    let Some(authorization) = header_value(request, "Authorization") else {
        return Err(unauthorized(
            "the request has no token; send \"Authorization: Bearer <token>\"",
        ));
    };
    let Some(token) = authorization.strip_prefix("Bearer ") else {
        return Err(unauthorized(
            "unsupported authorization scheme; send \"Authorization: Bearer <token>\"",
        ));
    };
    let digest = blake3::Hash::from(*Digest::of(token.trim().as_bytes()).as_bytes());
    let has_token = |it: &Digest| blake3::Hash::from(*it.as_bytes()) == digest;
    let found = charter.customers.iter().find(|(_, spec)| has_token(&spec.token_digest));
    let (customer, _) = found.ok_or_else(|| {
        unauthorized("no customer in the charter has this token; ask an operator for a valid one")
    })?;
    Ok(customer.clone())
}

fn drained() -> Failure {
    let message = "this entry host has left; retry only if the request is idempotent";
    Failure::may_have_run(StatusCode::GatewayTimeout, message).closing_connection()
}

fn no_charter() -> Failure {
    let message = "this entry host has no charter yet; retry at another one";
    Failure::not_run(StatusCode::ServiceUnavailable, message)
        .with_retry_after(REFUSAL_RETRY_AFTER)
        .closing_connection()
}
