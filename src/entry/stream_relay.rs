//! Relays a stream of events, whole events only.

use std::time::{Duration, Instant};

use crate::{
    entry::{
        attempt_end::AttemptEnd,
        exchange::{Exchange, ExchangeEnd},
        place::Place,
        request_trace::RequestOutcome,
        whole_relay,
    },
    http1::HttpError,
    relay::{Attempt, BackendResponse, Event, EventSplitter},
    routing::Route,
    runtime,
    verdict::Verdict,
};

/// Time for the head and first event when the stream may begin elsewhere.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1500);
/// Pause between events after which a stream goes on elsewhere.
const PAUSE_LIMIT: Duration = Duration::from_millis(1000);
/// Pause that is borne when the stream can't go on elsewhere.
const NO_LIMIT: Duration = Duration::from_secs(3600);

/// Sends the request and passes events on as they come.
pub(crate) async fn relay(
    exchange: &Exchange,
    route: &Route,
    attempt: &Attempt<'_>,
    place: &Place,
    is_last: bool,
) -> AttemptEnd {
    let may_move = route.is_repeatable() && !is_last;
    let limit = |limit: Duration| if may_move { limit } else { NO_LIMIT };
    let begin_limit = || {
        let left = place.begin_limit.map(|it| it.saturating_duration_since(Instant::now()));
        left.map_or(limit(FIRST_EVENT_LIMIT), |it| it.min(limit(FIRST_EVENT_LIMIT)))
    };
    let send = attempt.send(&exchange.host.connections);
    let mut answer = match runtime::timeout(begin_limit(), send).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) if err.verdict == Verdict::NotRun => {
            return AttemptEnd::unreachable(exchange, attempt.backend, &err.err);
        }
        Ok(Err(err)) => return AttemptEnd::broken_off(exchange, attempt.backend, &err.err),
        Err(_) => return AttemptEnd::lost(exchange, attempt.backend, "no answer in time"),
    };
    let is_success = (200..300).contains(&answer.head.status);
    if !is_success {
        return whole_relay::end_whole(exchange, answer, attempt.backend).await;
    }
    let facts = &answer.info;
    if !facts.is_event_stream || facts.is_encoded || !facts.has_receipt {
        return AttemptEnd::lost(exchange, attempt.backend, "no stream of events");
    }
    let mut splitter = EventSplitter::default();
    let mut is_first = true;
    loop {
        let mut bytes = Vec::new();
        let pause = if is_first { begin_limit() } else { limit(PAUSE_LIMIT) };
        match runtime::timeout(pause, answer.read(&mut bytes)).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) if splitter.is_between_events() => break,
            Ok(Ok(false)) => {
                return AttemptEnd::lost(exchange, attempt.backend, "ended inside an event")
            }
            Ok(Err(err)) => return AttemptEnd::broken_off(exchange, attempt.backend, &err),
            Err(_) => return AttemptEnd::lost(exchange, attempt.backend, "no event in time"),
        }
        let events = splitter.push(&bytes);
        if events.is_empty() {
            continue;
        }
        if is_first {
            is_first = false;
            place.first_event_came();
            exchange.trace.first_bytes();
        }
        if let Err(err) = pass_on(exchange, &answer, events).await {
            log::debug!("relay: caller lost request={} error=\"{err}\"", exchange.request.id);
            return AttemptEnd::Done(ExchangeEnd::Close);
        }
    }
    exchange.host.health.borrow_mut().record_success(attempt.backend);
    if let Err(err) = finish(exchange, &answer).await {
        log::debug!("relay: caller lost request={} error=\"{err}\"", exchange.request.id);
        return AttemptEnd::Done(ExchangeEnd::Close);
    }
    exchange.trace.ended(RequestOutcome::Answered(answer.head.status));
    exchange.host.crash_suspects.borrow_mut().clear(exchange.fingerprint.get());
    answer.close(&exchange.host.connections);
    AttemptEnd::Done(if exchange.closes { ExchangeEnd::Close } else { ExchangeEnd::Reusable })
}

/// Writes events that the caller doesn't have yet.
async fn pass_on(
    exchange: &Exchange,
    answer: &BackendResponse,
    events: Vec<Event>,
) -> Result<(), HttpError> {
    let mut data = Vec::new();
    for event in events {
        if !is_after(event.id.as_deref(), exchange.last_event.borrow().as_deref()) {
            continue;
        }
        data.extend_from_slice(&event.bytes);
        if event.id.is_some() {
            *exchange.last_event.borrow_mut() = event.id;
        }
    }
    if data.is_empty() {
        return Ok(());
    }
    let mut bytes = head_if_due(exchange, answer);
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(&data);
    bytes.extend_from_slice(b"\r\n");
    exchange.caller.write(&bytes).await
}

async fn finish(exchange: &Exchange, answer: &BackendResponse) -> Result<(), HttpError> {
    let mut bytes = head_if_due(exchange, answer);
    bytes.extend_from_slice(b"0\r\n\r\n");
    exchange.caller.write(&bytes).await
}

/// The head of the caller's answer, the first time; it is that of the first engine.
fn head_if_due(exchange: &Exchange, answer: &BackendResponse) -> Vec<u8> {
    if exchange.is_head_sent.replace(true) {
        return Vec::new();
    }
    let mut head = answer.head.clone();
    head.headers.remove_hop_by_hop();
    head.headers.remove("Content-Length");
    head.headers.push("Transfer-Encoding", "chunked");
    if exchange.closes {
        head.headers.push("Connection", "close");
    }
    head.to_bytes()
}

/// Whether an event comes after the last one that the caller has.
fn is_after(id: Option<&str>, last: Option<&str>) -> bool {
    let (Some(id), Some(last)) = (id, last) else { return true };
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
