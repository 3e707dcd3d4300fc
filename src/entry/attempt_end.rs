//! How an attempt at a backend server ends, and what is learned from its loss.

use std::time::Instant;

use crate::{
    entry::exchange::{Exchange, ExchangeEnd},
    http1::{HttpError, ResponseHead},
    ids::BackendId,
};

/// How one attempt ended.
pub(crate) enum AttemptEnd {
    /// The caller has a whole answer, or has left.
    Done(ExchangeEnd),
    /// The backend server answered that the request did not run.
    Refused(ResponseHead, Vec<u8>),
    /// No connection could be opened.
    Unreachable,
    /// The backend server ran the request and answered with a failure of its own.
    Failed(ResponseHead, Vec<u8>),
    /// The answer was lost or can't be used.
    Lost,
}

impl AttemptEnd {
    /// No connection could be opened; nothing was sent.
    pub(crate) fn unreachable(
        exchange: &Exchange,
        backend: &BackendId,
        err: &HttpError,
    ) -> AttemptEnd {
        log::info!(
            "relay: unreachable request={} backend={backend} error=\"{err}\"",
            exchange.request.id
        );
        exchange.host.health.borrow_mut().record_failure(backend, Instant::now());
        AttemptEnd::Unreachable
    }

    /// Ends an attempt whose connection the backend server broke off, perhaps as it crashed.
    pub(crate) fn broken_off(
        exchange: &Exchange,
        backend: &BackendId,
        err: &HttpError,
    ) -> AttemptEnd {
        if !exchange.host.is_switching(backend) {
            let mut suspects = exchange.host.crash_suspects.borrow_mut();
            suspects.record_crash(exchange.fingerprint.get(), backend, Instant::now());
        }
        AttemptEnd::lost(exchange, backend, &err.to_string())
    }

    /// The answer was lost or can't be used.
    pub(crate) fn lost(exchange: &Exchange, backend: &BackendId, reason: &str) -> AttemptEnd {
        log::info!(
            "relay: attempt lost request={} backend={backend} reason=\"{reason}\"",
            exchange.request.id
        );
        // An engine that switches to other weights breaks off what runs, which is no fault of its.
        if exchange.host.is_switching(backend) {
            return AttemptEnd::Lost;
        }
        if exchange.host.health.borrow_mut().record_failure(backend, Instant::now()) {
            log::info!("health: backend rests backend={backend}");
            exchange.host.connections.close_idle(backend);
        }
        AttemptEnd::Lost
    }
}
