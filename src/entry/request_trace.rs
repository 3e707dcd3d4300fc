//! What is told of each request at its end: one log line, counters and histograms.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use metrics::{counter, histogram};

use crate::{
    ids::{BackendId, DocumentNumber, RequestId},
    logging::{LineTurn, RateLimit},
    metric_names,
    verdict::Verdict,
};

/// Lines a second about requests that were answered well.
const ROUTINE_LINES_PER_S: u32 = 10;
/// Lines a second about all other requests.
const NOTABLE_LINES_PER_S: u32 = 60;

thread_local! {
    static ROUTINE: RateLimit = RateLimit::new(ROUTINE_LINES_PER_S);
    static NOTABLE: RateLimit = RateLimit::new(NOTABLE_LINES_PER_S);
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TraceOutcome {
    /// A backend server's answer came whole to the caller.
    Answered(u16),
    /// The system answered itself.
    Refused {
        /// Status code.
        status: u16,
        /// What the caller may conclude.
        verdict: Verdict,
        /// Why.
        reason: &'static str,
    },
    /// The answer was broken off on its way.
    Cut,
    /// The caller left before the end.
    CallerLeft,
}

/// Notes on one request; its line is written when it is dropped.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    id: RequestId,
    received: Instant,
    charter: Cell<DocumentNumber>,
    attempts: RefCell<Vec<BackendId>>,
    /// Time until the first attempt was sent.
    queue_time: Cell<Option<Duration>>,
    /// Time until the first bytes of an answer.
    time_to_first_bytes: Cell<Option<Duration>>,
    /// Load of the chosen backend server as it was known.
    load: Cell<(u32, u32)>,
    outcome: Cell<TraceOutcome>,
}

impl RequestTrace {
    /// Begins with the arrival of the request.
    pub(crate) fn new(id: &RequestId, received: Instant) -> RequestTrace {
        RequestTrace {
            id: id.clone(),
            received,
            charter: Cell::new(0),
            attempts: RefCell::default(),
            queue_time: Cell::new(None),
            time_to_first_bytes: Cell::new(None),
            load: Cell::new((0, 0)),
            outcome: Cell::new(TraceOutcome::CallerLeft),
        }
    }

    /// Notes the charter that the request was judged by.
    pub(crate) fn set_charter(&self, charter: DocumentNumber) {
        self.charter.set(charter);
    }

    /// Notes an attempt and the load, in requests and unread tokens, that its place was chosen by.
    pub(crate) fn record_attempt(&self, backend: &BackendId, load: (u32, u32)) {
        if self.queue_time.get().is_none() {
            self.queue_time.set(Some(self.received.elapsed()));
        }
        self.load.set(load);
        self.attempts.borrow_mut().push(backend.clone());
    }

    /// Notes the first bytes of an answer.
    pub(crate) fn record_first_bytes(&self) {
        if self.time_to_first_bytes.get().is_none() {
            self.time_to_first_bytes.set(Some(self.received.elapsed()));
        }
    }

    /// Notes how the request ended.
    pub(crate) fn record_outcome(&self, outcome: TraceOutcome) {
        self.outcome.set(outcome);
    }

    fn log(&self, limit: &'static std::thread::LocalKey<RateLimit>) {
        let LineTurn::Write { n_left_out } = limit.with(|it| it.turn(Instant::now())) else {
            return;
        };
        let ms = |it: Option<Duration>| it.map_or(-1, |it| it.as_millis() as i64);
        let (n_requests, unread_tokens) = self.load.get();
        log::info!(
            "request: ended request={} outcome={} charter={} attempts={} load={n_requests} \
             unread_tokens={unread_tokens} waited_ms={} first_ms={} took_ms={} left_out={n_left_out}",
            self.id,
            self.outcome.get().text(),
            self.charter.get(),
            self.attempts.borrow().join(","),
            ms(self.queue_time.get()),
            ms(self.time_to_first_bytes.get()),
            self.received.elapsed().as_millis(),
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
    /// A word for counters.
    fn name(self) -> &'static str {
        match self {
            TraceOutcome::Answered(_) => "answered",
            TraceOutcome::Refused { verdict: Verdict::NotRun, .. } => "refused",
            TraceOutcome::Refused { .. } => "failed",
            TraceOutcome::Cut => "cut",
            TraceOutcome::CallerLeft => "caller-left",
        }
    }

    /// The fields of a log line.
    fn text(self) -> String {
        match self {
            TraceOutcome::Answered(status) => format!("answered status={status}"),
            TraceOutcome::Refused { status, verdict, reason } => {
                format!("{} status={status} verdict={verdict} reason=\"{reason}\"", self.name())
            }
            TraceOutcome::Cut | TraceOutcome::CallerLeft => self.name().to_owned(),
        }
    }
}
