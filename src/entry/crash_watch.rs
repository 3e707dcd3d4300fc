//! Distinguishes an engine that crashed while it served a request from one that completed it.
//!
//! An engine whose connection broke around the start of the response, and that now refuses
//! connections, has crashed: the parts of the prompt are suspected. A response that goes on clears
//! them.

use std::{
    cell::Cell,
    io::ErrorKind,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome, crash_reports, eligible_servers::n_layers,
        exchange::Exchange,
    },
    http1::{Connection, HttpError},
    ids::BackendId,
    placement::PartCrash,
    relay::{Attempt, BackendResponse},
    routing::BackendState,
};

/// Number of parts of a prompt that a log line names; a prompt may have thousands.
const MAX_LOGGED_PARTS: usize = 16;
/// Time after the first event within which a crash counts against the parts of the request, and after
/// which an event clears them. Engines crash when they begin to write.
const START_WINDOW: Duration = Duration::from_millis(300);
/// Timeout of the connection that shows whether the engine's process is gone.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The start of the response to one attempt.
pub(crate) struct CrashWatch<'a> {
    exchange: &'a Exchange,
    backend: BackendId,
    address: SocketAddr,
    sent: Instant,
    first_progress: Cell<Option<Instant>>,
    has_cleared: Cell<bool>,
}

impl<'a> CrashWatch<'a> {
    /// Creates the watch of an attempt that is sent now.
    pub(crate) fn new(exchange: &'a Exchange, attempt: &Attempt<'_>) -> CrashWatch<'a> {
        CrashWatch {
            exchange,
            backend: attempt.backend.clone(),
            address: attempt.address,
            sent: Instant::now(),
            first_progress: Cell::new(None),
            has_cleared: Cell::new(false),
        }
    }

    /// Returns the backend server of the attempt.
    pub(crate) fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Records an event, or the head of a response that is no stream.
    pub(crate) fn record_progress(&self) {
        if self.first_progress.get().is_none() {
            self.first_progress.set(Some(Instant::now()));
        }
        if !self.is_starting() && !self.has_cleared.replace(true) {
            self.clear();
        }
    }

    /// Records the end of a successful response.
    pub(crate) async fn record_end(&self, response: &BackendResponse) {
        // A crash also ends the connection.
        match response.ends_by_close() && self.is_starting() {
            true => self.record_break().await,
            false => self.clear(),
        }
    }

    /// Returns the outcome of an attempt whose connection failed, after recording the crash of an
    /// engine that is found dead.
    pub(crate) async fn outcome_after_break(&self, err: &HttpError) -> AttemptOutcome {
        // A crash ends the connection; one that sends something odd is still there.
        if !matches!(err, HttpError::Io(_) | HttpError::Closed | HttpError::Truncated) {
            let reason = err.to_string();
            return AttemptOutcome::from_lost_response(self.exchange, &self.backend, &reason);
        }
        self.record_break().await;
        AttemptOutcome::from_broken_connection(self.exchange, &self.backend, err)
    }

    /// Records that the connection broke.
    pub(crate) async fn record_break(&self) {
        let parts = &self.exchange.request.prompt_parts;
        if parts.is_empty() || !self.is_starting() || !self.is_engine_in_service() {
            return;
        }
        if !is_process_gone(self.address).await {
            return;
        }
        let crash = PartCrash {
            parts: parts.clone(),
            request: self.exchange.fingerprint.get(),
            engine: self.backend.clone(),
            sent_ago_ms: u32::try_from(self.sent.elapsed().as_millis()).unwrap_or(u32::MAX),
        };
        let first_parts: Vec<String> =
            parts.iter().take(MAX_LOGGED_PARTS).map(|it| format!("{it:016x}")).collect();
        log::info!(
            "crashes: an engine crashed when it began to respond request={} backend={} n_parts={} \
             first_parts={}",
            self.exchange.request.id,
            self.backend,
            parts.len(),
            first_parts.join(","),
        );
        crash_reports::report_crash(&self.exchange.host, crash);
    }

    fn clear(&self) {
        crash_reports::clear(&self.exchange.host, &self.exchange.request.prompt_parts);
    }

    fn is_starting(&self) -> bool {
        self.first_progress.get().is_none_or(|it| it.elapsed() <= START_WINDOW)
    }

    /// Returns `true` for an engine that was expected to serve; one that leaves or switches by plan
    /// also breaks connections, and so may a plain service.
    fn is_engine_in_service(&self) -> bool {
        let host = &self.exchange.host;
        let backends = host.backends.borrow();
        backends.get(&self.backend).is_some_and(|it| {
            it.state == BackendState::Ready
                && !it.is_switching
                && !host.server_notices.is_leaving(it)
                && n_layers(host, &it.service).is_some()
        })
    }
}

/// Returns `true` if nothing listens at an address of a machine that responds.
async fn is_process_gone(address: SocketAddr) -> bool {
    match Connection::open(address, PROBE_TIMEOUT).await {
        Err(HttpError::Io(err)) => err.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}
