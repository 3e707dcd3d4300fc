//! Relays a whole answer of a backend server.

use std::time::Instant;

use crate::{
    entry::{attempt_end::AttemptEnd, exchange::Exchange},
    ids::BackendId,
    relay::{Attempt, BackendResponse},
    verdict::Verdict,
};

/// Sends the request and passes the whole answer on.
pub(crate) async fn relay(exchange: &Exchange, attempt: &Attempt<'_>) -> AttemptEnd {
    let answer = match attempt.send(&exchange.host.connections).await {
        Ok(answer) => answer,
        Err(err) if err.verdict == Verdict::NotRun => {
            return AttemptEnd::unreachable(exchange, attempt.backend, &err.err);
        }
        Err(err) => return AttemptEnd::broken_off(exchange, attempt.backend, &err.err),
    };
    end_whole(exchange, answer, attempt.backend).await
}

/// Reads a whole answer and passes it on unless another attempt may do better.
pub(crate) async fn end_whole(
    exchange: &Exchange,
    mut answer: BackendResponse,
    backend: &BackendId,
) -> AttemptEnd {
    let body = match read_whole(exchange, &mut answer, backend).await {
        Ok(body) => body,
        Err(end) => return end,
    };
    let head = answer.head.clone();
    let is_not_run = answer.info.is_not_run;
    answer.close(&exchange.host.connections);
    match head.status {
        _ if is_not_run => AttemptEnd::Refused(head, body),
        500.. => AttemptEnd::Failed(head, body),
        _ => AttemptEnd::Done(exchange.pass_on(head, &body).await),
    }
}

async fn read_whole(
    exchange: &Exchange,
    answer: &mut BackendResponse,
    backend: &BackendId,
) -> Result<Vec<u8>, AttemptEnd> {
    let body = match answer.read_to_end().await {
        Ok(body) => body,
        Err(err) => return Err(AttemptEnd::broken_off(exchange, backend, &err)),
    };
    let is_success = (200..300).contains(&answer.head.status);
    let facts = &answer.info;
    if facts.is_encoded || (is_success && !facts.has_receipt) {
        return Err(AttemptEnd::lost(exchange, backend, "no answer of a backend server"));
    }
    if facts.is_other_backend {
        log::info!("fleet: another backend server at the address backend={backend}");
        exchange.host.connections.close_idle(backend);
        exchange.host.health.borrow_mut().record_failure(backend, Instant::now());
    } else if answer.head.status < 500 || facts.is_not_run {
        exchange.host.health.borrow_mut().record_success(backend);
    }
    Ok(body)
}
