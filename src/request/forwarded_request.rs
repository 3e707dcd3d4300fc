//! Forwards one request to slots of its pool or service, one attempt at a time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http_types::{Response, StatusCode};

use crate::{
    ids::SwitchNumber,
    membership::{HostState, MemberRecord},
    net::Exchange,
    peer::{DocumentName, LinkClass},
    request::{
        attempt_error::{AttemptError, RetryDecision},
        backend_probe,
        eligible_slots::EligibleSlots,
        entry_stage::EntryStage,
        failure::Failure,
        headers,
        in_progress_counts::InProgressGuard,
        quarantine::QuarantineStatus,
        relay::{self, StreamEnd},
        request_quarantine::{self, RequestQuarantine},
        request_recorder::RequestRecorder,
        route::Route,
        slot_choice::SlotChoice,
        slot_loads::SlotGuard,
        slot_refusal::SlotRefusal,
        slot_request::SlotRequest,
        slot_response::{header_duration, into_unavailable, missing_verdict, response_timeout},
        validated_request::ValidatedRequest,
    },
    runtime,
    verdict::Verdict,
};

/// Maximum size of a response body that is buffered; streams are relayed without this limit.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Timeout of the call that fetches a newer pool document from a slot.
const POOL_DOCUMENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Additional wait after the deadline, so that the slot's own error response can still arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// A request that is being forwarded to slots.
///
/// It keeps the state that is shared by all attempts, such as the hosts already tried.
pub(crate) struct ForwardedRequest<'a> {
    stage: &'a EntryStage,
    /// The caller's request.
    pub(crate) incoming: &'a ValidatedRequest,
    route: &'a Route,
    customer: &'a str,
    quarantine: RequestQuarantine,
    in_progress_guard: Arc<InProgressGuard>,
    /// Records the outcome; `None` once a response is relayed or its stream has begun.
    pub(crate) recorder: Option<RequestRecorder>,
    slots: SlotChoice<'a>,
}

/// A slot that sent response headers, with the state needed until its response ends.
struct RespondingSlot {
    slot: SlotGuard,
    quarantine_status: QuarantineStatus,
    version: Option<String>,
    sent_at: Instant,
}

impl<'a> ForwardedRequest<'a> {
    /// Creates the state for the first attempt.
    ///
    /// `in_progress_guard` counts the request as in progress until the response is relayed.
    pub(crate) fn new(
        stage: &'a EntryStage,
        incoming: &'a ValidatedRequest,
        route: &'a Route,
        customer: &'a str,
        in_progress_guard: InProgressGuard,
        recorder: RequestRecorder,
    ) -> ForwardedRequest<'a> {
        ForwardedRequest {
            stage,
            incoming,
            route,
            customer,
            quarantine: RequestQuarantine::new(stage.quarantine.clone(), incoming),
            in_progress_guard: Arc::new(in_progress_guard),
            recorder: Some(recorder),
            slots: SlotChoice::new(&stage.loads, route),
        }
    }

    /// Makes one attempt: picks an eligible slot, sends the request and relays the response.
    pub(crate) async fn try_slot(&mut self) -> Result<Response, AttemptError> {
        let node = &self.stage.node;
        let eligible = EligibleSlots::find(node, self.incoming, self.route, self.customer)?;
        let quarantine_status = self.quarantine.status();
        if quarantine_status == QuarantineStatus::Refused {
            return Err(AttemptError::no_retry(request_quarantine::refusal(self.incoming)));
        }
        let slot = self.slots.pick(&eligible)?;
        let record = eligible.slots.iter().find(|it| it.host == slot.host);
        let record = record.expect("the picked slot is one of the eligible slots");
        let slot_request = SlotRequest {
            incoming: self.incoming,
            customer: self.customer,
            switch_number: eligible.switch_number,
            quarantine_status,
        };
        let key = &node.settings.secrets.peer_key;
        let request = slot_request.build(record.request_address, key);
        let timeout = self.incoming.time_left() + RESPONSE_MARGIN;
        let sent_at = Instant::now();
        let exchange = match node.http.send(record.request_address, request, timeout).await {
            Ok(exchange) => exchange,
            Err(err) => {
                self.remove_stale_loads();
                return Err(self.handle_failure(&slot, Failure::from_call_error(&err)).await);
            }
        };
        slot.record_wait(header_duration(&exchange.response, headers::LOAD_WAIT_MS));
        let verdict = exchange.response.header(headers::VERDICT).map(|it| it.as_str().to_owned());
        match verdict.as_deref().map(Verdict::from_header) {
            Some(Verdict::Ran) => {
                let version = eligible.version;
                self.relay(exchange, RespondingSlot { slot, quarantine_status, version, sent_at })
                    .await
            }
            Some(verdict) => Err(self.handle_refusal(exchange, verdict, &slot, record).await),
            None => Err(AttemptError::no_retry(missing_verdict(record.request_address))),
        }
    }

    async fn relay(
        &mut self,
        exchange: Exchange,
        responding: RespondingSlot,
    ) -> Result<Response, AttemptError> {
        let RespondingSlot { slot, quarantine_status, version, sent_at } = responding;
        self.check_request_id(&exchange.response)?;
        let mut response = self.response_head(&exchange.response);
        let response_version = exchange.response.header(headers::VERSION).map(|it| it.as_str());
        let is_intended = response_version == version.as_deref();
        let slot_wait = header_duration(&exchange.response, headers::WAIT_MS);
        if let Some(recorder) = &mut self.recorder {
            recorder.record_response(&slot.host, sent_at, slot_wait, is_intended);
        }
        if relay::is_stream(&exchange.response) {
            let body = relay::stream_body(
                exchange,
                self.incoming.deadline,
                self.on_stream_end(slot, quarantine_status),
            );
            response.set_body(body);
            return Ok(response);
        }
        let timeout = self.incoming.time_left() + RESPONSE_MARGIN;
        let (_, body) = match runtime::timeout(timeout, exchange.read(MAX_RESPONSE_BYTES)).await {
            Ok(Ok(parts)) => parts,
            Ok(Err(err)) => {
                return Err(self.handle_failure(&slot, Failure::from_call_error(&err)).await)
            }
            Err(_) => return Err(AttemptError::no_retry(response_timeout())),
        };
        if quarantine_status == QuarantineStatus::Suspect {
            self.quarantine.record_success().await;
        }
        let content_type = response.header("Content-Type").cloned();
        response.set_body(body);
        if let Some(content_type) = content_type {
            response.insert_header("Content-Type", &content_type);
        }
        if let Some(recorder) = self.recorder.take() {
            recorder.record_success();
        }
        Ok(response)
    }

    fn response_head(&self, source: &Response) -> Response {
        let mut response = Response::new(source.status());
        response.insert_header(headers::REQUEST_ID, self.incoming.id.as_str());
        let names =
            [headers::VERDICT, headers::VERSION, headers::SWITCH, headers::WAIT_MS, "Content-Type"];
        for name in names {
            if let Some(value) = source.header(name) {
                response.insert_header(name, value);
            }
        }
        response
    }

    /// Returns the callback for the end of a stream.
    ///
    /// It records the outcome and releases the guards. After a truncated stream it probes the
    /// backend server, because the request may have crashed it; a crash is recorded in the
    /// quarantine.
    fn on_stream_end(
        &mut self,
        slot: SlotGuard,
        quarantine_status: QuarantineStatus,
    ) -> relay::OnStreamEnd {
        let recorder = self.recorder.take();
        let in_progress_guard = self.in_progress_guard.clone();
        let quarantine = self.quarantine.clone();
        let host = slot.host.clone();
        let node = self.stage.node.clone();
        let address = node.membership.record(&host).map(|it| it.request_address);
        Box::new(move |end| {
            if let Some(recorder) = recorder {
                recorder.record_stream_end(end);
            }
            drop((slot, in_progress_guard));
            match end {
                StreamEnd::Truncated => runtime::spawn(async move {
                    let is_up = match address {
                        Some(it) => backend_probe::is_up_via_slot(&node, it).await,
                        None => false,
                    };
                    if !is_up {
                        quarantine.record_crash(&host).await;
                    }
                })
                .detach(),
                StreamEnd::Complete if quarantine_status == QuarantineStatus::Suspect => {
                    runtime::spawn(async move { quarantine.record_success().await }).detach();
                }
                StreamEnd::Complete | StreamEnd::DeadlineExceeded | StreamEnd::Abandoned => {}
            }
        })
    }

    /// Reads the error response of a slot and decides whether the request may be retried.
    async fn handle_refusal(
        &self,
        exchange: Exchange,
        verdict: Verdict,
        slot: &SlotGuard,
        record: &MemberRecord,
    ) -> AttemptError {
        let timeout = self.incoming.time_left() + RESPONSE_MARGIN;
        let refusal = SlotRefusal::read(exchange, verdict, timeout).await;
        if verdict != Verdict::NotRun {
            return self.handle_failure(slot, refusal.failure).await;
        }
        if let Some(switch_number) = refusal.mismatched_switch_number() {
            self.fetch_newer_pool_document(record, switch_number).await;
            return AttemptError::free_retry(into_unavailable(refusal.failure));
        }
        if refusal.is_platform_unavailable {
            return AttemptError::no_retry(refusal.failure);
        }
        let failure = refusal.failure;
        match failure.status {
            StatusCode::ServiceUnavailable => AttemptError::free_retry(failure),
            StatusCode::TooManyRequests => {
                AttemptError { failure, retry: RetryDecision::WithinBudget }
            }
            status if status.is_server_error() => self.handle_failure(slot, failure).await,
            _ => AttemptError::no_retry(failure),
        }
    }

    /// Fetches the pool document from a slot whose switch number is greater than the local one.
    async fn fetch_newer_pool_document(
        &self,
        slot: &MemberRecord,
        slot_switch_number: SwitchNumber,
    ) {
        let Route::Chat { pool, .. } = self.route else { return };
        let node = &self.stage.node;
        let own_switch_number = node.documents.pool(pool).map_or(0, |it| it.switch_number);
        if slot_switch_number <= own_switch_number {
            return;
        }
        let name = DocumentName::Pool(pool.clone());
        let call = node.peers.call(
            slot.peer_address,
            LinkClass::Control,
            POOL_DOCUMENT_TIMEOUT,
            |peer, ctx| async move { peer.document(ctx, name).await },
        );
        let Ok(Some(document)) = call.await else { return };
        if let Err(err) = node.documents.offer(document) {
            log::warn!("request: failed to apply a pool document error=\"{err}\"");
        }
    }

    /// Removes the loads of hosts that are no longer members.
    fn remove_stale_loads(&self) {
        let membership = &self.stage.node.membership;
        let is_known =
            |host: &str| membership.record(host).is_some_and(|it| it.state != HostState::Gone);
        self.stage.loads.retain(is_known);
    }

    /// Records a failed exchange and decides whether the request may be retried.
    ///
    /// The slot is temporarily avoided. If the backend server crashed, the request's fingerprint is
    /// recorded in the quarantine.
    async fn handle_failure(&self, slot: &SlotGuard, failure: Failure) -> AttemptError {
        slot.record_unreachable();
        if failure.is_crash && !self.is_backend_up(&slot.host).await {
            self.quarantine.record_crash(&slot.host).await;
            let quarantine_status = self.quarantine.status();
            if quarantine_status == QuarantineStatus::Suspect && self.is_repeatable() {
                return AttemptError::free_retry(failure);
            }
            return AttemptError::no_retry(failure);
        }
        let is_safe_to_retry = failure.verdict == Verdict::NotRun || self.is_repeatable();
        let is_timeout = failure.status == StatusCode::GatewayTimeout;
        let retry = if is_safe_to_retry && !is_timeout {
            RetryDecision::WithinBudget
        } else {
            RetryDecision::Never
        };
        AttemptError { failure, retry }
    }

    async fn is_backend_up(&self, host: &str) -> bool {
        let node = &self.stage.node;
        let Some(record) = node.membership.record(host) else { return false };
        backend_probe::is_up_via_slot(node, record.request_address).await
    }

    fn is_repeatable(&self) -> bool {
        let Route::Service { service, .. } = self.route else { return true };
        let charter = self.stage.node.documents.charter();
        charter.and_then(|it| it.services.get(service).map(|it| it.repeatable)).unwrap_or(false)
    }

    fn check_request_id(&self, response: &Response) -> Result<(), AttemptError> {
        let echo = response.header(headers::REQUEST_ID).map(|it| it.as_str());
        if echo == Some(self.incoming.id.as_str()) {
            return Ok(());
        }
        log::warn!("request: dropped the response to another request id={}", self.incoming.id);
        let message = "the slot sent the response to another request, which was dropped; \
                       retry only if the request may run twice";
        let failure = Failure::may_have_run(StatusCode::BadGateway, message);
        let retry =
            if self.is_repeatable() { RetryDecision::WithinBudget } else { RetryDecision::Never };
        Err(AttemptError { failure, retry })
    }
}
