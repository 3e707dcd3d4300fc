//! The request pipeline of a slot, from an entry host to the backend server and back.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use http_types::{Body, Request, Response, StatusCode, Url};

use crate::{
    charter::ServiceSpec,
    digest::Digest,
    ids::SwitchNumber,
    membership::HostState,
    net::{CallError, Exchange},
    node::Node,
    request::{
        backend_probe::{self, BACKEND_STATE_PATH},
        chat_response::check_complete,
        claim_stage::{ClaimStage, ServiceResponse},
        concurrency_limiter::{ConcurrencyLimiter, ConcurrencyPermit, QueuedWork},
        failure::Failure,
        headers,
        relay::{self, StreamEnd},
        route::Route,
        validated_request::{
            check_framing, header_value, request_id_of, RequestLimits, ValidatedRequest,
        },
    },
    rollout::{Admission, AdmissionError, ServingState},
    runtime,
    settings::{BackendKind, BackendSettings},
    verdict::Verdict,
};

/// Path prefix at which the slot's engine fetches weights.
const WEIGHTS_PATH: &str = "/weights/";
/// Maximum size of a response that is buffered before it is relayed.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// `Retry-After` of a response that reports that the slot can't serve the request now.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A function that returns the body of verified weights by the digest of their manifest.
pub type WeightsSource = Arc<dyn Fn(&Digest) -> Option<Body> + Send + Sync>;

/// Handles the requests of entry hosts and of the slot's own engine.
///
/// A request of an entry host is authenticated, admitted under the slot's switch number, queued and
/// sent to the backend server, and the response is relayed. A request with another switch number,
/// or that arrives while the backend server is down, is refused with the verdict not-run.
pub(crate) struct SlotStage {
    node: Arc<Node>,
    backend: BackendSettings,
    serving: Arc<ServingState>,
    limiter: Arc<ConcurrencyLimiter>,
    claims: Arc<ClaimStage>,
    weights: WeightsSource,
    /// Whether the backend server broke a connection and no probe has succeeded since.
    is_health_unknown: Arc<AtomicBool>,
}

/// The headers that an entry host adds to a caller's request.
struct EntryHeaders {
    customer: String,
    switch_number: Option<SwitchNumber>,
    is_suspect: bool,
}

/// A permit to call the backend server; it is released at the end of the response.
struct Permit {
    concurrency_permit: ConcurrencyPermit,
    admission: Admission,
}

impl SlotStage {
    /// Creates the pipeline.
    ///
    /// Precondition: the settings of `node` name a backend server.
    pub(crate) fn new(
        node: Arc<Node>,
        serving: Arc<ServingState>,
        weights: WeightsSource,
    ) -> Arc<SlotStage> {
        let backend = node.settings.backend.clone().expect("a slot's settings have [backend]");
        let limiter =
            ConcurrencyLimiter::new(backend.concurrency as usize, backend.max_queued as usize);
        let claims = ClaimStage::new(node.clone());
        Arc::new(SlotStage {
            node,
            backend,
            serving,
            limiter,
            claims,
            weights,
            is_health_unknown: Arc::default(),
        })
    }

    /// Handles one request.
    pub(crate) async fn handle(self: Arc<Self>, request: Request) -> Response {
        if let Some(text) = request.url().path().strip_prefix(WEIGHTS_PATH) {
            return self.weights_response(text);
        }
        let id = match request_id_of(&request) {
            Ok(id) => id,
            Err((id, failure)) => return failure.closing_connection().into_response(&id),
        };
        let mut response = match self.clone().run(id.clone(), request).await {
            Ok(response) => response,
            Err(failure) => failure.into_response(&id),
        };
        let load = self.limiter.load();
        response.insert_header(headers::LOAD_QUEUED, load.n_queued.to_string());
        response.insert_header(headers::LOAD_RUNNING, load.n_running.to_string());
        response.insert_header(headers::LOAD_WAIT_MS, load.wait_ms.as_millis().to_string());
        response
    }

    async fn run(self: Arc<Self>, id: String, request: Request) -> Result<Response, Failure> {
        check_framing(&request)?;
        if request.url().path() == BACKEND_STATE_PATH {
            check_proof(&self.node, &id, &request)?;
            return self.backend_state(&id).await;
        }
        let entry_headers =
            self.entry_headers(&id, &request).map_err(Failure::closing_connection)?;
        let limits = RequestLimits {
            max_body_bytes: self.node.settings.limits.max_body_bytes,
            request_timeout_ms: self.node.settings.limits.request_timeout_ms,
        };
        let incoming = ValidatedRequest::read(id, request, limits).await?;
        let route = Route::parse(&incoming)?;
        drop(self.admit(&route, &entry_headers)?);
        let enqueued_at = Instant::now();
        let concurrency_permit =
            self.limiter.acquire(self.queued_work(&incoming, &route, &entry_headers)).await?;
        self.check_backend_up().await?;
        let admission = self.admit(&route, &entry_headers)?;
        let permit = Permit { concurrency_permit, admission };
        let waited = enqueued_at.elapsed().as_millis();
        let mut response = match self.service_spec_of(&route)? {
            Some(spec) if !spec.repeatable => {
                self.call_at_most_once(incoming, route, entry_headers, spec, permit).await?
            }
            _ => self.call(&incoming, &route, &entry_headers, permit).await?,
        };
        response.insert_header(headers::WAIT_MS, waited.to_string());
        Ok(response)
    }

    /// Reports the time to the engine's first token, without the time in the slot's queue.
    ///
    /// If it is above the objective of the charter, the link share of weight transfers is reduced.
    fn report_first_token(&self, route: &Route, waited: Duration) {
        let Route::Chat { .. } = route else { return };
        let charter = self.node.documents.charter();
        let Some(objective) = charter.map(|it| it.service_levels.first_token_ms) else { return };
        self.node.link_budget.report_first_token(waited, objective);
    }

    fn service_spec_of(&self, route: &Route) -> Result<Option<ServiceSpec>, Failure> {
        let Route::Service { service, .. } = route else { return Ok(None) };
        let charter = self.node.documents.charter();
        let spec = charter.and_then(|it| it.services.get(service).cloned());
        let spec = spec.ok_or_else(|| {
            unavailable("the service is not in this slot's charter; retry at another host")
        })?;
        Ok(Some(spec))
    }

    /// Runs a call at most once.
    ///
    /// The call continues when the entry host disconnects, so that its outcome is recorded.
    async fn call_at_most_once(
        self: Arc<Self>,
        incoming: ValidatedRequest,
        route: Route,
        entry_headers: EntryHeaders,
        spec: ServiceSpec,
        permit: Permit,
    ) -> Result<Response, Failure> {
        let (sender, receiver) = async_channel::bounded(1);
        runtime::spawn(async move {
            let service = self.backend.name.clone();
            let call = || self.call_buffered(&incoming, &route, &entry_headers);
            let run =
                self.claims.clone().run(&incoming, &entry_headers.customer, &service, &spec, call);
            let res = run.await.map(|it| it.into_response(&incoming.id));
            drop(permit);
            let _ = sender.try_send(res);
        })
        .detach();
        let stopped = |_| {
            Failure::may_have_run(
                StatusCode::InternalServerError,
                "the slot failed during the call; check at the service whether the call ran",
            )
        };
        receiver.recv().await.map_err(stopped)?
    }

    async fn call_buffered(
        &self,
        incoming: &ValidatedRequest,
        route: &Route,
        entry_headers: &EntryHeaders,
    ) -> Result<ServiceResponse, Failure> {
        let request = self.backend_request(incoming, route, entry_headers);
        let timeout = incoming.time_left();
        let sent = self.node.http.send(self.backend.address, request, timeout).await;
        let exchange = sent.map_err(|err| self.failure_of_call(&err))?;
        self.check_echo(&exchange.response, incoming, route)?;
        let read = runtime::timeout(incoming.time_left(), exchange.read(MAX_RESPONSE_BYTES));
        let (head, body) = match read.await {
            Ok(res) => res.map_err(|err| self.failure_of_call(&err))?,
            Err(_) => return Err(backend_timeout()),
        };
        let content_type = head.header("Content-Type").map(|it| it.as_str().to_owned());
        Ok(ServiceResponse { status: head.status(), content_type, body })
    }

    fn queued_work<'a>(
        &self,
        incoming: &ValidatedRequest,
        route: &Route,
        entry_headers: &'a EntryHeaders,
    ) -> QueuedWork<'a> {
        let charter = self.node.documents.charter();
        let spec = charter.as_ref().and_then(|it| it.customers.get(&entry_headers.customer));
        QueuedWork {
            customer: &entry_headers.customer,
            weight: spec.map_or(1, |it| it.weight),
            cost_tokens: route.cost_tokens(),
            is_exclusive: entry_headers.is_suspect,
            deadline: incoming.deadline,
        }
    }

    fn entry_headers(&self, id: &str, request: &Request) -> Result<EntryHeaders, Failure> {
        check_proof(&self.node, id, request)?;
        let customer = header_value(request, headers::CUSTOMER).ok_or_else(|| {
            Failure::not_run(
                StatusCode::BadRequest,
                "X-Customer is missing; send the request to an entry host",
            )
        })?;
        let switch_number = header_value(request, headers::SWITCH).and_then(|it| it.parse().ok());
        let is_suspect = request.header(headers::SUSPECT).is_some();
        Ok(EntryHeaders { customer, switch_number, is_suspect })
    }

    /// Returns the failure for `err`; after a broken connection the backend server is probed before
    /// the next request.
    fn failure_of_call(&self, err: &CallError) -> Failure {
        let failure = Failure::from_call_error(err);
        self.is_health_unknown.fetch_or(failure.is_crash, Ordering::Relaxed);
        failure
    }

    /// Refuses requests while the backend server is down after a crash, so that no later request is
    /// taken for the cause of the crash.
    async fn check_backend_up(&self) -> Result<(), Failure> {
        if !self.is_health_unknown.load(Ordering::Relaxed) {
            return Ok(());
        }
        if !backend_probe::is_up_after_pause(&self.node, &self.backend).await {
            return Err(unavailable("the backend server is down; retry at another host"));
        }
        self.is_health_unknown.store(false, Ordering::Relaxed);
        Ok(())
    }

    async fn backend_state(&self, id: &str) -> Result<Response, Failure> {
        if !backend_probe::is_up(&self.node, &self.backend).await {
            return Err(unavailable("the backend server is down; retry once it is up"));
        }
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(headers::REQUEST_ID, id);
        Ok(response)
    }

    fn admit(&self, route: &Route, entry_headers: &EntryHeaders) -> Result<Admission, Failure> {
        self.check_route(route)?;
        if self.node.membership.own().state == HostState::Leaving {
            return Err(unavailable("the host is leaving; retry at another host"));
        }
        let switch_number = match route {
            Route::Chat { .. } => Some(entry_headers.switch_number.ok_or_else(|| {
                Failure::not_run(
                    StatusCode::BadRequest,
                    "X-Switch is missing or malformed; send the request to an entry host",
                )
            })?),
            Route::Service { .. } => None,
        };
        self.serving.admit(switch_number).map_err(|refusal| match refusal {
            AdmissionError::Closed => {
                unavailable("the slot accepts no requests now; retry at another host")
            }
            AdmissionError::SwitchMismatch(own) => {
                let message = format!(
                    "the slot is at switch number {own}, not at the request's; retry later"
                );
                let mut failure = Failure::not_run(StatusCode::Conflict, message);
                failure.switch_number = Some(own);
                failure
            }
        })
    }

    fn check_route(&self, route: &Route) -> Result<(), Failure> {
        let (kind, name) = match route {
            Route::Chat { pool, .. } => (BackendKind::Engine, pool),
            Route::Service { service, .. } => (BackendKind::Service, service),
        };
        if kind == self.backend.kind && *name == self.backend.name {
            return Ok(());
        }
        Err(unavailable(&format!("this slot does not serve \"{name}\"; retry at another host")))
    }

    async fn call(
        &self,
        incoming: &ValidatedRequest,
        route: &Route,
        entry_headers: &EntryHeaders,
        mut permit: Permit,
    ) -> Result<Response, Failure> {
        let request = self.backend_request(incoming, route, entry_headers);
        let timeout = incoming.time_left();
        let sent_at = Instant::now();
        let sent = self.node.http.send(self.backend.address, request, timeout).await;
        let exchange = sent.map_err(|err| self.failure_of_call(&err))?;
        self.report_first_token(route, sent_at.elapsed());
        self.check_echo(&exchange.response, incoming, route)?;
        permit.concurrency_permit.record_cost(route.cost_tokens());
        self.relay(incoming, route, exchange, permit).await
    }

    async fn relay(
        &self,
        incoming: &ValidatedRequest,
        route: &Route,
        exchange: Exchange,
        permit: Permit,
    ) -> Result<Response, Failure> {
        let mut response = Response::new(exchange.response.status());
        response.insert_header(headers::REQUEST_ID, incoming.id.as_str());
        response.insert_header(headers::VERDICT, Verdict::Ran.as_str());
        if matches!(route, Route::Chat { .. }) {
            response.insert_header(headers::VERSION, permit.admission.version.as_str());
            response.insert_header(headers::SWITCH, permit.admission.switch_number.to_string());
        }
        if relay::is_stream(&exchange.response) {
            let is_health_unknown = self.is_health_unknown.clone();
            let on_end = Box::new(move |end| {
                is_health_unknown.fetch_or(end == StreamEnd::Truncated, Ordering::Relaxed);
                drop(permit);
            });
            response.set_body(relay::stream_body(exchange, incoming.deadline, on_end));
            return Ok(response);
        }
        let read = runtime::timeout(incoming.time_left(), exchange.read(MAX_RESPONSE_BYTES));
        let (head, body) = match read.await {
            Ok(res) => res.map_err(|err| self.failure_of_call(&err))?,
            Err(_) => return Err(backend_timeout()),
        };
        check_complete(route, head.status(), &body)?;
        response.set_body(body);
        if let Some(content_type) = head.header("Content-Type") {
            response.insert_header("Content-Type", content_type);
        }
        Ok(response)
    }

    /// Checks that the response echoes the request id; a service may omit it, an engine must not.
    fn check_echo(
        &self,
        response: &Response,
        incoming: &ValidatedRequest,
        route: &Route,
    ) -> Result<(), Failure> {
        let echo = response.header(headers::REQUEST_ID).map(|it| it.as_str());
        let is_same_id = echo == Some(incoming.id.as_str());
        let may_omit_id = matches!(route, Route::Service { .. }) && echo.is_none();
        if is_same_id || may_omit_id {
            return Ok(());
        }
        log::warn!("slot: dropped the response to another request id={}", incoming.id);
        let message =
            "the backend server sent the response to another request, which was dropped; \
             retry only if the request may run twice";
        Err(Failure::may_have_run(StatusCode::BadGateway, message))
    }

    fn backend_request(
        &self,
        incoming: &ValidatedRequest,
        route: &Route,
        entry_headers: &EntryHeaders,
    ) -> Request {
        let path = match route {
            Route::Chat { .. } => incoming.path.as_str(),
            Route::Service { path, .. } => path.as_str(),
        };
        let url = format!("http://{}{path}", self.backend.address);
        let url = Url::parse(&url).expect("an address and a validated path form a URL");
        let mut request = Request::new(incoming.method, url);
        request.set_body(incoming.body.clone());
        if let Some(content_type) = &incoming.content_type {
            request.insert_header("Content-Type", content_type.as_str());
        }
        request.insert_header(headers::REQUEST_ID, incoming.id.as_str());
        request.insert_header(headers::CUSTOMER, entry_headers.customer.as_str());
        if let Some(priority) = &incoming.priority {
            request.insert_header(headers::PRIORITY, priority.as_str());
        }
        if let Some(key) = &incoming.idempotency_key {
            request.insert_header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        request
    }

    fn weights_response(&self, digest: &str) -> Response {
        let body = digest.parse().ok().and_then(|digest: Digest| (self.weights)(&digest));
        let Some(body) = body else {
            let message =
                "the slot has no verified weights with this digest; check the manifest digest";
            return Failure::not_run(StatusCode::NotFound, message).into_response("weights");
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response
    }
}

/// Refuses senders that do not have the shared key.
fn check_proof(node: &Node, id: &str, request: &Request) -> Result<(), Failure> {
    let refuse = |message: &str| Err(Failure::not_run(StatusCode::Unauthorized, message));
    let text = header_value(request, headers::PROOF).unwrap_or_default();
    let Ok(proof) = blake3::Hash::from_hex(text) else {
        return refuse("X-Proof is missing or malformed; send the request to an entry host");
    };
    if proof != node.settings.secrets.peer_key.keyed_hash(id.as_bytes()) {
        return refuse("X-Proof is wrong; check peer_key_file on both hosts");
    }
    Ok(())
}

fn unavailable(message: &str) -> Failure {
    Failure::not_run(StatusCode::ServiceUnavailable, message)
        .with_retry_after(UNAVAILABLE_RETRY_AFTER)
}

fn backend_timeout() -> Failure {
    let message =
        "the backend server did not respond in time; retry only if the request may run twice";
    Failure::may_have_run(StatusCode::GatewayTimeout, message)
}
