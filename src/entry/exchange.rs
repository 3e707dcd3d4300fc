//! One request of a caller: authorized, placed, sent, and answered once.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        entry_host::EntryHost,
        place::{Demand, NoPlace, Place},
        refusal::Refusal,
        stream_relay,
    },
    http1::{ConnectionWriter, HttpError, RequestHead, ResponseHead},
    ids::{BackendId, CustomerId, ServiceId},
    placement::may_take,
    platform::wire_headers,
    relay::{Attempt, BackendAnswer, CallerRequest, EngineCall},
    routing::{Route, RouteKind},
    runtime,
    verdict::Verdict,
};

/// Time after a time limit in which the engine's own answer may still come.
const LIMIT_MARGIN: Duration = Duration::from_millis(40);
/// Share of a request's goal for which it waits for a place.
const PATIENCE_SHARE: f64 = 0.125;
/// Time for which a stream that is to go on waits for a place.
const RESUME_PATIENCE: Duration = Duration::from_millis(800);
/// Time for the answer of a plain service when the request may be sent elsewhere.
const PLAIN_ATTEMPT_LIMIT: Duration = Duration::from_millis(450);
/// Time after which a caller that was turned away comes again.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Whether the caller's connection may be used further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeEnd {
    /// The answer is whole.
    Reusable,
    /// The connection must be closed.
    Close,
}

/// How one attempt ended.
pub(crate) enum AttemptEnd {
    /// The caller has a whole answer, or has left.
    Done(ExchangeEnd),
    /// The backend server answered that the request did not run.
    Refused(ResponseHead, Vec<u8>),
    /// No connection could be opened.
    Unreachable,
    /// The backend server ran the request and answered with a failure of its own.
    Failed(ResponseHead, Vec<u8>),
    /// The answer was lost or can't be used.
    Lost,
}

/// A request whose bytes are whole.
pub(crate) struct Exchange {
    pub(crate) host: Rc<EntryHost>,
    pub(crate) caller: ConnectionWriter,
    pub(crate) request: CallerRequest,
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) received: Instant,
    pub(crate) closes: bool,
    pub(crate) is_head_sent: Cell<bool>,
    /// Last event that the caller has.
    pub(crate) last_event: RefCell<Option<String>>,
    /// What may be concluded so far.
    verdict: Cell<Verdict>,
    /// Whether a backend server has the request now.
    is_sent: Cell<bool>,
}

impl Exchange {
    /// Takes a whole request.
    pub(crate) fn new(
        host: Rc<EntryHost>,
        caller: ConnectionWriter,
        head: RequestHead,
        body: Vec<u8>,
        received: Instant,
        closes: bool,
    ) -> Exchange {
        let request = wire_headers::decode_request(&head);
        let last_event = RefCell::new(request.last_event.clone());
        Exchange {
            host,
            caller,
            request,
            head,
            body,
            received,
            closes,
            is_head_sent: Cell::new(false),
            last_event,
            verdict: Cell::new(Verdict::NotRun),
            is_sent: Cell::new(false),
        }
    }

    /// Answers the request.
    pub(crate) async fn run(&self) -> ExchangeEnd {
        let Some(charter) = self.host.charter.borrow().clone() else {
            let refusal = Refusal::not_run(503, "no charter yet; send the request elsewhere");
            return self.refuse(refusal.with_retry_after(RETRY_AFTER)).await;
        };
        let Some(route) = charter.route(&self.request.host, self.head.path()) else {
            return self.refuse(Refusal::not_run(404, "no route; check host and path")).await;
        };
        let customer = match (&charter.customers, route.is_public) {
            (None, _) | (_, true) => None,
            (Some(customers), false) => {
                match self.request.key.as_ref().and_then(|it| customers.get(it)) {
                    Some(customer) => Some(customer.clone()),
                    None => {
                        let message = "unknown key; send the key of a customer";
                        return self.refuse(Refusal::not_run(401, message)).await;
                    }
                }
            }
        };
        let time_limit = self.time_left(route);
        if self.host.time_to_end().is_some_and(|it| !may_take(it, time_limit)) {
            let refusal = Refusal::not_run(503, "this host is about to end; send it elsewhere");
            return self.refuse(refusal.with_retry_after(Duration::ZERO)).await;
        }
        let Some(service) = route.choose_service(fastrand::f64()) else {
            return self.refuse(Refusal::not_run(503, "the route leads nowhere")).await;
        };
        self.host.count_request(service);
        let limit = self.time_left(route) + LIMIT_MARGIN;
        match runtime::timeout(limit, self.attempts(route, service, &customer)).await {
            Ok(end) => end,
            Err(_) => self.end_late().await,
        }
    }

    /// Time that is left for the caller and for the route.
    fn time_left(&self, route: &Route) -> Duration {
        let limit = self.request.time_left.unwrap_or(route.timeout).min(route.timeout);
        limit.saturating_sub(self.received.elapsed())
    }

    async fn attempts(
        &self,
        route: &Route,
        service: &ServiceId,
        customer: &Option<CustomerId>,
    ) -> ExchangeEnd {
        let mut demand = Demand {
            service: service.clone(),
            model: self.request.model.clone(),
            prompt_tokens: self.request.sizes.prompt_tokens,
            is_resumed: false,
            excluded: Vec::new(),
        };
        let mut n_sent = 0;
        let mut fallback = None;
        while n_sent < route.max_attempts {
            demand.is_resumed = self.is_head_sent.get();
            let patience = match demand.is_resumed {
                true => RESUME_PATIENCE,
                false => route.goal.mul_f64(PATIENCE_SHARE),
            };
            let place = match Place::find(&self.host, &demand, patience).await {
                Ok(place) => place,
                Err(reason) if n_sent == 0 => return self.refuse_for(reason).await,
                Err(_) => break,
            };
            if n_sent > 0 && !self.host.take_repeat(service) {
                break;
            }
            demand.excluded.push(place.backend.clone());
            let is_last = n_sent + 1 >= route.max_attempts;
            match self.attempt(route, &place, customer, is_last).await {
                AttemptEnd::Done(end) => return end,
                AttemptEnd::Refused(head, body) => {
                    n_sent += 1;
                    fallback = fallback.or(Some((head, body)));
                }
                AttemptEnd::Unreachable => continue,
                AttemptEnd::Failed(head, body) => {
                    n_sent += 1;
                    self.verdict.set(Verdict::MayHaveRun);
                    fallback = Some((head, body));
                    if !route.is_repeatable() {
                        break;
                    }
                }
                AttemptEnd::Lost => {
                    n_sent += 1;
                    self.verdict.set(Verdict::MayHaveRun);
                    fallback = None;
                    if !route.is_repeatable() {
                        break;
                    }
                }
            }
        }
        self.conclude(fallback).await
    }

    /// Ends a request that no further attempt can help.
    async fn conclude(&self, fallback: Option<(ResponseHead, Vec<u8>)>) -> ExchangeEnd {
        if self.is_head_sent.get() {
            log::info!("relay: stream cut request={}", self.request.id);
            return ExchangeEnd::Close;
        }
        // A refusal by a backend server is true only if no other attempt may have run.
        let is_true = |head: &ResponseHead| {
            self.verdict.get() == Verdict::NotRun || !matches!(head.status, 408 | 421 | 429 | 503)
        };
        match fallback {
            Some((head, body)) if is_true(&head) && head.status != 421 => {
                self.pass_on(head, &body).await
            }
            _ if self.verdict.get() == Verdict::NotRun => self.refuse_for(NoPlace::NoBackend).await,
            _ => {
                log::info!("relay: answer lost request={}", self.request.id);
                self.refuse(Refusal::may_have_run(502, "the backend server's answer was lost"))
                    .await
            }
        }
    }

    async fn attempt(
        &self,
        route: &Route,
        place: &Place,
        customer: &Option<CustomerId>,
        is_last: bool,
    ) -> AttemptEnd {
        let call = EngineCall {
            backend: place.backend.clone(),
            customer: customer.clone(),
            expected_version: place.expected_version,
            time_left: self.time_left(route),
            last_event: self.last_event.borrow().clone(),
            body_bytes: self.body.len(),
        };
        let head = wire_headers::backend_head(&self.head, &call);
        let attempt = Attempt {
            backend: &place.backend,
            address: place.address,
            request_id: &self.request.id,
            head: &head,
            body: &self.body,
            may_reuse: route.kind != RouteKind::NonIdempotent,
        };
        self.is_sent.set(true);
        let end = if route.is_stream() {
            stream_relay::relay(self, route, &attempt, place, is_last).await
        } else if route.is_repeatable() && !is_last {
            let relay = self.relay_whole(&attempt);
            match runtime::timeout(PLAIN_ATTEMPT_LIMIT, relay).await {
                Ok(end) => end,
                Err(_) => self.lost(&place.backend, "time-out"),
            }
        } else {
            self.relay_whole(&attempt).await
        };
        self.is_sent.set(false);
        end
    }

    async fn relay_whole(&self, attempt: &Attempt<'_>) -> AttemptEnd {
        let answer = match attempt.send(&self.host.connections).await {
            Ok(answer) => answer,
            Err(err) if err.verdict == Verdict::NotRun => {
                return self.unreachable(attempt.backend, &err.err);
            }
            Err(err) => return self.lost(attempt.backend, &err.err.to_string()),
        };
        self.end_whole(answer, attempt.backend).await
    }

    /// Reads a whole answer and passes it on unless another attempt may do better.
    pub(crate) async fn end_whole(
        &self,
        mut answer: BackendAnswer,
        backend: &BackendId,
    ) -> AttemptEnd {
        let body = match self.read_whole(&mut answer, backend).await {
            Ok(body) => body,
            Err(end) => return end,
        };
        let head = answer.head.clone();
        let is_not_run = answer.facts.is_not_run;
        answer.close(&self.host.connections);
        match head.status {
            _ if is_not_run => AttemptEnd::Refused(head, body),
            500.. => AttemptEnd::Failed(head, body),
            _ => AttemptEnd::Done(self.pass_on(head, &body).await),
        }
    }

    async fn read_whole(
        &self,
        answer: &mut BackendAnswer,
        backend: &BackendId,
    ) -> Result<Vec<u8>, AttemptEnd> {
        let body = match answer.read_whole().await {
            Ok(body) => body,
            Err(err) => return Err(self.lost(backend, &err.to_string())),
        };
        let is_success = (200..300).contains(&answer.head.status);
        let facts = &answer.facts;
        if facts.is_encoded || (is_success && !facts.has_receipt) {
            return Err(self.lost(backend, "no answer of a backend server"));
        }
        if facts.is_other_backend {
            log::info!("fleet: another backend server at the address backend={backend}");
            self.host.connections.forget(backend);
            self.host.health.borrow_mut().failed(backend, Instant::now());
        } else if answer.head.status < 500 || facts.is_not_run {
            self.host.health.borrow_mut().succeeded(backend);
        }
        Ok(body)
    }

    pub(crate) fn unreachable(&self, backend: &BackendId, err: &HttpError) -> AttemptEnd {
        log::info!(
            "relay: unreachable request={} backend={backend} error=\"{err}\"",
            self.request.id
        );
        self.host.health.borrow_mut().failed(backend, Instant::now());
        AttemptEnd::Unreachable
    }

    pub(crate) fn lost(&self, backend: &BackendId, reason: &str) -> AttemptEnd {
        log::info!(
            "relay: attempt lost request={} backend={backend} reason=\"{reason}\"",
            self.request.id
        );
        // An engine that switches to other weights breaks off what runs, which is no fault of its.
        if self.host.is_switching(backend) {
            return AttemptEnd::Lost;
        }
        if self.host.health.borrow_mut().failed(backend, Instant::now()) {
            log::info!("health: backend rests backend={backend}");
            self.host.connections.forget(backend);
        }
        AttemptEnd::Lost
    }

    /// Passes a whole answer on as it came.
    async fn pass_on(&self, mut head: ResponseHead, body: &[u8]) -> ExchangeEnd {
        head.headers.remove_hop_by_hop();
        head.headers.set("Content-Length", body.len().to_string());
        if self.closes {
            head.headers.push("Connection", "close");
        }
        let mut bytes = head.to_bytes();
        bytes.extend_from_slice(body);
        self.is_head_sent.set(true);
        self.end_of(self.caller.write(&bytes).await)
    }

    async fn refuse_for(&self, reason: NoPlace) -> ExchangeEnd {
        let message = match reason {
            NoPlace::NoBackend => "no backend server can take the request now",
            NoPlace::Full => "all backend servers are busy",
        };
        log::debug!("admission: refused request={} reason={reason:?}", self.request.id);
        self.refuse(Refusal::not_run(503, message).with_retry_after(RETRY_AFTER)).await
    }

    async fn refuse(&self, refusal: Refusal) -> ExchangeEnd {
        self.is_head_sent.set(true);
        let res = refusal.send(&self.caller, &self.request.id, self.closes).await;
        self.end_of(res)
    }

    /// Ends a request whose time is over.
    async fn end_late(&self) -> ExchangeEnd {
        if self.is_head_sent.get() {
            log::info!("relay: stream over its time limit request={}", self.request.id);
            return ExchangeEnd::Close;
        }
        let has_not_run = self.verdict.get() == Verdict::NotRun && !self.is_sent.get();
        let refusal = match has_not_run {
            true => Refusal::not_run(503, "the time limit passed before the request was sent"),
            false => Refusal::may_have_run(504, "the time limit passed"),
        };
        log::info!("relay: time limit request={} verdict={}", self.request.id, refusal.verdict);
        self.refuse(refusal).await
    }

    fn end_of(&self, res: Result<(), HttpError>) -> ExchangeEnd {
        match res {
            Ok(()) if !self.closes => ExchangeEnd::Reusable,
            Ok(()) => ExchangeEnd::Close,
            Err(err) => {
                log::debug!("relay: caller lost request={} error=\"{err}\"", self.request.id);
                ExchangeEnd::Close
            }
        }
    }
}
