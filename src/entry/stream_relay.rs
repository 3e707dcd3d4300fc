//! Relays a stream of events, forwarding only complete events.
//!
//! If an engine fails or stalls in the middle of a resumable stream, the next attempt resumes it
//! after the last event that the caller received.

use std::{future::Future, pin::pin, time::Duration};

use futures_lite::FutureExt;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome,
        buffered_relay,
        crash_watch::CrashWatch,
        exchange::{ConnectionReuse, Exchange},
        request_trace::TraceOutcome,
        reservation::Reservation,
        server_notices,
        successor::SuccessorSearch,
    },
    http1::HttpError,
    ids::BackendId,
    relay::{Attempt, BackendResponse, Event, EventSplitter},
    verdict::Verdict,
};

/// Time without the head, and again without the first event, beyond the time that the engine needs to
/// read the prompt, after which another engine is sought.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without an event after which another engine is sought. A sound engine may be silent for
/// somewhat more than a second.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1500);

/// The end of a wait for an engine.
enum Wait<T> {
    /// The engine sent what was waited for.
    Received(T),
    /// The request may not start at this engine any more.
    Expired,
    /// The engine was silent, and another one has reserved capacity.
    Replaced(Reservation),
}

/// Sends the request and forwards events as they arrive.
pub(crate) async fn relay(
    exchange: &Exchange,
    attempt: &Attempt<'_>,
    reservation: &Reservation,
    watch: &CrashWatch<'_>,
    search: &SuccessorSearch<'_>,
) -> AttemptOutcome {
    let lost = |reason: &str| AttemptOutcome::from_lost_response(exchange, attempt.backend, reason);
    let replaced = |reason: &str, successor| {
        AttemptOutcome::replaced(exchange, attempt.backend, reason, successor)
    };
    let first_timeout = FIRST_EVENT_TIMEOUT.saturating_add(reading_time(exchange, attempt.backend));
    let send = attempt.send(&exchange.host.connections);
    let successor = search.find_after(first_timeout);
    let mut response = match wait_for(send, successor, reservation.pass_start_deadline()).await {
        Wait::Received(Ok(response)) => response,
        Wait::Received(Err(err)) if err.verdict == Verdict::NotRun => {
            return AttemptOutcome::from_connect_error(exchange, attempt.backend, &err.err);
        }
        Wait::Received(Err(err)) => return watch.outcome_after_break(&err.err).await,
        Wait::Expired => return lost("no response in time"),
        Wait::Replaced(successor) => return replaced("no response", successor),
    };
    server_notices::record(&exchange.host, attempt, &response);
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
    // Bytes that complete no event are no progress, so the search goes on while they arrive.
    let mut successor = pin!(search.find_after(first_timeout));
    loop {
        let mut bytes = Vec::new();
        let read = response.read(&mut bytes);
        let expired = async {
            match is_first {
                true => reservation.pass_start_deadline().await,
                false => std::future::pending().await,
            }
        };
        match wait_for(read, successor.as_mut(), expired).await {
            Wait::Received(Ok(true)) => {}
            Wait::Received(Ok(false)) if is_empty_by_close(exchange, &response, is_first) => {
                watch.record_break().await;
                return lost("closed before the first event");
            }
            Wait::Received(Ok(false)) if splitter.is_between_events() => break,
            Wait::Received(Ok(false)) => {
                watch.record_break().await;
                return lost("ended inside an event");
            }
            Wait::Received(Err(err)) => return watch.outcome_after_break(&err).await,
            Wait::Expired => return lost("no event in time"),
            Wait::Replaced(successor) => return replaced("no event", successor),
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
            successor.set(search.find_after(EVENT_GAP_TIMEOUT));
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

/// Waits for a result of the engine, unless a successor is found or the request expires before.
async fn wait_for<T>(
    result: impl Future<Output = T>,
    successor: impl Future<Output = Reservation>,
    expired: impl Future<Output = ()>,
) -> Wait<T> {
    let received = async { Wait::Received(result.await) };
    let expired = async {
        expired.await;
        Wait::Expired
    };
    let replaced = async { Wait::Replaced(successor.await) };
    received.or(expired).or(replaced).await
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
