//! Relays a stream of events, forwarding only complete events.
//!
//! If an engine fails or stalls in the middle of a resumable stream, the next attempt resumes it
//! after the last event that the caller received.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome,
        buffered_relay,
        crash_watch::CrashWatch,
        exchange::{ConnectionReuse, Exchange},
        request_trace::TraceOutcome,
        reservation::Reservation,
    },
    http1::HttpError,
    ids::BackendId,
    relay::{Attempt, BackendResponse, Event, EventSplitter},
    routing::Route,
    runtime::{self, TimedOut},
    verdict::Verdict,
};

/// Timeout for the head, and again for the first event, beyond the time that the engine needs to
/// read the prompt, when another attempt may follow.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without an event after which a stream is resumed at another engine.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1000);
/// Effectively no timeout, for when no other attempt may follow; the deadline of the request
/// applies.
const NO_TIMEOUT: Duration = Duration::from_secs(3600);

/// Sends the request and forwards events as they arrive.
pub(crate) async fn relay(
    exchange: &Exchange,
    route: &Route,
    attempt: &Attempt<'_>,
    reservation: &Reservation,
    watch: &CrashWatch<'_>,
    is_last: bool,
) -> AttemptOutcome {
    let may_retry = route.is_repeatable() && !is_last;
    let bounded = |timeout: Duration| if may_retry { timeout } else { NO_TIMEOUT };
    let lost = |reason: &str| AttemptOutcome::from_lost_response(exchange, attempt.backend, reason);
    let first_timeout =
        bounded(FIRST_EVENT_TIMEOUT.saturating_add(reading_time(exchange, attempt.backend)));
    let send = attempt.send(&exchange.host.connections);
    let mut response = match until_start(reservation, first_timeout, send).await {
        Ok(Ok(response)) => response,
        Ok(Err(err)) if err.verdict == Verdict::NotRun => {
            return AttemptOutcome::from_connect_error(exchange, attempt.backend, &err.err);
        }
        Ok(Err(err)) => return watch.outcome_after_break(&err.err).await,
        Err(_) => return lost("no response in time"),
    };
    let is_success = (200..300).contains(&response.head.status);
    if !is_success {
        return buffered_relay::forward_buffered(exchange, response, watch).await;
    }
    let info = &response.info;
    if !info.is_event_stream || info.is_encoded || !info.has_receipt {
        return lost("not an event stream");
    }
    let mut splitter = EventSplitter::default();
    let mut is_first = true;
    let mut last_progress = Instant::now();
    loop {
        let mut bytes = Vec::new();
        // Bytes that complete no event are no progress.
        let waited = last_progress.elapsed();
        let read = response.read(&mut bytes);
        let res = if is_first {
            let timeout = first_timeout.saturating_sub(waited);
            until_start(reservation, timeout, read).await
        } else {
            let timeout = bounded(EVENT_GAP_TIMEOUT).saturating_sub(waited);
            runtime::timeout(timeout, read).await
        };
        match res {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) if is_empty_by_close(exchange, &response, is_first) => {
                watch.record_break().await;
                return lost("closed before the first event");
            }
            Ok(Ok(false)) if splitter.is_between_events() => break,
            Ok(Ok(false)) => {
                watch.record_break().await;
                return lost("ended inside an event");
            }
            Ok(Err(err)) => return watch.outcome_after_break(&err).await,
            Err(_) => return lost("no event in time"),
        }
        let events = match splitter.push(&bytes) {
            Ok(events) => events,
            Err(err) => return lost(&err.to_string()),
        };
        if events.is_empty() {
            continue;
        }
        // Comments keep a connection open, but an engine that sends nothing else has stalled.
        if !events.iter().all(|it| it.is_comment) {
            last_progress = Instant::now();
            watch.record_progress();
            if is_first {
                is_first = false;
                reservation.record_first_event();
                exchange.trace.record_first_bytes();
            }
        }
        if let Err(err) = forward_events(exchange, &response, events).await {
            log::debug!(
                "relay: failed to write the response to the caller request={} error=\"{err}\"",
                exchange.request.id
            );
            return AttemptOutcome::Done(ConnectionReuse::Close);
        }
    }
    exchange.host.health.borrow_mut().record_success(attempt.backend);
    watch.record_end(&response).await;
    if let Err(err) = write_end(exchange, &response).await {
        log::debug!(
            "relay: failed to write the response to the caller request={} error=\"{err}\"",
            exchange.request.id
        );
        return AttemptOutcome::Done(ConnectionReuse::Close);
    }
    exchange.trace.record_outcome(TraceOutcome::Answered(response.head.status));
    exchange.host.crash_suspects.borrow_mut().clear(exchange.fingerprint.get());
    response.close(&exchange.host.connections);
    AttemptOutcome::Done(if exchange.closes_connection {
        ConnectionReuse::Close
    } else {
        ConnectionReuse::Reusable
    })
}

/// Waits for a result that precedes the first event, no longer than `timeout` and than the request
/// may start on the version of its engine.
async fn until_start<T>(
    reservation: &Reservation,
    timeout: Duration,
    future: impl Future<Output = T>,
) -> Result<T, TimedOut> {
    let expired = async {
        reservation.pass_start_deadline().await;
        Err(TimedOut)
    };
    runtime::timeout(timeout, future).or(expired).await
}

/// Returns the time in which the engine reads the prompt, at the rate that its pool states.
fn reading_time(exchange: &Exchange, backend: &BackendId) -> Duration {
    let charter = exchange.host.charter.borrow();
    let backends = exchange.host.backends.borrow();
    let service = backends.get(backend).map(|it| &it.service);
    let engine = service.and_then(|it| charter.as_ref()?.engine(it));
    let Some(engine) = engine else { return Duration::ZERO };
    let seconds = f64::from(exchange.request.sizes.prompt_tokens) / engine.read_tokens_per_s;
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Returns `true` if a stream that was closed before its first event lacks events: nothing marks
/// its end, and only a resumed stream may have none left.
fn is_empty_by_close(exchange: &Exchange, response: &BackendResponse, is_first: bool) -> bool {
    is_first && response.ends_by_close() && exchange.last_event_id.borrow().is_none()
}

/// Forwards the events that the caller has not received yet.
async fn forward_events(
    exchange: &Exchange,
    response: &BackendResponse,
    events: Vec<Event>,
) -> Result<(), HttpError> {
    let mut data = Vec::new();
    for event in events {
        if !is_newer_event(event.id.as_deref(), exchange.last_event_id.borrow().as_deref()) {
            continue;
        }
        data.extend_from_slice(&event.bytes);
        if event.id.is_some() {
            *exchange.last_event_id.borrow_mut() = event.id;
        }
    }
    if data.is_empty() {
        return Ok(());
    }
    let mut bytes = head_if_unsent(exchange, response);
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(&data);
    bytes.extend_from_slice(b"\r\n");
    exchange.caller.write(&bytes).await
}

async fn write_end(exchange: &Exchange, response: &BackendResponse) -> Result<(), HttpError> {
    let mut bytes = head_if_unsent(exchange, response);
    bytes.extend_from_slice(b"0\r\n\r\n");
    exchange.caller.write(&bytes).await
}

/// Returns the response head on the first call and nothing on later ones, so that the caller
/// receives only the head of the first engine that responded.
fn head_if_unsent(exchange: &Exchange, response: &BackendResponse) -> Vec<u8> {
    if exchange.is_head_sent.replace(true) {
        return Vec::new();
    }
    let mut head = response.head.clone();
    head.headers.remove_hop_by_hop();
    head.headers.remove("Content-Length");
    head.headers.push("Transfer-Encoding", "chunked");
    if exchange.closes_connection {
        head.headers.push("Connection", "close");
    }
    head.to_bytes()
}

/// Returns `true` if an event follows the last one that the caller received.
fn is_newer_event(id: Option<&str>, last: Option<&str>) -> bool {
    let (Some(id), Some(last)) = (id, last) else { return true };
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
