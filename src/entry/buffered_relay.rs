//! Relays a response after receiving it completely from the backend server.
//!
//! Until then the caller has received nothing, so a failed attempt can be retried at another
//! backend server.

use std::time::Instant;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome, crash_watch::CrashWatch, exchange::Exchange,
        server_notices,
    },
    relay::{Attempt, BackendResponse},
    verdict::Verdict,
};

/// Sends the request and forwards the complete response.
pub(crate) async fn relay(
    exchange: &Exchange,
    attempt: &Attempt<'_>,
    watch: &CrashWatch<'_>,
) -> AttemptOutcome {
    let response = match attempt.send(&exchange.host.connections).await {
        Ok(response) => response,
        Err(err) if err.verdict == Verdict::NotRun => {
            return AttemptOutcome::from_connect_error(exchange, attempt.backend, &err.err);
        }
        Err(err) => return watch.outcome_after_break(&err.err).await,
    };
    server_notices::record(&exchange.host, attempt, &response);
    forward_buffered(exchange, response, watch).await
}

/// Reads the complete response and forwards it, unless the backend server refused the request or
/// failed, after which another attempt may succeed.
pub(crate) async fn forward_buffered(
    exchange: &Exchange,
    mut response: BackendResponse,
    watch: &CrashWatch<'_>,
) -> AttemptOutcome {
    watch.record_progress();
    let body = match read_body(exchange, &mut response, watch).await {
        Ok(body) => body,
        Err(outcome) => return outcome,
    };
    let head = response.head.clone();
    let is_not_run = response.info.is_not_run;
    response.close(&exchange.host.connections);
    match head.status {
        _ if is_not_run => AttemptOutcome::Refused(head, body),
        // Statuses by which callers are told that nothing ran, but without the backend server's word.
        408 | 429 => AttemptOutcome::Failed(head, body),
        500.. => AttemptOutcome::Failed(head, body),
        _ => AttemptOutcome::Done(exchange.forward_response(head, &body).await),
    }
}

async fn read_body(
    exchange: &Exchange,
    response: &mut BackendResponse,
    watch: &CrashWatch<'_>,
) -> Result<Vec<u8>, AttemptOutcome> {
    let backend = watch.backend();
    let body = match response.read_to_end().await {
        Ok(body) => body,
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
