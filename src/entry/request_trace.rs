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
const CALM_LINES: u32 = 10;
/// Lines a second about all other requests.
const TROUBLE_LINES: u32 = 60;

thread_local! {
    static CALM: RateLimit = RateLimit::new(CALM_LINES);
    static TROUBLE: RateLimit = RateLimit::new(TROUBLE_LINES);
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
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
    waited: Cell<Option<Duration>>,
    /// Time until the first bytes of an answer.
    first: Cell<Option<Duration>>,
    /// Load of the chosen backend server as it was known.
    load: Cell<(u32, u32)>,
    outcome: Cell<RequestOutcome>,
}

impl RequestTrace {
    /// Begins with the arrival of the request.
    pub(crate) fn new(id: &RequestId, received: Instant) -> RequestTrace {
        RequestTrace {
            id: id.clone(),
            received,
            charter: Cell::new(0),
            attempts: RefCell::default(),
            waited: Cell::new(None),
            first: Cell::new(None),
            load: Cell::new((0, 0)),
            outcome: Cell::new(RequestOutcome::CallerLeft),
        }
    }

    /// Notes the charter that the request was judged by.
    pub(crate) fn judged_by(&self, charter: DocumentNumber) {
        self.charter.set(charter);
    }

    /// Notes an attempt and the load, in requests and unread tokens, that its place was chosen by.
    pub(crate) fn attempted(&self, backend: &BackendId, load: (u32, u32)) {
        if self.waited.get().is_none() {
            self.waited.set(Some(self.received.elapsed()));
        }
        self.load.set(load);
        self.attempts.borrow_mut().push(backend.clone());
    }

    /// Notes the first bytes of an answer.
    pub(crate) fn first_bytes(&self) {
        if self.first.get().is_none() {
            self.first.set(Some(self.received.elapsed()));
        }
    }

    /// Notes how the request ended.
    pub(crate) fn ended(&self, outcome: RequestOutcome) {
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
            ms(self.waited.get()),
            ms(self.first.get()),
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
        if let Some(first) = self.first.get() {
            histogram!(metric_names::ENTRY_FIRST_BYTES_SECONDS).record(first.as_secs_f64());
        }
        if let Some(waited) = self.waited.get() {
            histogram!(metric_names::ENTRY_WAIT_SECONDS).record(waited.as_secs_f64());
        }
        let is_calm = matches!(outcome, RequestOutcome::Answered(..500)) && n_attempts == 1;
        self.log(if is_calm { &CALM } else { &TROUBLE });
    }
}

impl RequestOutcome {
    /// A word for counters.
    fn name(self) -> &'static str {
        match self {
            RequestOutcome::Answered(_) => "answered",
            RequestOutcome::Refused { verdict: Verdict::NotRun, .. } => "refused",
            RequestOutcome::Refused { .. } => "failed",
            RequestOutcome::Cut => "cut",
            RequestOutcome::CallerLeft => "caller-left",
        }
    }

    /// The fields of a log line.
    fn text(self) -> String {
        match self {
            RequestOutcome::Answered(status) => format!("answered status={status}"),
            RequestOutcome::Refused { status, verdict, reason } => {
                format!("{} status={status} verdict={verdict} reason=\"{reason}\"", self.name())
            }
            RequestOutcome::Cut | RequestOutcome::CallerLeft => self.name().to_owned(),
        }
    }
}
