//! The outcomes of one attempt at a backend server.
//!
//! A failed attempt lowers the health of its backend server. A broken connection also makes the
//! request a crash suspect, since it may have crashed the backend server.

use std::time::Instant;

use crate::{
    entry::{
        crash_reports,
        exchange::{ConnectionReuse, Exchange},
    },
    fleet::ServiceOutcome,
    http1::{HttpError, ResponseHead},
    ids::BackendId,
    memory::BufferedBody,
};

/// The outcome of one attempt at a backend server.
pub(crate) enum AttemptOutcome {
    /// The caller received the complete response, or disconnected.
    Done(ConnectionReuse),
    /// The backend server responded that the request did not run.
    Refused(ResponseHead, BufferedBody),
    /// No connection to the backend server could be opened.
    Unreachable,
    /// The backend server ran the request and responded with a server error.
    Failed(ResponseHead, BufferedBody),
    /// The response was lost or is unusable; the request may have run.
    Lost,
}

impl AttemptOutcome {
    /// Returns what the outcome tells of the health of the backend server.
    pub(crate) fn service_outcome(&self) -> ServiceOutcome {
        match self {
            AttemptOutcome::Done(_) => ServiceOutcome::Succeeded,
            AttemptOutcome::Unreachable | AttemptOutcome::Lost | AttemptOutcome::Failed(..) => {
                ServiceOutcome::Failed
            }
            AttemptOutcome::Refused(..) => ServiceOutcome::Unknown,
        }
    }

    /// Records a failed connect, before which nothing was sent.
    pub(crate) fn from_connect_error(
        exchange: &Exchange,
        backend: &BackendId,
        err: &HttpError,
    ) -> AttemptOutcome {
        log::info!(
            "relay: failed to connect request={} backend={backend} error=\"{err}\"",
            exchange.request.id
        );
        exchange.host.health.borrow_mut().record_failure(backend, Instant::now());
        AttemptOutcome::Unreachable
    }

    /// Records a connection that the backend server broke off, possibly because it crashed.
    pub(crate) fn from_broken_connection(
        exchange: &Exchange,
        backend: &BackendId,
        err: &HttpError,
    ) -> AttemptOutcome {
        if !exchange.host.backends.borrow().is_switching(backend) {
            crash_reports::report_break(&exchange.host, exchange.fingerprint.get(), backend);
        }
        AttemptOutcome::from_lost_response(exchange, backend, &err.to_string())
    }

    /// Records a body beyond the limit whose length isn't stated: the backend server may send it without
    /// end, so that it gets no more requests for now.
    pub(crate) fn from_flood(exchange: &Exchange, backend: &BackendId) -> AttemptOutcome {
        exchange.host.record_unsound(backend);
        AttemptOutcome::from_lost_response(exchange, backend, &HttpError::BodyTooLong.to_string())
    }

    /// Records a response that was lost or is unusable.
    pub(crate) fn from_lost_response(
        exchange: &Exchange,
        backend: &BackendId,
        reason: &str,
    ) -> AttemptOutcome {
        log::info!(
            "relay: attempt lost request={} backend={backend} reason=\"{reason}\"",
            exchange.request.id
        );
        exchange.trace.record_loss(reason);
        exchange.host.record_failure(backend);
        AttemptOutcome::Lost
    }
}
