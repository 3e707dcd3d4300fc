//! Forwards one request to slots of its pool or service, one attempt at a time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http_types::{Response, StatusCode};

use crate::{
    digest::Digest,
    ids::{HostId, SwitchNumber},
    membership::{HostState, MemberRecord},
    net::Exchange,
    peer::{DocumentName, LinkClass},
    request::{
        backend_probe,
        eligible_slots::{no_eligible_slot, EligibleSlots},
        entry_stage::EntryStage,
        failure::Failure,
        headers,
        in_progress_counts::InProgressGuard,
        quarantine::{QuarantineChange, QuarantineStatus, MAX_CRASHED_HOSTS},
        relay::{self, StreamEnd},
        request_recorder::RequestRecorder,
        route::Route,
        slot_loads::SlotGuard,
        slot_request::SlotRequest,
        slot_response::{
            error_message, header_duration, into_unavailable, missing_verdict, response_timeout,
        },
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

/// Whether and how a request is retried after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// No retry: the failure is returned to the caller.
    Never,
    /// Retry if the retry budget allows it.
    WithinBudget,
    /// Retry without charging the retry budget: the eligible slots are expected to change soon, or
    /// the request became suspect and runs alone from now on.
    WithoutBudget,
}

/// The error of one attempt at a slot.
#[derive(Debug)]
pub(crate) struct AttemptError {
    /// The failure to return to the caller if there is no further attempt.
    pub(crate) failure: Failure,
    /// Whether the request may be retried.
    pub(crate) retry: RetryDecision,
}

/// A request that is being forwarded to slots.
///
/// It keeps the state that is shared by all attempts, such as the hosts already tried.
pub(crate) struct ForwardedRequest<'a> {
    stage: &'a EntryStage,
    /// The caller's request.
    pub(crate) incoming: &'a ValidatedRequest,
    route: &'a Route,
    customer: &'a str,
    fingerprint: Digest,
    in_progress_guard: Arc<InProgressGuard>,
    /// Records the outcome; `None` once a response is relayed or its stream has begun.
    pub(crate) recorder: Option<RequestRecorder>,
    /// Hosts at which the request was already attempted.
    tried_hosts: Vec<HostId>,
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
        let mut hasher = blake3::Hasher::new();
        hasher.update(incoming.path.as_bytes());
        hasher.update(&[0]);
        hasher.update(&incoming.body);
        ForwardedRequest {
            stage,
            incoming,
            route,
            customer,
            fingerprint: hasher.finalize().into(),
            in_progress_guard: Arc::new(in_progress_guard),
            recorder: Some(recorder),
            tried_hosts: Vec::new(),
        }
    }

    /// Makes one attempt: picks an eligible slot, sends the request and relays the response.
    pub(crate) async fn try_slot(&mut self) -> Result<Response, AttemptError> {
        let node = &self.stage.node;
        let eligible = EligibleSlots::find(node, self.incoming, self.route, self.customer)?;
        let quarantine_status = self.stage.quarantine.status_of(&self.fingerprint);
        if quarantine_status == QuarantineStatus::Refused {
            return Err(no_retry(self.quarantined_failure()));
        }
        let slot = self.pick_slot(&eligible)?;
        self.tried_hosts.push(slot.host.clone());
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
            None => Err(no_retry(missing_verdict(record.request_address))),
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
            Err(_) => return Err(no_retry(response_timeout())),
        };
        if quarantine_status == QuarantineStatus::Suspect {
            self.stage.quarantine.record_change(self.cleared_change()).await;
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
        let quarantine = self.stage.quarantine.clone();
        let cleared_change = self.cleared_change();
        let crashed_change = self.crashed_change(&slot.host);
        let node = self.stage.node.clone();
        let address = node.membership.record(&slot.host).map(|it| it.request_address);
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
                        quarantine.record_change(crashed_change).await;
                    }
                })
                .detach(),
                StreamEnd::Complete if quarantine_status == QuarantineStatus::Suspect => {
                    runtime::spawn(async move { quarantine.record_change(cleared_change).await })
                        .detach();
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
        let status = exchange.response.status();
        let head = &exchange.response;
        let retry_after_s =
            head.header(headers::RETRY_AFTER).and_then(|it| it.as_str().parse().ok());
        let slot_switch_number =
            head.header(headers::SWITCH).and_then(|it| it.as_str().parse().ok());
        let is_crash = head.header(headers::CRASHED).is_some();
        let is_platform_unavailable = head.header(headers::PLATFORM_UNAVAILABLE).is_some();
        let timeout = self.incoming.time_left() + RESPONSE_MARGIN;
        let message = match runtime::timeout(timeout, exchange.read(MAX_RESPONSE_BYTES)).await {
            Ok(Ok((_, body))) => error_message(&body),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the slot's response did not arrive in time".to_owned(),
        };
        let mut failure = match verdict {
            Verdict::NotRun => Failure::not_run(status, message),
            Verdict::Ran | Verdict::MayHaveRun => Failure::may_have_run(status, message),
        };
        failure.is_crash = is_crash;
        failure.retry_after_s = retry_after_s.map(Duration::from_secs);
        if verdict != Verdict::NotRun {
            return self.handle_failure(slot, failure).await;
        }
        match status {
            StatusCode::Conflict if slot_switch_number.is_some() => {
                self.fetch_newer_pool_document(record, slot_switch_number).await;
                AttemptError {
                    failure: into_unavailable(failure),
                    retry: RetryDecision::WithoutBudget,
                }
            }
            _ if is_platform_unavailable => no_retry(failure),
            StatusCode::ServiceUnavailable => {
                AttemptError { failure, retry: RetryDecision::WithoutBudget }
            }
            StatusCode::TooManyRequests => {
                AttemptError { failure, retry: RetryDecision::WithinBudget }
            }
            _ if status.is_server_error() => self.handle_failure(slot, failure).await,
            _ => no_retry(failure),
        }
    }

    /// Fetches the pool document from a slot whose switch number is greater than the local one.
    async fn fetch_newer_pool_document(
        &self,
        slot: &MemberRecord,
        slot_switch_number: Option<SwitchNumber>,
    ) {
        let Route::Chat { pool, .. } = self.route else { return };
        let node = &self.stage.node;
        let own_switch_number = node.documents.pool(pool).map_or(0, |it| it.switch_number);
        if slot_switch_number.is_none_or(|it| it <= own_switch_number) {
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
            self.stage.quarantine.record_change(self.crashed_change(&slot.host)).await;
            let quarantine_status = self.stage.quarantine.status_of(&self.fingerprint);
            if quarantine_status == QuarantineStatus::Suspect && self.is_repeatable() {
                return AttemptError { failure, retry: RetryDecision::WithoutBudget };
            }
            return no_retry(failure);
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

    fn crashed_change(&self, host: &str) -> QuarantineChange {
        let host = host.to_owned();
        QuarantineChange::Crashed { fingerprint: self.fingerprint, host }
    }

    fn cleared_change(&self) -> QuarantineChange {
        QuarantineChange::Cleared { fingerprint: self.fingerprint }
    }

    /// Returns the failure of a request that the quarantine refuses.
    ///
    /// With an idempotency key the verdict is may-have-run, because an earlier call with the same
    /// key may have run.
    fn quarantined_failure(&self) -> Failure {
        let message = format!(
            "this request crashed {MAX_CRASHED_HOSTS} backend servers and is refused; \
             change it or ask an operator to clear it"
        );
        if self.incoming.idempotency_key.is_some() {
            return Failure::may_have_run(StatusCode::UnprocessableEntity, message);
        }
        Failure::not_run(StatusCode::UnprocessableEntity, message)
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

    fn pick_slot(&self, eligible: &EligibleSlots) -> Result<SlotGuard, AttemptError> {
        let all_hosts: Vec<HostId> = eligible.slots.iter().map(|it| it.host.clone()).collect();
        let is_untried = |it: &&HostId| !self.tried_hosts.contains(it);
        if let Some(first) = eligible.attempt_order.first() {
            let next = eligible.attempt_order.iter().find(is_untried).unwrap_or(first).clone();
            return self.stage.loads.pick(&[next], None).ok_or_else(|| self.no_eligible_slot());
        }
        let untried: Vec<HostId> = all_hosts.iter().filter(is_untried).cloned().collect();
        let hosts = if untried.is_empty() { &all_hosts } else { &untried };
        let preferred = self.preferred_host(hosts);
        self.stage.loads.pick(hosts, preferred.as_deref()).ok_or_else(|| self.no_eligible_slot())
    }

    /// Returns the host whose engine most likely has the prompt's prefix in its cache.
    ///
    /// It ranks the hosts by a rendezvous hash of the prefix, so that all entry hosts agree.
    fn preferred_host(&self, hosts: &[HostId]) -> Option<HostId> {
        let Route::Chat { prefix_digest, .. } = self.route else { return None };
        crate::membership::rank(&prefix_digest.to_string(), hosts).into_iter().next()
    }

    fn no_eligible_slot(&self) -> AttemptError {
        no_eligible_slot(self.route.target())
    }
}

fn no_retry(failure: Failure) -> AttemptError {
    AttemptError { failure, retry: RetryDecision::Never }
}
