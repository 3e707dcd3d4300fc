//! The request pipeline of a slot, from an entry host to the backend server and back.

use std::{sync::Arc, time::Instant};

use http_types::{Body, Request, Response, StatusCode};

use crate::{
    charter::ServiceSpec,
    digest::Digest,
    membership::HostState,
    node::Node,
    request::{
        backend_client::BackendClient,
        backend_probe::BACKEND_STATE_PATH,
        backend_request::BackendRequest,
        claim_stage::ClaimStage,
        concurrency_limiter::{ConcurrencyLimiter, ConcurrencyPermit, QueuedWork},
        entry_headers::{check_proof, EntryHeaders},
        failure::Failure,
        headers,
        route::Route,
        validated_request::{check_framing, request_id_of, RequestLimits, ValidatedRequest},
    },
    rollout::{Admission, AdmissionError, ServingState},
    runtime,
    settings::{BackendKind, BackendSettings},
    verdict::Verdict,
};

/// Path prefix at which the slot's engine fetches weights.
const WEIGHTS_PATH: &str = "/weights/";

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
    client: BackendClient,
    serving: Arc<ServingState>,
    limiter: Arc<ConcurrencyLimiter>,
    claims: Arc<ClaimStage>,
    weights: WeightsSource,
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
        let client = BackendClient::new(node.clone(), backend.clone());
        Arc::new(SlotStage { node, backend, client, serving, limiter, claims, weights })
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
            EntryHeaders::read(&self.node, &id, &request).map_err(Failure::closing_connection)?;
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
        self.client.check_up().await?;
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

    fn service_spec_of(&self, route: &Route) -> Result<Option<ServiceSpec>, Failure> {
        let Route::Service { service, .. } = route else { return Ok(None) };
        let charter = self.node.documents.charter();
        let spec = charter.and_then(|it| it.services.get(service).cloned());
        let spec = spec.ok_or_else(|| {
            Failure::slot_unavailable(
                "the service is not in this slot's charter; retry at another host",
            )
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
            let customer = &entry_headers.customer;
            let request = BackendRequest { incoming: &incoming, route: &route, customer };
            let call = || self.client.call_service(request);
            let run = self.claims.clone().run(&incoming, customer, &service, &spec, call);
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

    async fn backend_state(&self, id: &str) -> Result<Response, Failure> {
        if !self.client.is_up().await {
            return Err(Failure::slot_unavailable(
                "the backend server is down; retry once it is up",
            ));
        }
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(headers::REQUEST_ID, id);
        Ok(response)
    }

    fn admit(&self, route: &Route, entry_headers: &EntryHeaders) -> Result<Admission, Failure> {
        self.check_route(route)?;
        if self.node.membership.own().state == HostState::Leaving {
            return Err(Failure::slot_unavailable("the host is leaving; retry at another host"));
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
                Failure::slot_unavailable("the slot accepts no requests now; retry at another host")
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
        Err(Failure::slot_unavailable(format!(
            "this slot does not serve \"{name}\"; retry at another host"
        )))
    }

    async fn call(
        &self,
        incoming: &ValidatedRequest,
        route: &Route,
        entry_headers: &EntryHeaders,
        mut permit: Permit,
    ) -> Result<Response, Failure> {
        let request = BackendRequest { incoming, route, customer: &entry_headers.customer };
        let exchange = self.client.send(request).await?;
        permit.concurrency_permit.record_cost(route.cost_tokens());
        let mut response = Response::new(exchange.response.status());
        response.insert_header(headers::REQUEST_ID, incoming.id.as_str());
        response.insert_header(headers::VERDICT, Verdict::Ran.as_str());
        if matches!(route, Route::Chat { .. }) {
            response.insert_header(headers::VERSION, permit.admission.version.as_str());
            response.insert_header(headers::SWITCH, permit.admission.switch_number.to_string());
        }
        self.client.relay(request, exchange, &mut response, permit).await?;
        Ok(response)
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
