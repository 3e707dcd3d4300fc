//! Sends requests from a slot to its backend server and reads the responses.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Instant,
};

use http_types::{Response, StatusCode};

use crate::{
    net::{CallError, Exchange},
    node::Node,
    request::{
        backend_probe,
        backend_request::BackendRequest,
        chat_response::check_complete,
        claim_stage::ServiceResponse,
        failure::Failure,
        relay::{self, StreamEnd},
        route::Route,
    },
    runtime,
    settings::BackendSettings,
};

/// Maximum size of a response that is buffered before it is relayed.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Calls the backend server of a slot and notices when it may have crashed.
pub(crate) struct BackendClient {
    node: Arc<Node>,
    backend: BackendSettings,
    /// Whether the backend server broke a connection and no probe has succeeded since.
    is_health_unknown: Arc<AtomicBool>,
}

impl BackendClient {
    /// Creates the client of `backend`, whose health counts as known.
    pub(crate) fn new(node: Arc<Node>, backend: BackendSettings) -> BackendClient {
        BackendClient { node, backend, is_health_unknown: Arc::default() }
    }

    /// Returns `true` if a probe of the backend server succeeds now.
    pub(crate) async fn is_up(&self) -> bool {
        backend_probe::is_up(&self.node, &self.backend).await
    }

    /// Refuses requests while the backend server is down after a crash, so that no later request is
    /// taken for the cause of the crash.
    pub(crate) async fn check_up(&self) -> Result<(), Failure> {
        if !self.is_health_unknown.load(Ordering::Relaxed) {
            return Ok(());
        }
        if !backend_probe::is_up_after_pause(&self.node, &self.backend).await {
            return Err(Failure::slot_unavailable(
                "the backend server is down; retry at another host",
            ));
        }
        self.is_health_unknown.store(false, Ordering::Relaxed);
        Ok(())
    }

    /// Sends `request` and returns its response before the body is read.
    pub(crate) async fn send(&self, request: BackendRequest<'_>) -> Result<Exchange, Failure> {
        let address = self.backend.address;
        let timeout = request.incoming.time_left();
        let sent_at = Instant::now();
        let sent = self.node.http.send(address, request.build(address), timeout).await;
        let exchange = sent.map_err(|err| self.failure_of_call(&err))?;
        self.report_first_token(request.route, sent_at);
        request.check_echo(&exchange.response)?;
        Ok(exchange)
    }

    /// Calls a service and returns its whole response.
    pub(crate) async fn call_service(
        &self,
        request: BackendRequest<'_>,
    ) -> Result<ServiceResponse, Failure> {
        let exchange = self.send(request).await?;
        let (head, body) = self.read(request, exchange).await?;
        let content_type = head.header("Content-Type").map(|it| it.as_str().to_owned());
        Ok(ServiceResponse { status: head.status(), content_type, body })
    }

    /// Relays the body of `exchange` into `response`, as a stream if it is one.
    ///
    /// `guard` is dropped at the end of the response.
    pub(crate) async fn relay<G: Send + Sync + 'static>(
        &self,
        request: BackendRequest<'_>,
        exchange: Exchange,
        response: &mut Response,
        guard: G,
    ) -> Result<(), Failure> {
        if relay::is_stream(&exchange.response) {
            let is_health_unknown = self.is_health_unknown.clone();
            let on_end = Box::new(move |end| {
                is_health_unknown.fetch_or(end == StreamEnd::Truncated, Ordering::Relaxed);
                drop(guard);
            });
            let deadline = request.incoming.deadline;
            response.set_body(relay::stream_body(exchange, deadline, on_end));
            return Ok(());
        }
        let (head, body) = self.read(request, exchange).await?;
        check_complete(request.route, head.status(), &body)?;
        response.set_body(body);
        if let Some(content_type) = head.header("Content-Type") {
            response.insert_header("Content-Type", content_type);
        }
        Ok(())
    }

    async fn read(
        &self,
        request: BackendRequest<'_>,
        exchange: Exchange,
    ) -> Result<(Response, Vec<u8>), Failure> {
        let timeout = request.incoming.time_left();
        match runtime::timeout(timeout, exchange.read(MAX_RESPONSE_BYTES)).await {
            Ok(res) => res.map_err(|err| self.failure_of_call(&err)),
            Err(_) => Err(backend_timeout()),
        }
    }

    /// Reports the time to the engine's first token, without the time in the slot's queue.
    ///
    /// If it is above the objective of the charter, the link share of weight transfers is reduced.
    fn report_first_token(&self, route: &Route, sent_at: Instant) {
        let Route::Chat { .. } = route else { return };
        let charter = self.node.documents.charter();
        let Some(objective) = charter.map(|it| it.service_levels.first_token_ms) else { return };
        self.node.link_budget.report_first_token(sent_at.elapsed(), objective);
    }

    /// Returns the failure for `err`; after a broken connection the backend server is probed before
    /// the next request.
    fn failure_of_call(&self, err: &CallError) -> Failure {
        let failure = Failure::from_call_error(err);
        self.is_health_unknown.fetch_or(failure.is_crash, Ordering::Relaxed);
        failure
    }
}

fn backend_timeout() -> Failure {
    let message =
        "the backend server did not respond in time; retry only if the request may run twice";
    Failure::may_have_run(StatusCode::GatewayTimeout, message)
}
