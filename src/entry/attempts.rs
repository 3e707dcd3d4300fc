//! The attempts of one request at backend servers, one after the other.

use std::time::{Duration, Instant};

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome,
        buffered_relay,
        crash_watch::CrashWatch,
        cut_reason::CutReason,
        error_response::ErrorResponse,
        exchange::{ConnectionReuse, Exchange},
        request_trace::TraceOutcome,
        reservation::{BackendRequirements, Reservation, ReservationError},
        stream_relay,
    },
    http1::ResponseHead,
    ids::{CustomerId, ServiceId},
    platform::wire_headers,
    relay::{Attempt, EngineCall},
    routing::{Route, RouteKind},
    runtime,
    verdict::Verdict,
};

/// Share of the latency objective for which a request waits for a reservation.
const QUEUE_TIMEOUT_SHARE: f64 = 0.125;
/// Time for which a stream that is resumed at another engine waits for a reservation.
const RESUME_QUEUE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of an attempt without a stream when the request may be sent to another backend server.
const PLAIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);

/// Sends the request to one backend server after the other until one responds or no further
/// attempt is allowed.
pub(crate) async fn run(
    exchange: &Exchange,
    route: &Route,
    service: &ServiceId,
    customer: &Option<CustomerId>,
) -> ConnectionReuse {
    let mut requirements = BackendRequirements {
        service: service.clone(),
        model: exchange.request.model.clone(),
        prompt_tokens: exchange.request.sizes.prompt_tokens,
        is_resumed: false,
        excluded: exchange
            .host
            .crash_suspects
            .borrow()
            .crashed_backends(exchange.fingerprint.get()),
    };
    let mut n_sent = 0;
    let mut fallback = None;
    let mut cut_reason = CutReason::NoAttempt;
    while n_sent < route.max_attempts {
        requirements.is_resumed = exchange.is_head_sent.get();
        let queue_timeout = match requirements.is_resumed {
            true => RESUME_QUEUE_TIMEOUT,
            false => route.latency_objective.mul_f64(QUEUE_TIMEOUT_SHARE),
        };
        let reservation =
            match Reservation::wait(&exchange.host, &requirements, queue_timeout).await {
                Ok(reservation) => reservation,
                Err(ReservationError::NoBackend)
                    if n_sent == 0 && !requirements.excluded.is_empty() =>
                {
                    requirements.excluded.clear();
                    continue;
                }
                Err(reason) if n_sent == 0 => return exchange.send_reservation_error(reason).await,
                Err(_) => {
                    cut_reason = CutReason::NoCapacity;
                    break;
                }
            };
        if let Some(quarantined) = exchange.quarantined_part() {
            let may_have_run = exchange.verdict.get() == Verdict::MayHaveRun;
            if !may_have_run && !exchange.is_head_sent.get() {
                return exchange.refuse_quarantined_part(&quarantined).await;
            }
            cut_reason = CutReason::QuarantinedPart;
            break;
        }
        if n_sent > 0 && !exchange.host.try_spend_retry(service) {
            cut_reason = CutReason::NoRetryBudget;
            break;
        }
        requirements.excluded.push(reservation.backend.clone());
        exchange.trace.record_attempt(
            &reservation.backend,
            (reservation.load.n_requests, reservation.load.unread_tokens),
            reservation.version,
        );
        let is_last = n_sent + 1 >= route.max_attempts;
        let outcome = run_attempt(exchange, route, &reservation, customer, is_last).await;
        reservation.record_outcome(outcome.service_outcome());
        // A plain service may respond with errors to sound requests; an engine does not.
        if matches!(outcome, AttemptOutcome::Failed(..)) && reservation.is_at_engine() {
            let mut health = exchange.host.health.borrow_mut();
            health.record_failure(&reservation.backend, Instant::now());
        }
        drop(reservation);
        match outcome {
            AttemptOutcome::Done(reuse) => return reuse,
            AttemptOutcome::Refused(head, body) => {
                n_sent += 1;
                fallback = fallback.or(Some((head, body)));
            }
            AttemptOutcome::Unreachable => continue,
            AttemptOutcome::Failed(head, body) => {
                n_sent += 1;
                exchange.verdict.set(Verdict::MayHaveRun);
                fallback = Some((head, body));
                if !route.is_repeatable() {
                    break;
                }
            }
            AttemptOutcome::Lost => {
                n_sent += 1;
                exchange.verdict.set(Verdict::MayHaveRun);
                fallback = None;
                if !route.is_repeatable() {
                    break;
                }
            }
        }
    }
    respond_after_attempts(exchange, fallback, cut_reason).await
}

/// Responds after the last attempt failed: with the response of a failed attempt, if it is
/// accurate, or else with an error of the entry host. A response that has begun is cut.
async fn respond_after_attempts(
    exchange: &Exchange,
    fallback: Option<(ResponseHead, Vec<u8>)>,
    cut_reason: CutReason,
) -> ConnectionReuse {
    if exchange.is_head_sent.get() {
        exchange.trace.record_outcome(TraceOutcome::Cut(cut_reason));
        return ConnectionReuse::Close;
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

/// Sends the request to the backend server of `reservation` and relays its response.
async fn run_attempt(
    exchange: &Exchange,
    route: &Route,
    reservation: &Reservation,
    customer: &Option<CustomerId>,
    is_last: bool,
) -> AttemptOutcome {
    let call = EngineCall {
        backend: reservation.backend.clone(),
        customer: customer.clone(),
        expected_version: reservation.expected_version,
        time_left: exchange.time_left(route),
        last_event: exchange.last_event_id.borrow().clone(),
        body_bytes: exchange.body.len(),
    };
    let head = wire_headers::backend_head(&exchange.head, &call);
    let attempt = Attempt {
        backend: &reservation.backend,
        address: reservation.address,
        request_id: &exchange.request.id,
        head: &head,
        body: &exchange.body,
        may_reuse: route.kind != RouteKind::NonIdempotent,
    };
    let watch = CrashWatch::new(exchange, &attempt);
    exchange.is_attempt_running.set(true);
    let outcome = if route.is_stream() {
        stream_relay::relay(exchange, route, &attempt, reservation, &watch, is_last).await
    } else if route.is_repeatable() && !is_last {
        let relay = buffered_relay::relay(exchange, &attempt, &watch);
        match runtime::timeout(PLAIN_ATTEMPT_TIMEOUT, relay).await {
            Ok(outcome) => outcome,
            Err(_) => {
                AttemptOutcome::from_lost_response(exchange, &reservation.backend, "time-out")
            }
        }
    } else {
        buffered_relay::relay(exchange, &attempt, &watch).await
    };
    exchange.is_attempt_running.set(false);
    outcome
}
