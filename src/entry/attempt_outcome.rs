//! How an attempt at a backend server ends, and what is learned from its loss.

use std::time::Instant;

use crate::{
    entry::exchange::{ConnectionReuse, Exchange},
    http1::{HttpError, ResponseHead},
    ids::BackendId,
};

/// How one attempt ended.
pub(crate) enum AttemptOutcome {
    /// The caller has a whole answer, or has left.
    Done(ConnectionReuse),
    /// The backend server answered that the request did not run.
    Refused(ResponseHead, Vec<u8>),
    /// No connection could be opened.
    Unreachable,
    /// The backend server ran the request and answered with a failure of its own.
    Failed(ResponseHead, Vec<u8>),
    /// The answer was lost or can't be used.
    Lost,
}

impl AttemptOutcome {
    /// No connection could be opened; nothing was sent.
    pub(crate) fn from_connect_error(
        exchange: &Exchange,
        backend: &BackendId,
        err: &HttpError,
    ) -> AttemptOutcome {
        log::info!(
            "relay: unreachable request={} backend={backend} error=\"{err}\"",
            exchange.request.id
        );
        exchange.host.health.borrow_mut().failed(backend, Instant::now());
        AttemptOutcome::Unreachable
    }

    /// Ends an attempt whose connection the backend server broke off, perhaps as it crashed.
    pub(crate) fn from_broken_connection(
        exchange: &Exchange,
        backend: &BackendId,
        err: &HttpError,
    ) -> AttemptOutcome {
        if !exchange.host.is_switching(backend) {
            let mut suspects = exchange.host.crash_suspects.borrow_mut();
            suspects.lost(exchange.fingerprint.get(), backend, Instant::now());
        }
        AttemptOutcome::from_lost_response(exchange, backend, &err.to_string())
    }

    /// The answer was lost or can't be used.
    pub(crate) fn from_lost_response(
        exchange: &Exchange,
        backend: &BackendId,
        reason: &str,
    ) -> AttemptOutcome {
        log::info!(
            "relay: attempt lost request={} backend={backend} reason=\"{reason}\"",
            exchange.request.id
        );
        // An engine that switches to other weights breaks off what runs, which is no fault of its.
        if exchange.host.is_switching(backend) {
            return AttemptOutcome::Lost;
        }
        if exchange.host.health.borrow_mut().failed(backend, Instant::now()) {
            log::info!("health: backend rests backend={backend}");
            exchange.host.connections.forget(backend);
        }
        AttemptOutcome::Lost
    }
}
