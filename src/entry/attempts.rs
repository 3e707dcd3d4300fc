//! The attempts of one request at backend servers, one after the other.

use std::time::{Duration, Instant};

use futures_lite::FutureExt;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome,
        buffered_relay,
        crash_watch::CrashWatch,
        cut_reason::CutReason,
        error_response::ErrorResponse,
        exchange::{ConnectionReuse, Exchange},
        reservation::{BackendRequirements, Reservation, ReservationError},
        stream_relay,
        successor::SuccessorSearch,
    },
    http1::ResponseHead,
    ids::{CustomerId, ServiceId},
    platform::wire_headers,
    relay::{Attempt, EngineCall},
    routing::Route,
    verdict::Verdict,
};

/// Share of the latency objective for which a request waits for a reservation.
const QUEUE_TIMEOUT_SHARE: f64 = 0.125;
/// Time for which a stream that is resumed at another engine waits for a reservation.
const RESUME_QUEUE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a response, for a request without a stream, after which another backend server is
/// sought.
const PLAIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);

/// The attempts of one request.
struct Attempts<'a> {
    exchange: &'a Exchange,
    route: &'a Route,
    customer: &'a Option<CustomerId>,
    requirements: BackendRequirements,
    /// The number of backend servers that may have got the request.
    n_sent: u32,
    /// Response of a backend server, for the case that no later attempt succeeds.
    fallback: Option<(ResponseHead, Vec<u8>)>,
    /// Capacity for the next attempt, which was reserved during the last one.
    successor: Option<Reservation>,
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
    customer: &Option<CustomerId>,
) -> ConnectionReuse {
    let mut attempts = Attempts::new(exchange, route, service, customer);
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
    fn new(
        exchange: &'a Exchange,
        route: &'a Route,
        service: &ServiceId,
        customer: &'a Option<CustomerId>,
    ) -> Attempts<'a> {
        let suspects = exchange.host.crash_suspects.borrow();
        let requirements = BackendRequirements {
            service: service.clone(),
            model: exchange.request.model.clone(),
            prompt_tokens: exchange.request.sizes.prompt_tokens,
            is_resumed: false,
            excluded: suspects.crashed_backends(exchange.fingerprint.get()),
        };
        Attempts {
            exchange,
            route,
            customer,
            requirements,
            n_sent: 0,
            fallback: None,
            successor: None,
        }
    }

    /// Sends the request to one more backend server.
    async fn run_next(&mut self) -> Result<(), End> {
        if self.n_sent >= self.route.max_attempts {
            return Err(End::Exhausted(CutReason::NoAttempt));
        }
        let reservation = match self.successor.take() {
            Some(reservation) => reservation,
            None => self.reserve().await?,
        };
        self.requirements.excluded.push(reservation.backend.clone());
        self.exchange.trace.record_attempt(
            &reservation.backend,
            (reservation.load.n_requests, reservation.load.unread_tokens),
            reservation.version,
        );
        let outcome = self.run_attempt(&reservation).await;
        reservation.record_outcome(outcome.service_outcome());
        // A plain service may respond with errors to sound requests; an engine does not.
        if matches!(outcome, AttemptOutcome::Failed(..)) && reservation.is_at_engine() {
            let mut health = self.exchange.host.health.borrow_mut();
            health.record_failure(&reservation.backend, Instant::now());
        }
        drop(reservation);
        self.apply(outcome)
    }

    /// Reserves capacity for the next attempt, within the retry budget.
    async fn reserve(&mut self) -> Result<Reservation, End> {
        let exchange = self.exchange;
        let reservation = self.wait_for_capacity().await?;
        if let Some(quarantined) = exchange.quarantined_part() {
            let may_have_run = exchange.verdict.get() == Verdict::MayHaveRun;
            if may_have_run || exchange.is_head_sent.get() {
                return Err(End::Exhausted(CutReason::QuarantinedPart));
            }
            return Err(End::Done(exchange.refuse_quarantined_part(&quarantined).await));
        }
        if self.n_sent > 0 && !exchange.host.try_spend_retry(&self.requirements.service) {
            return Err(End::Exhausted(CutReason::NoRetryBudget));
        }
        Ok(reservation)
    }

    async fn wait_for_capacity(&mut self) -> Result<Reservation, End> {
        let exchange = self.exchange;
        loop {
            self.requirements.is_resumed = exchange.is_head_sent.get();
            let queue_timeout = match self.requirements.is_resumed {
                true => RESUME_QUEUE_TIMEOUT,
                false => self.route.latency_objective.mul_f64(QUEUE_TIMEOUT_SHARE),
            };
            match Reservation::wait(&exchange.host, &self.requirements, queue_timeout).await {
                Ok(reservation) => return Ok(reservation),
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

    /// Sends the request to the backend server of `reservation` and relays its response.
    async fn run_attempt(&self, reservation: &Reservation) -> AttemptOutcome {
        let (exchange, route) = (self.exchange, self.route);
        let call = EngineCall {
            backend: reservation.backend.clone(),
            customer: self.customer.clone(),
            expected_version: reservation.expected_version,
            time_left: exchange.time_left(route),
            last_event: exchange.last_event_id.borrow().clone(),
            body_bytes: exchange.body.len(),
        };
        let head = wire_headers::backend_head(&exchange.head, &call);
        let attempt = Attempt {
            backend: &reservation.backend,
            address: reservation.address,
            backend_started_ms: reservation.started_ms,
            request_id: &exchange.request.id,
            head: &head,
            body: &exchange.body,
            may_reuse: route.is_repeatable(),
        };
        let watch = CrashWatch::new(exchange, &attempt);
        let may_retry = route.is_repeatable() && self.n_sent + 1 < route.max_attempts;
        let search =
            SuccessorSearch::new(exchange, &self.requirements, &reservation.backend, may_retry);
        exchange.is_attempt_running.set(true);
        let outcome = if route.is_stream() {
            stream_relay::relay(exchange, &attempt, reservation, &watch, &search).await
        } else {
            let replaced = async {
                let successor = search.find_after(PLAIN_RESPONSE_TIMEOUT).await;
                AttemptOutcome::replaced(exchange, &reservation.backend, "no response", successor)
            };
            buffered_relay::relay(exchange, &attempt, &watch).or(replaced).await
        };
        exchange.is_attempt_running.set(false);
        outcome
    }

    /// Applies the outcome of an attempt; returns the end if no further attempt is needed or
    /// allowed.
    fn apply(&mut self, outcome: AttemptOutcome) -> Result<(), End> {
        match outcome {
            AttemptOutcome::Done(reuse) => return Err(End::Done(reuse)),
            AttemptOutcome::Unreachable => return Ok(()),
            AttemptOutcome::Refused(head, body) => {
                self.n_sent += 1;
                self.fallback.get_or_insert((head, body));
                return Ok(());
            }
            AttemptOutcome::Failed(head, body) => self.fallback = Some((head, body)),
            AttemptOutcome::Lost => self.fallback = None,
            AttemptOutcome::Replaced(successor) => {
                self.fallback = None;
                self.successor = Some(successor);
            }
        }
        self.n_sent += 1;
        self.exchange.verdict.set(Verdict::MayHaveRun);
        match self.route.is_repeatable() {
            true => Ok(()),
            false => Err(End::Exhausted(CutReason::NoAttempt)),
        }
    }
}

/// Responds after the last attempt failed: with the response of a failed attempt, if it is
/// accurate, or else with an error of the entry host. A response that has begun is cut.
async fn respond_after_attempts(
    exchange: &Exchange,
    fallback: Option<(ResponseHead, Vec<u8>)>,
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
            exchange.forward_response(head, &body).await
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
