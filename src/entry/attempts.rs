//! The attempts of one request at backend servers, one after the other.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    clock,
    entry::{
        attempt_outcome::AttemptOutcome,
        backend_requirements::BackendRequirements,
        buffered_relay, crash_reports,
        cut_reason::CutReason,
        engine_stream::EngineStream,
        error_response::ErrorResponse,
        exchange::{ConnectionReuse, Exchange},
        request_sender::{RequestSender, UsableResponse},
        reservation::Reservation,
        reservation_error::ReservationError,
        stream_relay,
        successor::{Successor, SuccessorSearch},
    },
    http1::ResponseHead,
    ids::ServiceId,
    memory::BufferedBody,
    placement::{QuarantinedPart, RequestAttempt},
    routing::{Customer, QueueTerms, Route},
    runtime,
    verdict::Verdict,
};

/// Share of the latency objective for which a request waits, unless its terms allow a longer wait.
const QUEUE_TIMEOUT_SHARE: f64 = 0.125;
/// Time for which a stream that broke off waits for an engine that resumes it; callers leave after a
/// gap of two seconds at the earliest.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1900);
/// Time between two searches for such an engine.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a response, for a request without a stream, after which another backend server is
/// sought.
const PLAIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum length of a failed attempt's response that is kept while another attempt runs.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// The attempts of one request.
struct Attempts<'a> {
    sender: RequestSender<'a>,
    requirements: BackendRequirements,
    /// The number of backend servers that may have got the request.
    n_sent: u32,
    /// Response of a backend server, for the case that no later attempt succeeds.
    fallback: Option<(ResponseHead, BufferedBody)>,
    /// A backend server that responded in place of the last one.
    successor: Option<Successor<'a>>,
}

/// The end of one attempt.
enum AttemptEnd<'a> {
    /// Its outcome.
    Outcome(AttemptOutcome),
    /// Another backend server responded while this one was silent, or after the outcome.
    Replaced(Box<Successor<'a>>, Option<AttemptOutcome>),
}

/// The end of the attempts.
enum End {
    /// The caller received a response, or disconnected.
    Done(ConnectionReuse),
    /// No further attempt is possible.
    Exhausted(CutReason),
}

/// Sends the request to one backend server after the other until one responds or no further
/// attempt is allowed.
pub(crate) async fn run(
    exchange: &Exchange,
    route: &Route,
    service: &ServiceId,
    customer: Option<&Customer>,
) -> ConnectionReuse {
    let sender = RequestSender { exchange, route, customer };
    let mut attempts = Attempts::new(sender, service);
    let end = loop {
        if let Err(end) = attempts.run_next().await {
            break end;
        }
    };
    match end {
        End::Done(reuse) => reuse,
        End::Exhausted(cut_reason) => {
            respond_after_attempts(exchange, attempts.fallback.take(), cut_reason).await
        }
    }
}

impl<'a> Attempts<'a> {
    fn new(sender: RequestSender<'a>, service: &ServiceId) -> Attempts<'a> {
        let RequestSender { exchange, route, customer } = sender;
        let request = &exchange.request;
        let sizes = &request.sizes;
        let charter = exchange.host.charter.borrow();
        let age = clock::elapsed(exchange.received);
        let now = Instant::now();
        let attempt = RequestAttempt {
            request: exchange.fingerprint.get(),
            number: exchange.host.admission.take_number(),
        };
        let requirements = BackendRequirements {
            service: service.clone(),
            route: route.id(),
            latency_objective: route.latency_objective,
            model: request.model.clone(),
            attempt: Some(attempt),
            prompt_tokens: sizes.prompt_tokens,
            output_tokens: sizes.output_tokens(),
            rank: route.rank(customer),
            objective_at: now + route.latency_objective.saturating_sub(age),
            deadline_at: now + exchange.time_left(route),
            terms: charter.as_ref().map_or_else(QueueTerms::default, |it| {
                it.queue_terms(route, service, customer, sizes.prompt_tokens, sizes.output_tokens())
            }),
            regions: Rc::new(exchange.regions(route, customer)),
            prompt_parts: request.prompt_parts.clone(),
            is_resumed: false,
            excluded: crash_reports::crashed_backends(&exchange.host, exchange.fingerprint.get()),
        };
        Attempts { sender, requirements, n_sent: 0, fallback: None, successor: None }
    }

    /// Sends the request to one more backend server, or goes on with one that has responded.
    async fn run_next(&mut self) -> Result<(), End> {
        let (reservation, response) = match self.successor.take() {
            Some(successor) => (successor.reservation, Some(successor.response)),
            None => (self.reserve().await?, None),
        };
        match self.run_attempt(&reservation, response).await {
            AttemptEnd::Outcome(outcome) => {
                self.record_outcome(&reservation, &outcome);
                drop(reservation);
                self.apply(outcome)
            }
            AttemptEnd::Replaced(successor, outcome) => {
                let outcome = outcome.unwrap_or_else(|| {
                    self.sender.exchange.trace.record_loss("silent");
                    AttemptOutcome::Lost
                });
                self.record_outcome(&reservation, &outcome);
                self.successor = Some(*successor);
                self.apply(outcome)
            }
        }
    }

    fn record_outcome(&self, reservation: &Reservation, outcome: &AttemptOutcome) {
        reservation.record_outcome(outcome.service_outcome());
        // A plain service may respond with errors to sound requests; an engine does not.
        if matches!(outcome, AttemptOutcome::Failed(..)) && reservation.is_at_engine() {
            self.sender.exchange.host.record_failure(&reservation.backend);
        }
    }

    /// Reserves capacity for the next attempt, within the retry budget.
    async fn reserve(&mut self) -> Result<Reservation, End> {
        let exchange = self.sender.exchange;
        if self.n_sent >= exchange.max_attempts(self.sender.route) {
            return Err(End::Exhausted(CutReason::NoAttempt));
        }
        let reservation = self.wait_for_capacity().await?;
        if self.n_sent > 0 && !exchange.host.try_spend_retry(&self.requirements.service) {
            return Err(End::Exhausted(CutReason::NoRetryBudget));
        }
        self.requirements.excluded.push(reservation.backend.clone());
        self.requirements.attempt = None;
        exchange.trace.record_reservation(&reservation);
        Ok(reservation)
    }

    async fn wait_for_capacity(&mut self) -> Result<Reservation, End> {
        let exchange = self.sender.exchange;
        if exchange.is_head_sent.get() {
            return self.wait_for_resumption().await;
        }
        let queue_timeout = self.sender.route.latency_objective.mul_f64(QUEUE_TIMEOUT_SHARE);
        loop {
            match Reservation::wait(&exchange.host, &self.requirements, queue_timeout).await {
                Ok(reservation) => return Ok(reservation),
                Err(ReservationError::Quarantined(part)) => {
                    return Err(self.end_in_quarantine(&part).await);
                }
                Err(ReservationError::NoBackend)
                    if self.n_sent == 0 && !self.requirements.excluded.is_empty() =>
                {
                    self.requirements.excluded.clear();
                }
                Err(reason) if self.n_sent == 0 => {
                    return Err(End::Done(exchange.send_reservation_error(reason).await));
                }
                Err(_) => return Err(End::Exhausted(CutReason::NoCapacity)),
            }
        }
    }

    async fn end_in_quarantine(&self, part: &QuarantinedPart) -> End {
        let exchange = self.sender.exchange;
        match exchange.verdict.get() {
            Verdict::MayHaveRun | Verdict::Ran => End::Exhausted(CutReason::QuarantinedPart),
            Verdict::NotRun => End::Done(exchange.refuse_quarantined_part(part).await),
        }
    }

    /// Waits for an engine that resumes a stream, as the response is cut without one.
    async fn wait_for_resumption(&mut self) -> Result<Reservation, End> {
        self.requirements.is_resumed = true;
        let host = &self.sender.exchange.host;
        let give_up = Instant::now() + RESUME_TIMEOUT;
        loop {
            let left = give_up.saturating_duration_since(Instant::now());
            match Reservation::wait(host, &self.requirements, left).await {
                Ok(reservation) => return Ok(reservation),
                Err(ReservationError::Quarantined(_)) => {
                    return Err(End::Exhausted(CutReason::QuarantinedPart));
                }
                Err(_) if Instant::now() + RESUME_INTERVAL < give_up => {
                    runtime::sleep(RESUME_INTERVAL).await;
                }
                Err(_) => return Err(End::Exhausted(CutReason::NoCapacity)),
            }
        }
    }

    /// Relays the response of the backend server of `reservation`, until it ends or another one
    /// responds while it is silent; `response` is its response if it has responded already.
    async fn run_attempt(
        &mut self,
        reservation: &Reservation,
        response: Option<UsableResponse<'a>>,
    ) -> AttemptEnd<'a> {
        let RequestSender { exchange, route, .. } = self.sender;
        let n_left = match route.is_repeatable() {
            true => exchange.max_attempts(route).saturating_sub(self.n_sent + 1),
            false => 0,
        };
        let silence = match route.is_stream() {
            true => stream_relay::response_timeout(exchange, &reservation.backend),
            false => PLAIN_RESPONSE_TIMEOUT,
        };
        let requirements = self.requirements.clone();
        let backend = &reservation.backend;
        let search = SuccessorSearch::new(self.sender, requirements, backend, n_left, silence);
        exchange.is_attempt_running.set(true);
        let end = run_with_search(self.sender, reservation, response, &search).await;
        exchange.is_attempt_running.set(false);
        self.n_sent += search.n_failed();
        self.requirements = search.requirements();
        end
    }

    /// Applies the outcome of an attempt; returns the end if no further attempt is needed or
    /// allowed.
    fn apply(&mut self, outcome: AttemptOutcome) -> Result<(), End> {
        match outcome {
            AttemptOutcome::Done(reuse) => return Err(End::Done(reuse)),
            AttemptOutcome::Unreachable => return Ok(()),
            AttemptOutcome::Refused(head, body) => {
                self.sender.exchange.set_has_run(false);
                self.n_sent += 1;
                if self.fallback.is_none() {
                    self.keep(head, body);
                }
                return Ok(());
            }
            AttemptOutcome::Failed(head, body) => {
                self.n_sent += 1;
                self.keep(head, body);
            }
            AttemptOutcome::Lost => {
                self.n_sent += 1;
                self.fallback = None;
            }
        }
        self.sender.exchange.verdict.set(Verdict::MayHaveRun);
        match self.sender.route.is_repeatable() {
            true => Ok(()),
            false => Err(End::Exhausted(CutReason::NoAttempt)),
        }
    }

    /// Keeps the response of a failed attempt, unless it is long and another attempt follows.
    fn keep(&mut self, head: ResponseHead, body: BufferedBody) {
        let RequestSender { route, .. } = self.sender;
        let is_last = !route.is_repeatable() || self.n_sent >= route.max_attempts;
        self.fallback = (is_last || body.len() <= MAX_KEPT_BYTES).then_some((head, body));
    }
}

/// Relays a response while `search` looks for another backend server whenever it is silent.
async fn run_with_search<'a>(
    sender: RequestSender<'a>,
    reservation: &Reservation,
    response: Option<UsableResponse<'a>>,
    search: &SuccessorSearch<'a>,
) -> AttemptEnd<'a> {
    let mut successor = pin!(search.run());
    let end = {
        let relay =
            async { AttemptEnd::Outcome(relay(sender, reservation, response, search).await) };
        let replaced = async { AttemptEnd::Replaced(Box::new(successor.as_mut().await), None) };
        relay.or(replaced).await
    };
    match end {
        AttemptEnd::Outcome(AttemptOutcome::Done(_)) | AttemptEnd::Replaced(..) => end,
        AttemptEnd::Outcome(outcome) => match search.finish(successor).await {
            Some(successor) => AttemptEnd::Replaced(Box::new(successor), Some(outcome)),
            None => AttemptEnd::Outcome(outcome),
        },
    }
}

/// Sends the request, unless there is a response already, and relays the response to the caller.
async fn relay<'a>(
    sender: RequestSender<'a>,
    reservation: &Reservation,
    response: Option<UsableResponse<'a>>,
    search: &SuccessorSearch<'a>,
) -> AttemptOutcome {
    let response = match response {
        Some(response) => Ok(response),
        None => first_response(sender, reservation, search).await,
    };
    match response {
        Ok(UsableResponse::Stream(stream, events)) => {
            stream_relay::relay(sender.exchange, *stream, events, reservation, search).await
        }
        Ok(UsableResponse::Complete(head, body)) => {
            search.begin_write();
            crash_reports::clear_request(&sender.exchange.host, sender.exchange.fingerprint.get());
            AttemptOutcome::Done(sender.exchange.forward_response(head, body).await)
        }
        Err(outcome) => outcome,
    }
}

/// Sends the request and waits for the start of a stream or for a complete response.
async fn first_response<'a>(
    sender: RequestSender<'a>,
    reservation: &Reservation,
    search: &SuccessorSearch<'a>,
) -> Result<UsableResponse<'a>, AttemptOutcome> {
    let exchange = sender.exchange;
    let (response, watch) = sender.send(reservation).await?;
    if sender.begins_stream(&response) {
        search.record_progress(stream_relay::response_timeout(exchange, &reservation.backend));
        let mut stream = EngineStream::new(exchange, response, watch)?;
        let events = stream.next(reservation).await?;
        return Ok(UsableResponse::Stream(Box::new(stream), events));
    }
    let on_progress = || search.record_progress(PLAIN_RESPONSE_TIMEOUT);
    let (head, body) = buffered_relay::receive(exchange, response, &watch, on_progress).await?;
    reservation.record_response();
    Ok(UsableResponse::Complete(head, body))
}

/// Responds after the last attempt failed: with the response of a failed attempt, if it is
/// accurate, or else with an error of the entry host. A response that has begun is cut.
async fn respond_after_attempts(
    exchange: &Exchange,
    fallback: Option<(ResponseHead, BufferedBody)>,
    cut_reason: CutReason,
) -> ConnectionReuse {
    if exchange.is_head_sent.get() {
        return exchange.cut_response(cut_reason);
    }
    // A backend server's statement that the request did not run is accurate only if no other
    // attempt may have run.
    let is_accurate = |head: &ResponseHead| {
        exchange.verdict.get() == Verdict::NotRun || !matches!(head.status, 408 | 421 | 429 | 503)
    };
    match fallback {
        Some((head, body)) if is_accurate(&head) && head.status != 421 => {
            exchange.forward_response(head, body).await
        }
        _ if exchange.verdict.get() == Verdict::NotRun => {
            exchange.send_reservation_error(ReservationError::Full).await
        }
        _ => {
            exchange
                .send_error(ErrorResponse::may_have_run(
                    502,
                    "the response was lost; retry only if the request is idempotent",
                ))
                .await
        }
    }
}
