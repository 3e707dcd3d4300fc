//! Reports each request when it ends, in a log line, counters and histograms.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use metrics::{counter, histogram};

use crate::{
    clock,
    entry::{crash_reports, cut_reason::CutReason, reservation::Reservation},
    ids::{BackendId, DocumentNumber, RequestId, WeightsVersion},
    logging::{LineDecision, RateLimit},
    metric_names,
    placement::{PartDigest, QuarantinedPart},
    relay::CallerRequest,
    verdict::Verdict,
};

/// Maximum number of log lines per second for requests that the first attempt completed without a
/// server error.
const ROUTINE_LINES_PER_S: u32 = 10;
/// Maximum number of log lines per second for all other requests.
const NOTABLE_LINES_PER_S: u32 = 60;

thread_local! {
    static ROUTINE: RateLimit = RateLimit::new(ROUTINE_LINES_PER_S);
    static NOTABLE: RateLimit = RateLimit::new(NOTABLE_LINES_PER_S);
}

/// The outcome of a request, as logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TraceOutcome {
    /// The caller received the complete response of a backend server.
    Answered(u16),
    /// The entry host sent an error response of its own.
    Refused {
        /// Status code.
        status: u16,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Message of the error response.
        reason: &'static str,
    },
    /// The response broke off after its head was sent.
    Cut(CutReason),
    /// The caller disconnected before the response ended.
    CallerLeft,
}

/// The record of one request; dropping it writes the log line and updates the metrics.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    id: RequestId,
    prompt_tokens: u32,
    /// The first part of the prompt that other requests may share.
    first_part: Option<PartDigest>,
    received: Instant,
    charter: Cell<DocumentNumber>,
    attempts: RefCell<Vec<BackendId>>,
    /// Time from arrival to the first attempt.
    queue_time: Cell<Option<Duration>>,
    /// Time from arrival to the first bytes of a response.
    time_to_first_bytes: Cell<Option<Duration>>,
    /// Last known load of the chosen backend server, in requests and unread tokens.
    load: Cell<(u32, u32)>,
    /// Version of the weights at the last engine, by its owner's view.
    version: Cell<Option<WeightsVersion>>,
    outcome: Cell<TraceOutcome>,
    /// Log fields on the part of the prompt for which the request was refused.
    part_fields: RefCell<String>,
    /// The cause for which the latest attempt was lost.
    last_loss: RefCell<Option<String>>,
}

impl RequestTrace {
    /// Creates the record of a request that arrived at `received`.
    pub(crate) fn new(request: &CallerRequest, received: Instant) -> RequestTrace {
        RequestTrace {
            id: request.id.clone(),
            prompt_tokens: request.sizes.prompt_tokens,
            first_part: request.prompt_parts.first().copied(),
            received,
            charter: Cell::new(0),
            attempts: RefCell::default(),
            queue_time: Cell::new(None),
            time_to_first_bytes: Cell::new(None),
            load: Cell::new((0, 0)),
            version: Cell::new(None),
            outcome: Cell::new(TraceOutcome::CallerLeft),
            part_fields: RefCell::default(),
            last_loss: RefCell::default(),
        }
    }

    /// Records the number of the charter that the request was routed with.
    pub(crate) fn set_charter(&self, charter: DocumentNumber) {
        self.charter.set(charter);
    }

    /// Records an attempt at the backend server of a reservation.
    pub(crate) fn record_reservation(&self, reservation: &Reservation) {
        if self.queue_time.get().is_none() {
            self.queue_time.set(Some(clock::elapsed(self.received)));
        }
        self.load.set((reservation.load.n_requests, reservation.load.unread_tokens));
        self.version.set(reservation.version);
        self.attempts.borrow_mut().push(reservation.backend.clone());
    }

    /// Records the arrival of the first bytes of a response.
    pub(crate) fn record_first_bytes(&self) {
        if self.time_to_first_bytes.get().is_none() {
            self.time_to_first_bytes.set(Some(clock::elapsed(self.received)));
        }
    }

    /// Records the part of the prompt for which the request is refused.
    pub(crate) fn record_quarantined_part(&self, quarantined: &QuarantinedPart) {
        *self.part_fields.borrow_mut() = format!(" {}", crash_reports::log_fields(quarantined));
    }

    /// Records the cause for which an attempt was lost.
    pub(crate) fn record_loss(&self, cause: &str) {
        *self.last_loss.borrow_mut() = Some(cause.to_owned());
    }

    /// Records the outcome of the request.
    pub(crate) fn record_outcome(&self, outcome: TraceOutcome) {
        self.outcome.set(outcome);
    }

    /// Returns the log field on the loss of the latest attempt that was lost, if any.
    fn loss_field(&self) -> String {
        let loss = self.last_loss.borrow();
        loss.as_ref().map(|it| format!(" lost=\"{it}\"")).unwrap_or_default()
    }

    fn log(&self, limit: &'static std::thread::LocalKey<RateLimit>) {
        let LineDecision::Write { n_dropped } = limit.with(|it| it.decide(Instant::now())) else {
            return;
        };
        let ms = |it: Option<Duration>| it.map_or(-1, |it| it.as_millis() as i64);
        let (n_requests, unread_tokens) = self.load.get();
        log::info!(
            "request: ended request={} prompt_tokens={} first_part={:016x} outcome={}{} charter={} \
             attempts={} load={n_requests} unread_tokens={unread_tokens} version={} waited_ms={} \
             first_ms={} took_ms={}{} left_out={n_dropped}",
            self.id,
            self.prompt_tokens,
            self.first_part.unwrap_or(0),
            self.outcome.get().log_fields(),
            self.part_fields.borrow(),
            self.charter.get(),
            self.attempts.borrow().join(","),
            self.version.get().unwrap_or(0),
            ms(self.queue_time.get()),
            ms(self.time_to_first_bytes.get()),
            clock::elapsed(self.received).as_millis(),
            self.loss_field(),
        );
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let outcome = self.outcome.get();
        counter!(metric_names::ENTRY_REQUESTS, "outcome" => outcome.name()).increment(1);
        let n_attempts = self.attempts.borrow().len() as u64;
        counter!(metric_names::ENTRY_ATTEMPTS).increment(n_attempts);
        if let Some(time) = self.time_to_first_bytes.get() {
            histogram!(metric_names::ENTRY_FIRST_BYTES_SECONDS).record(time.as_secs_f64());
        }
        if let Some(queue_time) = self.queue_time.get() {
            histogram!(metric_names::ENTRY_WAIT_SECONDS).record(queue_time.as_secs_f64());
        }
        let is_routine = matches!(outcome, TraceOutcome::Answered(..500)) && n_attempts == 1;
        self.log(if is_routine { &ROUTINE } else { &NOTABLE });
    }
}

impl TraceOutcome {
    /// Returns the value of the metric label `outcome`.
    fn name(self) -> &'static str {
        match self {
            TraceOutcome::Answered(_) => "answered",
            TraceOutcome::Refused { verdict: Verdict::NotRun, .. } => "refused",
            TraceOutcome::Refused { .. } => "failed",
            TraceOutcome::Cut(_) => "cut",
            TraceOutcome::CallerLeft => "caller-left",
        }
    }

    /// Returns the fields of the log line that describe the outcome.
    fn log_fields(self) -> String {
        match self {
            TraceOutcome::Answered(status) => format!("answered status={status}"),
            TraceOutcome::Refused { status, verdict, reason } => {
                format!("{} status={status} verdict={verdict} reason=\"{reason}\"", self.name())
            }
            TraceOutcome::Cut(reason) => format!("cut reason={}", reason.as_str()),
            TraceOutcome::CallerLeft => self.name().to_owned(),
        }
    }
}
