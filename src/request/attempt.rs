//! One request's tries at the slots of its pool or service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_types::{Request, Response, StatusCode, Url};

use crate::{
    charter::Charter,
    ids::{DocumentNumber, HostId, SwitchNumber},
    membership::{HostRole, HostState, MemberRecord},
    net::Exchange,
    peer::{DocumentName, LinkClass},
    request::{
        entry_stage::EntryStage, failure::Failure, headers, in_progress::InProgressGuard,
        incoming::Incoming, relay, route::Route, slot_loads::SlotGuard,
    },
    verdict::Verdict,
};

/// Longest answer that is relayed in one piece.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Time limit of the question for a newer document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Added to the deadline that the slot is told, so that its own answer still arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

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
    /// Hosts that the request was tried at.
    tried: Vec<HostId>,
}

/// Where a request may go now.
struct Places {
    slots: Vec<Arc<MemberRecord>>,
    switch_number: Option<SwitchNumber>,
}

impl<'a> Attempt<'a> {
    /// Prepares the first try.
    pub(crate) fn new(
        stage: &'a EntryStage,
        incoming: &'a Incoming,
        route: &'a Route,
        customer: &'a str,
    ) -> Attempt<'a> {
        Attempt { stage, incoming, route, customer, tried: Vec::new() }
    }

    /// Tries one slot; `guard` lives until the answer is relayed.
    pub(crate) async fn run(
        &mut self,
        guard: Arc<InProgressGuard>,
    ) -> Result<Response, AttemptError> {
        let places = self.places()?;
        let slot = self.pick(&places)?;
        let record = places.slots.iter().find(|it| it.host == slot.host);
        let record = record.expect("the picked slot is one of the places");
        let address = record.request_address;
        let request = self.request(address, places.switch_number);
        let limit = self.incoming.time_left() + ANSWER_MARGIN;
        let sent = self.stage.node.http.send(address, request, limit).await;
        self.tried.push(slot.host.clone());
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(err) => {
                slot.avoid();
                self.forget_gone();
                return Err(self.failed(Failure::of_call(&err)));
            }
        };
        slot.report(wait_of(&exchange.response));
        let verdict = exchange.response.header(headers::VERDICT).map(|it| it.as_str().to_owned());
        match verdict.as_deref().map(Verdict::from_header) {
            Some(Verdict::Ran) => self.relay(exchange, (slot, guard)).await,
            Some(verdict) => Err(self.refused(exchange, verdict, record).await),
            None => Err(never(not_a_slot(address))),
        }
    }

    async fn relay(
        &self,
        exchange: Exchange,
        guards: (SlotGuard, Arc<InProgressGuard>),
    ) -> Result<Response, AttemptError> {
        self.check_echo(&exchange.response)?;
        let mut response = Response::new(exchange.response.status());
        response.insert_header(headers::REQUEST_ID, self.incoming.id.as_str());
        for name in [headers::VERDICT, headers::VERSION, headers::SWITCH, "Content-Type"] {
            if let Some(value) = exchange.response.header(name) {
                response.insert_header(name, value);
            }
        }
        if relay::is_stream(&exchange.response) {
            response.set_body(relay::stream_body(exchange, self.incoming.deadline, guards));
            return Ok(response);
        }
        let content_type = response.header("Content-Type").cloned();
        let limit = self.incoming.time_left() + ANSWER_MARGIN;
        let read = crate::runtime::timeout(limit, exchange.read(MAX_ANSWER_BYTES)).await;
        let (_, body) = match read {
            Ok(Ok(whole)) => whole,
            Ok(Err(err)) => return Err(self.failed(Failure::of_call(&err))),
            Err(_) => return Err(never(too_late())),
        };
        response.set_body(body);
        if let Some(content_type) = content_type {
            response.insert_header("Content-Type", &content_type);
        }
        Ok(response)
    }

    /// Reads a slot's refusal and says what may be done about it.
    async fn refused(
        &self,
        exchange: Exchange,
        verdict: Verdict,
        slot: &MemberRecord,
    ) -> AttemptError {
        let status = exchange.response.status();
        let head = &exchange.response;
        let seconds = head.header(headers::RETRY_AFTER).and_then(|it| it.as_str().parse().ok());
        let switch = head.header(headers::SWITCH).and_then(|it| it.as_str().parse().ok());
        let is_crash = head.header(headers::CRASHED).is_some();
        let limit = self.incoming.time_left() + ANSWER_MARGIN;
        let read = crate::runtime::timeout(limit, exchange.read(MAX_ANSWER_BYTES)).await;
        let text = match read {
            Ok(Ok((_, body))) => message_of(&body),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the slot's answer did not arrive in time".to_owned(),
        };
        let mut failure = match verdict {
            Verdict::NotRun => Failure::not_run(status, text),
            Verdict::Ran | Verdict::MayHaveRun => Failure::may_have_run(status, text),
        };
        failure.is_crash = is_crash;
        failure.retry_after = seconds.map(Duration::from_secs);
        if verdict != Verdict::NotRun {
            return self.failed(failure);
        }
        match status {
            StatusCode::Conflict => {
                self.learn_switch(slot, switch).await;
                AttemptError { failure: as_unavailable(failure), retry: Retry::AfterChange }
            }
            StatusCode::ServiceUnavailable => AttemptError { failure, retry: Retry::AfterChange },
            StatusCode::TooManyRequests => AttemptError { failure, retry: Retry::WithinBudget },
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
        let number: DocumentNumber = document.number;
        if let Err(err) = node.documents.offer(document) {
            log::warn!("request: pool document refused number={number} error=\"{err}\"");
        }
    }

    /// Drops the loads of hosts that no longer take part.
    fn forget_gone(&self) {
        let membership = &self.stage.node.membership;
        let is_known =
            |host: &str| membership.record(host).is_some_and(|it| it.state != HostState::Gone);
        self.stage.loads.retain(is_known);
    }

    /// Whether a failed exchange may be tried again.
    fn failed(&self, failure: Failure) -> AttemptError {
        let is_safe = failure.verdict == Verdict::NotRun || self.is_repeatable();
        let is_late = failure.status == StatusCode::GatewayTimeout;
        let retry = if is_safe && !is_late { Retry::WithinBudget } else { Retry::Never };
        AttemptError { failure, retry }
    }

    fn is_repeatable(&self) -> bool {
        let Route::Service { service, .. } = self.route else { return true };
        let charter = self.stage.node.documents.charter();
        charter.and_then(|it| it.services.get(service).map(|it| it.repeatable)).unwrap_or(false)
    }

    fn check_echo(&self, response: &Response) -> Result<(), AttemptError> {
        let echo = response.header(headers::REQUEST_ID).map(|it| it.as_str());
        if echo == Some(self.incoming.id.as_str()) {
            return Ok(());
        }
        log::warn!("request: answer of another request dropped id={}", self.incoming.id);
        let message = "the slot sent the answer of another request, which was dropped";
        Err(self.failed(Failure::may_have_run(StatusCode::BadGateway, message)))
    }

    fn places(&self) -> Result<Places, AttemptError> {
        let node = &self.stage.node;
        let charter = node.documents.charter().unwrap_or_default();
        match self.route {
            Route::Chat { pool, .. } => self.pool_places(&charter, pool),
            Route::Service { service, .. } => self.service_places(&charter, service),
        }
    }

    fn pool_places(&self, charter: &Charter, pool: &str) -> Result<Places, AttemptError> {
        let Some(terms) = charter.pools.get(pool) else {
            let message = format!("no pool \"{pool}\" in the charter; name another model");
            return Err(never(Failure::not_run(StatusCode::NotFound, message)));
        };
        if !terms.customers.iter().any(|it| it == self.customer) {
            let message = format!("the customer does not share pool \"{pool}\"; ask an operator");
            return Err(never(Failure::not_run(StatusCode::Forbidden, message)));
        }
        let document = self.stage.node.documents.pool(pool);
        let Some((serving, number)) =
            document.and_then(|it| Some((it.serving.clone()?, it.switch_number)))
        else {
            return Err(no_place(pool));
        };
        let mut slots = self.stage.node.membership.live();
        slots.retain(|it| it.role == HostRole::Engine(pool.to_owned()));
        slots.retain(|it| terms.hosts.is_empty() || terms.hosts.contains(&it.host));
        slots.retain(|it| it.weights.loaded == Some(serving.manifest_digest));
        let is_ready = |it: &Arc<MemberRecord>| it.weights.switch_number == number;
        if slots.iter().any(is_ready) {
            slots.retain(is_ready);
        }
        Ok(Places { slots, switch_number: Some(number) })
    }

    fn service_places(&self, charter: &Charter, service: &str) -> Result<Places, AttemptError> {
        let Some(terms) = charter.services.get(service) else {
            let message = format!("no service \"{service}\" in the charter; name another one");
            return Err(never(Failure::not_run(StatusCode::NotFound, message)));
        };
        let is_shared = terms.customers.is_empty();
        if !is_shared && !terms.customers.iter().any(|it| it == self.customer) {
            let message = format!("the customer may not call \"{service}\"; ask an operator");
            return Err(never(Failure::not_run(StatusCode::Forbidden, message)));
        }
        if !terms.repeatable && self.incoming.idempotency_key.is_none() {
            let message = "calls of this service take effect at most once; send Idempotency-Key";
            return Err(never(Failure::not_run(StatusCode::BadRequest, message)));
        }
        let mut slots = self.stage.node.membership.live();
        slots.retain(|it| it.role == HostRole::Service(service.to_owned()));
        Ok(Places { slots, switch_number: None })
    }

    fn pick(&self, places: &Places) -> Result<SlotGuard, AttemptError> {
        let all: Vec<HostId> = places.slots.iter().map(|it| it.host.clone()).collect();
        let is_new = |it: &&HostId| !self.tried.contains(it);
        let untried: Vec<HostId> = all.iter().filter(is_new).cloned().collect();
        let hosts = if untried.is_empty() { &all } else { &untried };
        self.stage.loads.pick(hosts, None).ok_or_else(|| no_place(self.target_name()))
    }

    fn target_name(&self) -> &str {
        match self.route {
            Route::Chat { pool, .. } => pool,
            Route::Service { service, .. } => service,
        }
    }

    fn request(&self, address: SocketAddr, switch_number: Option<SwitchNumber>) -> Request {
        let url = format!("http://{address}{}", self.incoming.path);
        let url = Url::parse(&url).expect("an address and a checked path make a URL");
        let mut request = Request::new(self.incoming.method, url);
        request.set_body(self.incoming.body.clone());
        if let Some(content_type) = &self.incoming.content_type {
            request.insert_header("Content-Type", content_type.as_str());
        }
        let id = self.incoming.id.as_str();
        let proof = self.stage.node.settings.secrets.peer_key.sign(id.as_bytes());
        let left = self.incoming.time_left().as_millis().max(1);
        request.insert_header(headers::REQUEST_ID, id);
        request.insert_header(headers::PROOF, proof.to_hex().as_str());
        request.insert_header(headers::CUSTOMER, self.customer);
        request.insert_header(headers::DEADLINE_MS, left.to_string());
        if let Some(number) = switch_number {
            request.insert_header(headers::SWITCH, number.to_string());
        }
        if let Some(key) = &self.incoming.idempotency_key {
            request.insert_header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        if let Some(priority) = &self.incoming.priority {
            request.insert_header(headers::PRIORITY, priority.as_str());
        }
        request
    }
}

fn never(failure: Failure) -> AttemptError {
    AttemptError { failure, retry: Retry::Never }
}

fn no_place(name: &str) -> AttemptError {
    let message = format!("no host serves \"{name}\" now; send it again later");
    let failure = Failure::not_run(StatusCode::ServiceUnavailable, message);
    let failure = failure.retry_after(Duration::from_secs(1));
    AttemptError { failure, retry: Retry::AfterChange }
}

fn as_unavailable(mut failure: Failure) -> Failure {
    failure.status = StatusCode::ServiceUnavailable;
    failure.retry_after = Some(Duration::from_secs(1));
    failure
}

fn too_late() -> Failure {
    let message = "the answer did not arrive in time; send it again only if it may run twice";
    Failure::may_have_run(StatusCode::GatewayTimeout, message)
}

fn not_a_slot(address: SocketAddr) -> Failure {
    let message = format!("the host at {address} answered without a verdict");
    Failure::may_have_run(StatusCode::BadGateway, message)
}

fn wait_of(response: &Response) -> Duration {
    let text = response.header(headers::LOAD_WAIT_MS).map(|it| it.as_str());
    Duration::from_millis(text.and_then(|it| it.parse().ok()).unwrap_or(0))
}

fn message_of(body: &[u8]) -> String {
    let json: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let message = json.as_ref().and_then(|it| it["error"]["message"].as_str());
    message.unwrap_or("the slot refused the request").to_owned()
}
