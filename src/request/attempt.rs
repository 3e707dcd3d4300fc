//! One request's tries at the slots of its pool or service.

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
        account::Account,
        backend_probe,
        entry_stage::EntryStage,
        failure::Failure,
        headers,
        in_progress::InProgressGuard,
        incoming::Incoming,
        places::{no_place, Places},
        quarantine::{QuarantineChange, Standing, MAX_CRASHED_HOSTS},
        relay::{self, StreamEnd},
        route::Route,
        slot_loads::SlotGuard,
        slot_request::SlotRequest,
        slot_response::{
            error_message, header_duration, into_unavailable, missing_verdict, response_timeout,
        },
    },
    runtime,
    verdict::Verdict,
};

/// Longest answer that is relayed in one piece.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Time limit of the question for a newer document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time beyond the deadline in which a slot's own failure still arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// What may be done after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retry {
    /// The failure goes to the caller.
    Never,
    /// Try again if the retry budget allows.
    WithinBudget,
    /// Try again after a pause: the slots are about to change.
    AfterChange,
}

/// A failed try.
#[derive(Debug)]
pub(crate) struct AttemptError {
    /// What the caller is told if it was the last try.
    pub(crate) failure: Failure,
    /// What may be done.
    pub(crate) retry: Retry,
}

/// A request on its way to a slot.
pub(crate) struct Attempt<'a> {
    stage: &'a EntryStage,
    /// The request.
    pub(crate) incoming: &'a Incoming,
    route: &'a Route,
    customer: &'a str,
    fingerprint: Digest,
    guard: Arc<InProgressGuard>,
    /// Taken by the answer that ends the request.
    pub(crate) account: Option<Account>,
    /// Hosts that the request was tried at.
    tried: Vec<HostId>,
}

/// A slot that answered, and what is released with the end of its answer.
struct Answering {
    slot: SlotGuard,
    standing: Standing,
    version: Option<String>,
    sent: Instant,
}

impl<'a> Attempt<'a> {
    /// Prepares the first try; `guard` lives until the answer is relayed.
    pub(crate) fn new(
        stage: &'a EntryStage,
        incoming: &'a Incoming,
        route: &'a Route,
        customer: &'a str,
        guard: InProgressGuard,
        account: Account,
    ) -> Attempt<'a> {
        let mut hasher = blake3::Hasher::new();
        hasher.update(incoming.path.as_bytes());
        hasher.update(&[0]);
        hasher.update(&incoming.body);
        Attempt {
            stage,
            incoming,
            route,
            customer,
            fingerprint: hasher.finalize().into(),
            guard: Arc::new(guard),
            account: Some(account),
            tried: Vec::new(),
        }
    }

    /// Tries one slot.
    pub(crate) async fn run(&mut self) -> Result<Response, AttemptError> {
        let node = &self.stage.node;
        let places = Places::find(node, self.incoming, self.route, self.customer)?;
        let standing = self.stage.quarantine.standing(&self.fingerprint);
        if standing == Standing::Refused {
            return Err(never(self.quarantined()));
        }
        let slot = self.pick(&places)?;
        self.tried.push(slot.host.clone());
        let record = places.slots.iter().find(|it| it.host == slot.host);
        let record = record.expect("the picked slot is one of the places");
        let slot_request = SlotRequest {
            incoming: self.incoming,
            customer: self.customer,
            switch_number: places.switch_number,
            standing,
        };
        let key = &node.settings.secrets.peer_key;
        let request = slot_request.build(record.request_address, key);
        let limit = self.incoming.time_left() + ANSWER_MARGIN;
        let sent = Instant::now();
        let exchange = match node.http.send(record.request_address, request, limit).await {
            Ok(exchange) => exchange,
            Err(err) => {
                self.forget_gone();
                return Err(self.failed_at(&slot, Failure::of_call(&err)).await);
            }
        };
        slot.record_wait(header_duration(&exchange.response, headers::LOAD_WAIT_MS));
        let verdict = exchange.response.header(headers::VERDICT).map(|it| it.as_str().to_owned());
        match verdict.as_deref().map(Verdict::from_header) {
            Some(Verdict::Ran) => {
                let version = places.version;
                self.relay(exchange, Answering { slot, standing, version, sent }).await
            }
            Some(verdict) => Err(self.refused(exchange, verdict, &slot, record).await),
            None => Err(never(missing_verdict(record.request_address))),
        }
    }

    async fn relay(
        &mut self,
        exchange: Exchange,
        answering: Answering,
    ) -> Result<Response, AttemptError> {
        let Answering { slot, standing, version, sent } = answering;
        self.check_echo(&exchange.response)?;
        let mut response = self.head_of(&exchange.response);
        let answered_version = exchange.response.header(headers::VERSION).map(|it| it.as_str());
        let is_intended = answered_version == version.as_deref();
        let slot_wait = header_duration(&exchange.response, headers::WAIT_MS);
        if let Some(account) = &mut self.account {
            account.answered_by(&slot.host, sent, slot_wait, is_intended);
        }
        if relay::is_stream(&exchange.response) {
            let body = relay::stream_body(
                exchange,
                self.incoming.deadline,
                self.on_stream_end(slot, standing),
            );
            response.set_body(body);
            return Ok(response);
        }
        let limit = self.incoming.time_left() + ANSWER_MARGIN;
        let (_, body) = match runtime::timeout(limit, exchange.read(MAX_ANSWER_BYTES)).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(err)) => return Err(self.failed_at(&slot, Failure::of_call(&err)).await),
            Err(_) => return Err(never(response_timeout())),
        };
        if standing == Standing::Suspect {
            self.stage.quarantine.note(self.cleared()).await;
        }
        let content_type = response.header("Content-Type").cloned();
        response.set_body(body);
        if let Some(content_type) = content_type {
            response.insert_header("Content-Type", &content_type);
        }
        if let Some(account) = self.account.take() {
            account.complete();
        }
        Ok(response)
    }

    fn head_of(&self, answer: &Response) -> Response {
        let mut response = Response::new(answer.status());
        response.insert_header(headers::REQUEST_ID, self.incoming.id.as_str());
        let names =
            [headers::VERDICT, headers::VERSION, headers::SWITCH, headers::WAIT_MS, "Content-Type"];
        for name in names {
            if let Some(value) = answer.header(name) {
                response.insert_header(name, value);
            }
        }
        response
    }

    /// Ends the account and the guards with the stream; a cut one may have crashed its host.
    fn on_stream_end(&mut self, slot: SlotGuard, standing: Standing) -> relay::OnStreamEnd {
        let account = self.account.take();
        let guard = self.guard.clone();
        let quarantine = self.stage.quarantine.clone();
        let cleared = self.cleared();
        let crashed = self.crashed(&slot.host);
        let node = self.stage.node.clone();
        let address = node.membership.record(&slot.host).map(|it| it.request_address);
        Box::new(move |end| {
            if let Some(account) = account {
                account.stream_ended(end);
            }
            drop((slot, guard));
            match end {
                StreamEnd::Cut => runtime::spawn(async move {
                    let is_up = match address {
                        Some(it) => backend_probe::is_up_via_slot(&node, it).await,
                        None => false,
                    };
                    if !is_up {
                        quarantine.note(crashed).await;
                    }
                })
                .detach(),
                StreamEnd::Whole if standing == Standing::Suspect => {
                    runtime::spawn(async move { quarantine.note(cleared).await }).detach();
                }
                StreamEnd::Whole | StreamEnd::Late | StreamEnd::Left => {}
            }
        })
    }

    /// Reads a slot's refusal and says what may be done about it.
    async fn refused(
        &self,
        exchange: Exchange,
        verdict: Verdict,
        slot: &SlotGuard,
        record: &MemberRecord,
    ) -> AttemptError {
        let status = exchange.response.status();
        let head = &exchange.response;
        let seconds = head.header(headers::RETRY_AFTER).and_then(|it| it.as_str().parse().ok());
        let switch = head.header(headers::SWITCH).and_then(|it| it.as_str().parse().ok());
        let is_crash = head.header(headers::CRASHED).is_some();
        let is_platform_out = head.header(headers::PLATFORM_OUT).is_some();
        let limit = self.incoming.time_left() + ANSWER_MARGIN;
        let text = match runtime::timeout(limit, exchange.read(MAX_ANSWER_BYTES)).await {
            Ok(Ok((_, body))) => error_message(&body),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the slot's answer did not arrive in time".to_owned(),
        };
        let mut failure = match verdict {
            Verdict::NotRun => Failure::not_run(status, text),
            Verdict::Ran | Verdict::MayHaveRun => Failure::may_have_run(status, text),
        };
        failure.is_crash = is_crash;
        failure.retry_after_s = seconds.map(Duration::from_secs);
        if verdict != Verdict::NotRun {
            return self.failed_at(slot, failure).await;
        }
        match status {
            StatusCode::Conflict if switch.is_some() => {
                self.learn_switch(record, switch).await;
                AttemptError { failure: into_unavailable(failure), retry: Retry::AfterChange }
            }
            _ if is_platform_out => never(failure),
            StatusCode::ServiceUnavailable => AttemptError { failure, retry: Retry::AfterChange },
            StatusCode::TooManyRequests => AttemptError { failure, retry: Retry::WithinBudget },
            _ if status.is_server_error() => self.failed_at(slot, failure).await,
            _ => never(failure),
        }
    }

    /// Asks a slot with a greater switch number for the pool's document.
    async fn learn_switch(&self, slot: &MemberRecord, theirs: Option<SwitchNumber>) {
        let Route::Chat { pool, .. } = self.route else { return };
        let node = &self.stage.node;
        let own = node.documents.pool(pool).map_or(0, |it| it.switch_number);
        if theirs.is_none_or(|it| it <= own) {
            return;
        }
        let name = DocumentName::Pool(pool.clone());
        let call = node.peers.call(
            slot.peer_address,
            LinkClass::Control,
            DOCUMENT_TIMEOUT,
            |peer, ctx| async move { peer.document(ctx, name).await },
        );
        let Ok(Some(document)) = call.await else { return };
        if let Err(err) = node.documents.offer(document) {
            log::warn!("request: pool document refused error=\"{err}\"");
        }
    }

    /// Drops the loads of hosts that no longer take part.
    fn forget_gone(&self) {
        let membership = &self.stage.node.membership;
        let is_known =
            |host: &str| membership.record(host).is_some_and(|it| it.state != HostState::Gone);
        self.stage.loads.retain(is_known);
    }

    /// Notes a failed exchange and says whether the request may be tried again.
    async fn failed_at(&self, slot: &SlotGuard, failure: Failure) -> AttemptError {
        slot.record_unreachable();
        if failure.is_crash && !self.is_up_behind(&slot.host).await {
            self.stage.quarantine.note(self.crashed(&slot.host)).await;
            let standing = self.stage.quarantine.standing(&self.fingerprint);
            if standing == Standing::Suspect && self.is_repeatable() {
                return AttemptError { failure, retry: Retry::AfterChange };
            }
            return never(failure);
        }
        let is_safe = failure.verdict == Verdict::NotRun || self.is_repeatable();
        let is_late = failure.status == StatusCode::GatewayTimeout;
        let retry = if is_safe && !is_late { Retry::WithinBudget } else { Retry::Never };
        AttemptError { failure, retry }
    }

    async fn is_up_behind(&self, host: &str) -> bool {
        let node = &self.stage.node;
        let Some(record) = node.membership.record(host) else { return false };
        backend_probe::is_up_via_slot(node, record.request_address).await
    }

    fn is_repeatable(&self) -> bool {
        let Route::Service { service, .. } = self.route else { return true };
        let charter = self.stage.node.documents.charter();
        charter.and_then(|it| it.services.get(service).map(|it| it.repeatable)).unwrap_or(false)
    }

    fn crashed(&self, host: &str) -> QuarantineChange {
        let host = host.to_owned();
        QuarantineChange::Crashed { fingerprint: self.fingerprint, host }
    }

    fn cleared(&self) -> QuarantineChange {
        QuarantineChange::Cleared { fingerprint: self.fingerprint }
    }

    /// A key's earlier call may have run, so a request with a key is not told that it did not.
    fn quarantined(&self) -> Failure {
        let message = format!(
            "this request crashed {MAX_CRASHED_HOSTS} backend servers and is refused; \
             change it or ask an operator to clear it"
        );
        if self.incoming.idempotency_key.is_some() {
            return Failure::may_have_run(StatusCode::UnprocessableEntity, message);
        }
        Failure::not_run(StatusCode::UnprocessableEntity, message)
    }

    fn check_echo(&self, response: &Response) -> Result<(), AttemptError> {
        let echo = response.header(headers::REQUEST_ID).map(|it| it.as_str());
        if echo == Some(self.incoming.id.as_str()) {
            return Ok(());
        }
        log::warn!("request: answer of another request dropped id={}", self.incoming.id);
        let message = "the slot sent the answer of another request, which was dropped";
        let failure = Failure::may_have_run(StatusCode::BadGateway, message);
        let retry = if self.is_repeatable() { Retry::WithinBudget } else { Retry::Never };
        Err(AttemptError { failure, retry })
    }

    fn pick(&self, places: &Places) -> Result<SlotGuard, AttemptError> {
        let all: Vec<HostId> = places.slots.iter().map(|it| it.host.clone()).collect();
        let is_new = |it: &&HostId| !self.tried.contains(it);
        if let Some(first) = places.order.first() {
            let next = places.order.iter().find(is_new).unwrap_or(first).clone();
            return self.stage.loads.pick(&[next], None).ok_or_else(|| self.no_place());
        }
        let untried: Vec<HostId> = all.iter().filter(is_new).cloned().collect();
        let hosts = if untried.is_empty() { &all } else { &untried };
        let favoured = self.favoured(hosts);
        self.stage.loads.pick(hosts, favoured.as_deref()).ok_or_else(|| self.no_place())
    }

    /// The host whose engine most likely holds the prompt's prefix in its cache.
    fn favoured(&self, hosts: &[HostId]) -> Option<HostId> {
        let Route::Chat { prefix, .. } = self.route else { return None };
        crate::membership::rank(&prefix.to_string(), hosts).into_iter().next()
    }

    fn no_place(&self) -> AttemptError {
        no_place(self.route.target())
    }
}

fn never(failure: Failure) -> AttemptError {
    AttemptError { failure, retry: Retry::Never }
}
