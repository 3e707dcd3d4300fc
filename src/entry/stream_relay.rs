//! Relays a stream of events, forwarding only complete events.
//!
//! If an engine fails or stalls in the middle of a resumable stream, another one resumes it after the
//! last event that the caller received.

use std::time::Duration;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome,
        crash_reports,
        engine_stream::EngineStream,
        exchange::{ConnectionReuse, Exchange},
        request_trace::TraceOutcome,
        reservation::Reservation,
        successor::SuccessorSearch,
    },
    http1::{HttpError, ResponseHead},
    ids::BackendId,
    relay::Events,
};

/// Time without the head, and again without the first event, beyond the time that the engine needs to
/// read the prompt, after which another engine is sought.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without an event after which another engine is sought. A sound engine may be silent for
/// somewhat more than a second.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1500);

/// Forwards events as they arrive, after `first`, the events that have arrived already; `first` is
/// `None` if the stream has ended.
pub(crate) async fn relay(
    exchange: &Exchange,
    mut stream: EngineStream<'_>,
    first: Option<Events>,
    reservation: &Reservation,
    search: &SuccessorSearch<'_>,
) -> AttemptOutcome {
    let mut next = first;
    while let Some(events) = next {
        // Comments keep a connection open, but an engine that sends nothing else has stalled.
        let is_progress = events.n_events() > 0;
        if is_progress {
            search.record_progress(EVENT_GAP_TIMEOUT);
        }
        // The caller may read slowly; nothing else may be written meanwhile.
        search.begin_write();
        if let Err(err) = forward_events(exchange, stream.head(), events).await {
            return caller_lost(exchange, &err);
        }
        search.end_write();
        if is_progress {
            search.record_progress(EVENT_GAP_TIMEOUT);
        }
        next = match stream.next(reservation).await {
            Ok(events) => events,
            Err(outcome) => return outcome,
        };
    }
    search.begin_write();
    if let Err(err) = write_end(exchange, stream.head()).await {
        return caller_lost(exchange, &err);
    }
    exchange.trace.record_outcome(TraceOutcome::Answered(stream.head().status));
    crash_reports::clear_request(&exchange.host, exchange.fingerprint.get());
    stream.close().await;
    AttemptOutcome::Done(if exchange.closes_connection {
        ConnectionReuse::Close
    } else {
        ConnectionReuse::Reusable
    })
}

fn caller_lost(exchange: &Exchange, err: &HttpError) -> AttemptOutcome {
    log::debug!(
        "relay: failed to write the response to the caller request={} error=\"{err}\"",
        exchange.request.id
    );
    AttemptOutcome::Done(ConnectionReuse::Close)
}

/// Returns the time without a response after which another engine is sought.
pub(crate) fn response_timeout(exchange: &Exchange, backend: &BackendId) -> Duration {
    FIRST_EVENT_TIMEOUT.saturating_add(reading_time(exchange, backend))
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

/// Forwards the events that the caller has not received yet. Only the bytes to write are kept until
/// the caller has read them, which may take long.
async fn forward_events(
    exchange: &Exchange,
    head: &ResponseHead,
    events: Events,
) -> Result<(), HttpError> {
    let bytes = encode_undelivered(exchange, head, &events);
    drop(events);
    match bytes.is_empty() {
        true => Ok(()),
        false => exchange.caller.write(&bytes).await,
    }
}

/// Returns the events that the caller has not received yet as one chunk; nothing if there are none.
fn encode_undelivered(exchange: &Exchange, head: &ResponseHead, events: &Events) -> Vec<u8> {
    let mut data = Vec::new();
    for event in events.iter() {
        if !exchange.is_undelivered(&event) {
            continue;
        }
        data.extend_from_slice(event.bytes);
        if let Some(id) = event.id {
            *exchange.last_event_id.borrow_mut() = Some(id.into_owned());
        }
    }
    if data.is_empty() {
        return Vec::new();
    }
    let mut start = head_if_unsent(exchange, head);
    start.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    [start.as_slice(), &data, b"\r\n"].concat()
}

async fn write_end(exchange: &Exchange, head: &ResponseHead) -> Result<(), HttpError> {
    let mut bytes = head_if_unsent(exchange, head);
    bytes.extend_from_slice(b"0\r\n\r\n");
    exchange.caller.write(&bytes).await
}

/// Returns the response head on the first call and nothing on later ones, so that the caller
/// receives only the head of the first engine that responded.
fn head_if_unsent(exchange: &Exchange, head: &ResponseHead) -> Vec<u8> {
    if exchange.is_head_sent.replace(true) {
        return Vec::new();
    }
    let mut head = head.clone();
    head.headers.remove_hop_by_hop();
    head.headers.remove("Content-Length");
    head.headers.push("Transfer-Encoding", "chunked");
    if exchange.closes_connection {
        head.headers.push("Connection", "close");
    }
    head.to_bytes()
}
