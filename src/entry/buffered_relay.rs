//! Receives a response completely from the backend server.
//!
//! Until then the caller gets nothing of it, so a failed attempt can be retried at another backend
//! server.

use std::time::Instant;

use crate::{
    entry::{attempt_outcome::AttemptOutcome, crash_watch::CrashWatch, exchange::Exchange},
    http1::{HttpError, ResponseHead},
    memory::{BufferSender, BufferedBody},
    relay::BackendResponse,
};

/// Receives the complete response; fails if the backend server refused the request or failed, after
/// which another attempt may succeed. Calls `on_progress` whenever a part of it arrives.
pub(crate) async fn receive(
    exchange: &Exchange,
    mut response: BackendResponse,
    watch: &CrashWatch<'_>,
    on_progress: impl Fn(),
) -> Result<(ResponseHead, BufferedBody), AttemptOutcome> {
    watch.record_progress();
    on_progress();
    let body = read_body(exchange, &mut response, watch, on_progress).await?;
    let head = response.head.clone();
    let is_not_run = response.info.is_not_run;
    response.close(&exchange.host.connections);
    match head.status {
        _ if is_not_run => Err(AttemptOutcome::Refused(head, body)),
        // Callers read 408 and 429 as "nothing ran", which the backend server did not promise.
        408 | 429 | 500.. => Err(AttemptOutcome::Failed(head, body)),
        // The caller already has the start of a stream.
        _ if exchange.is_head_sent.get() => Err(AttemptOutcome::Failed(head, body)),
        _ => Ok((head, body)),
    }
}

async fn read_body(
    exchange: &Exchange,
    response: &mut BackendResponse,
    watch: &CrashWatch<'_>,
    on_progress: impl Fn(),
) -> Result<BufferedBody, AttemptOutcome> {
    let backend = watch.backend();
    let lease = exchange.host.buffers.open(BufferSender::Backend(backend.clone()));
    let body = match response.read_to_end(lease, on_progress).await {
        Ok(body) => body,
        Err(HttpError::BodyTooLong) if !response.states_length() => {
            return Err(AttemptOutcome::from_flood(exchange, backend));
        }
        Err(err @ (HttpError::BodyTooLong | HttpError::BuffersFull)) => {
            return Err(AttemptOutcome::from_lost_response(exchange, backend, &err.to_string()));
        }
        Err(err) => return Err(watch.outcome_after_break(&err).await),
    };
    let is_success = (200..300).contains(&response.head.status);
    let info = &response.info;
    if info.is_encoded || (is_success && !info.has_receipt) {
        return Err(AttemptOutcome::from_lost_response(
            exchange,
            backend,
            "not a response of a backend server",
        ));
    }
    if info.is_not_run && response.has_trailing_bytes() {
        let reason = "more bytes after the refusal, the request may have run";
        return Err(AttemptOutcome::from_lost_response(exchange, backend, reason));
    }
    if info.is_other_backend {
        log::info!("fleet: another backend server responded at the address backend={backend}");
        exchange.host.connections.close_idle(backend);
        exchange.host.health.borrow_mut().record_failure(backend, Instant::now());
    } else if response.head.status < 500 || info.is_not_run {
        exchange.host.health.borrow_mut().record_success(backend);
    }
    if is_success {
        watch.record_end(response).await;
    }
    Ok(body)
}
