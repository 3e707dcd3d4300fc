//! One request of a caller: authorized, placed, sent, and answered once.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        attempt_end::AttemptEnd,
        entry_host::EntryHost,
        place::{Demand, NoPlace, Place},
        refusal::Refusal,
        request_trace::{RequestOutcome, RequestTrace},
        stream_relay, whole_relay,
    },
    http1::{ConnectionWriter, HttpError, RequestHead, ResponseHead},
    ids::{CustomerId, ServiceId},
    placement::{can_finish_before_exit, Fingerprint},
    platform::wire_headers,
    relay::{Attempt, CallerRequest, EngineCall},
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
    pub(crate) trace: RequestTrace,
    pub(crate) fingerprint: Cell<Fingerprint>,
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
        let trace = RequestTrace::new(&request.id, received);
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
            trace,
            fingerprint: Cell::new(0),
        }
    }

    /// Answers the request.
    pub(crate) async fn run(&self) -> ExchangeEnd {
        let Some(charter) = self.host.charter.borrow().clone() else {
            let refusal = Refusal::not_run(503, "no charter yet; send the request elsewhere");
            return self.refuse(refusal.with_retry_after(RETRY_AFTER)).await;
        };
        self.trace.judged_by(charter.number);
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
        if self.host.time_to_end().is_some_and(|it| !can_finish_before_exit(it, time_limit)) {
            let refusal = Refusal::not_run(503, "this host is about to end; send it elsewhere");
            return self.refuse(refusal.with_retry_after(Duration::ZERO)).await;
        }
        let Some(service) = route.choose_service(fastrand::f64()) else {
            return self.refuse(Refusal::not_run(503, "the route leads nowhere")).await;
        };
        self.fingerprint.set(self.fingerprint_for(&customer));
        if self.host.is_crash_suspect(self.fingerprint.get()) {
            let message = "backend servers crashed while they ran this request";
            return self.refuse(Refusal::not_run(503, message)).await;
        }
        self.host.count_request(service);
        let limit = self.time_left(route) + LIMIT_MARGIN;
        match runtime::timeout(limit, self.attempts(route, service, &customer)).await {
            Ok(end) => end,
            Err(_) => self.end_late().await,
        }
    }

    /// Digest by which the request is known when it comes again.
    fn fingerprint_for(&self, customer: &Option<CustomerId>) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(customer.as_deref().unwrap_or("").as_bytes());
        hasher.update(&[0]);
        hasher.update(self.head.target.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.body);
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        u64::from_le_bytes(first)
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
            excluded: self.host.crash_suspects.borrow().crashed_backends(self.fingerprint.get()),
        };
        let mut n_sent = 0;
        let mut fallback = None;
        while n_sent < route.max_attempts {
            demand.is_resumed = self.is_head_sent.get();
            let patience = match demand.is_resumed {
                true => RESUME_PATIENCE,
                false => route.latency_objective.mul_f64(PATIENCE_SHARE),
            };
            let place = match Place::find(&self.host, &demand, patience).await {
                Ok(place) => place,
                Err(NoPlace::NoBackend) if n_sent == 0 && !demand.excluded.is_empty() => {
                    demand.excluded.clear();
                    continue;
                }
                Err(reason) if n_sent == 0 => return self.refuse_for(reason).await,
                Err(_) => break,
            };
            if n_sent > 0 && !self.host.take_repeat(service) {
                break;
            }
            demand.excluded.push(place.backend.clone());
            self.trace.attempted(&place.backend, (place.load.n_requests, place.load.unread_tokens));
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
            self.trace.ended(RequestOutcome::Cut);
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
            let relay = whole_relay::relay(self, &attempt);
            match runtime::timeout(PLAIN_ATTEMPT_LIMIT, relay).await {
                Ok(end) => end,
                Err(_) => AttemptEnd::lost(self, &place.backend, "time-out"),
            }
        } else {
            whole_relay::relay(self, &attempt).await
        };
        self.is_sent.set(false);
        end
    }

    /// Passes a whole answer on as it came.
    pub(crate) async fn pass_on(&self, mut head: ResponseHead, body: &[u8]) -> ExchangeEnd {
        head.headers.remove_hop_by_hop();
        head.headers.set("Content-Length", body.len().to_string());
        if self.closes {
            head.headers.push("Connection", "close");
        }
        let mut bytes = head.to_bytes();
        bytes.extend_from_slice(body);
        self.is_head_sent.set(true);
        self.trace.first_bytes();
        self.trace.ended(RequestOutcome::Answered(head.status));
        self.host.crash_suspects.borrow_mut().clear(self.fingerprint.get());
        self.end_of(self.caller.write(&bytes).await)
    }

    async fn refuse_for(&self, reason: NoPlace) -> ExchangeEnd {
        let message = match reason {
            NoPlace::NoBackend => "no backend server can take the request now",
            NoPlace::Full => "all backend servers are busy",
        };
        self.refuse(Refusal::not_run(503, message).with_retry_after(RETRY_AFTER)).await
    }

    async fn refuse(&self, refusal: Refusal) -> ExchangeEnd {
        self.is_head_sent.set(true);
        self.trace.ended(RequestOutcome::Refused {
            status: refusal.status,
            verdict: refusal.verdict,
            reason: refusal.message,
        });
        let res = refusal.send(&self.caller, &self.request.id, self.closes).await;
        self.end_of(res)
    }

    /// Ends a request whose time is over.
    async fn end_late(&self) -> ExchangeEnd {
        if self.is_head_sent.get() {
            self.trace.ended(RequestOutcome::Cut);
            return ExchangeEnd::Close;
        }
        let has_not_run = self.verdict.get() == Verdict::NotRun && !self.is_sent.get();
        let refusal = match has_not_run {
            true => Refusal::not_run(503, "the time limit passed before the request was sent"),
            false => Refusal::may_have_run(504, "the time limit passed"),
        };
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
