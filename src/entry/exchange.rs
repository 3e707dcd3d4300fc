//! One request of a caller and its response, of which the caller gets exactly one.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use metrics::counter;

use crate::{
    clock,
    entry::{
        crash_tries::CrashTry,
        cut_reason::CutReason,
        entry_host::EntryHost,
        error_response::ErrorResponse,
        request_trace::{RequestTrace, TraceOutcome},
        reservation_error::ReservationError,
    },
    http1::{ConnectionWriter, HttpError, RequestHead, ResponseHead},
    ids::CustomerId,
    memory::BufferedBody,
    metric_names,
    placement::{Fingerprint, QuarantinedPart},
    platform::wire_headers,
    relay::{CallerRequest, Event},
    routing::{Customer, RequestRegions, Route},
    runtime,
    verdict::Verdict,
};

/// Time for which an error response may be written if the request has less time left.
const MIN_ERROR_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether the caller's connection may be reused for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// The response is complete, and the connection stays open.
    Reusable,
    /// The connection must be closed.
    Close,
}

/// A completely received request, with the state of its response.
pub(crate) struct Exchange {
    pub(crate) host: Rc<EntryHost>,
    pub(crate) caller: ConnectionWriter,
    pub(crate) request: CallerRequest,
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) received: Instant,
    pub(crate) closes_connection: bool,
    pub(crate) is_head_sent: Cell<bool>,
    /// Id of the last event that was sent to the caller.
    pub(crate) last_event_id: RefCell<Option<String>>,
    /// Whether the request may have run in one of the attempts that have ended.
    pub(crate) verdict: Cell<Verdict>,
    /// Whether an attempt at a backend server is running.
    pub(crate) is_attempt_running: Cell<bool>,
    pub(crate) trace: RequestTrace,
    pub(crate) fingerprint: Cell<Fingerprint>,
    /// Present if the request is a try of one that is refused.
    crash_try: RefCell<Option<CrashTry>>,
}

impl Exchange {
    /// Creates the exchange for a completely received request.
    pub(crate) fn new(
        host: Rc<EntryHost>,
        caller: ConnectionWriter,
        head: RequestHead,
        body: Vec<u8>,
        received: Instant,
        closes_connection: bool,
    ) -> Exchange {
        let request = wire_headers::decode_request(&head);
        let last_event_id = RefCell::new(request.last_event.clone());
        let trace = RequestTrace::new(&request, received);
        Exchange {
            host,
            caller,
            request,
            head,
            body,
            received,
            closes_connection,
            is_head_sent: Cell::new(false),
            last_event_id,
            verdict: Cell::new(Verdict::NotRun),
            is_attempt_running: Cell::new(false),
            trace,
            fingerprint: Cell::new(0),
            crash_try: RefCell::default(),
        }
    }

    /// Sets the digest of customer, target and body, which is the same if the caller repeats the
    /// request.
    pub(crate) fn set_fingerprint(&self, customer: Option<&CustomerId>) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(customer.map_or("", |it| it.as_str()).as_bytes());
        hasher.update(&[0]);
        hasher.update(self.head.target.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.body);
        let mut prefix = [0; 8];
        hasher.finalize_xof().fill(&mut prefix);
        self.fingerprint.set(u64::from_le_bytes(prefix));
    }

    /// Makes the request the try of one that is refused.
    pub(crate) fn begin_try(&self, crash_try: CrashTry) {
        self.crash_try.replace(Some(crash_try));
    }

    /// Returns the regions in which the request may be served.
    pub(crate) fn regions(&self, route: &Route, customer: Option<&Customer>) -> RequestRegions {
        let (host, path) = (&self.request.host, self.head.path());
        RequestRegions::new(route, customer, host, path, self.request.key.as_deref())
    }

    /// Returns the time until the earlier of the caller's deadline and the route's timeout.
    pub(crate) fn time_left(&self, route: &Route) -> Duration {
        let limit = self.request.time_left.unwrap_or(route.timeout).min(route.timeout);
        limit.saturating_sub(clock::elapsed(self.received))
    }

    /// Forwards a complete response, changing only the headers that concern the connection. Cuts the
    /// response instead if the caller already has the start of another one.
    pub(crate) async fn forward_response(
        &self,
        mut head: ResponseHead,
        body: BufferedBody,
    ) -> ConnectionReuse {
        if self.is_head_sent.get() {
            return self.cut_response(CutReason::UnusableResponse);
        }
        head.headers.remove_hop_by_hop();
        head.headers.set("Content-Length", body.len().to_string());
        if self.closes_connection {
            head.headers.push("Connection", "close");
        }
        self.is_head_sent.set(true);
        self.trace.record_first_bytes();
        let res = self.write_response(&head, body).await;
        if matches!(res, Err(HttpError::BuffersFull)) {
            return self.cut_response(CutReason::BuffersFull);
        }
        if res.is_ok() {
            self.trace.record_outcome(TraceOutcome::Answered(head.status));
        }
        self.reuse_after_write(res)
    }

    /// Writes a complete response; fails if the caller reads it so slowly that its buffer is given up.
    async fn write_response(
        &self,
        head: &ResponseHead,
        body: BufferedBody,
    ) -> Result<(), HttpError> {
        let (blocks, lease) = body.into_blocks();
        lease.wait_for_caller();
        let mut bytes = head.to_bytes();
        let write = async {
            for block in blocks {
                let block_bytes = block.len();
                match bytes.is_empty() {
                    true => bytes = block,
                    false => {
                        bytes.extend_from_slice(&block);
                        drop(block);
                    }
                }
                self.caller.write(&bytes).await?;
                bytes = Vec::new();
                lease.shrink(block_bytes);
            }
            self.caller.write(&bytes).await
        };
        let given_up = async {
            lease.wait_until_given_up().await;
            Err(HttpError::BuffersFull)
        };
        write.or(given_up).await
    }

    /// Returns `true` if the caller has not received the event yet; one without an id, such as a comment,
    /// counts as new.
    pub(crate) fn is_undelivered(&self, event: &Event) -> bool {
        is_newer_event(event.id.as_deref(), self.last_event_id.borrow().as_deref())
    }

    /// Returns the number of backend servers that may get the request.
    pub(crate) fn max_attempts(&self, route: &Route) -> u32 {
        match *self.crash_try.borrow() {
            Some(_) => route.max_attempts.min(1),
            None => route.max_attempts,
        }
    }

    /// Records, for a try, whether a backend server may have run the request.
    pub(crate) fn set_has_run(&self, has_run: bool) {
        if let Some(crash_try) = &*self.crash_try.borrow() {
            crash_try.set_has_run(has_run);
        }
    }

    /// Returns the part of the prompt for which no engine may get the request.
    pub(crate) fn quarantined_part(&self) -> Option<QuarantinedPart> {
        let crashing_parts = self.host.crashing_parts.borrow();
        crashing_parts.find_quarantined(&self.request.prompt_parts, Instant::now())
    }

    /// Refuses the request because of a part of its prompt, before it may have run.
    pub(crate) async fn refuse_quarantined_part(
        &self,
        quarantined: &QuarantinedPart,
    ) -> ConnectionReuse {
        self.trace.record_quarantined_part(quarantined);
        let reason = ReservationError::Quarantined(quarantined.clone());
        self.send_reservation_error(reason).await
    }

    pub(crate) async fn send_reservation_error(&self, reason: ReservationError) -> ConnectionReuse {
        if let ReservationError::NotAllowed(reason) = &reason {
            counter!(metric_names::NOT_ALLOWED_REQUESTS, "reason" => reason.as_str()).increment(1);
        }
        if matches!(reason, ReservationError::Limited(_)) {
            self.host.limited_servers.note_refused();
        }
        self.send_error(reason.response()).await
    }

    /// Ends a response that cannot be completed: closing the connection shows the caller that the
    /// end is missing.
    pub(crate) fn cut_response(&self, reason: CutReason) -> ConnectionReuse {
        self.trace.record_outcome(TraceOutcome::Cut(reason));
        ConnectionReuse::Close
    }

    /// Sends an error of this host, or cuts the response of which the caller already has the start.
    pub(crate) async fn send_error(&self, response: ErrorResponse) -> ConnectionReuse {
        if self.is_head_sent.get() {
            return self.cut_response(CutReason::UnusableResponse);
        }
        self.is_head_sent.set(true);
        self.trace.record_outcome(TraceOutcome::Refused {
            status: response.status,
            verdict: response.verdict,
            reason: response.message,
        });
        // A caller that reads none of its responses has no room for another one.
        let time_left = self.request.time_left.unwrap_or_default();
        let time_left = time_left.saturating_sub(clock::elapsed(self.received));
        let send = response.send(&self.caller, &self.request.id, self.closes_connection);
        let res = runtime::timeout(time_left.max(MIN_ERROR_WRITE_TIMEOUT), send).await;
        self.reuse_after_write(res.unwrap_or(Err(HttpError::TimedOut)))
    }

    /// Ends the request, as the process is about to exit: responds unless the response has begun.
    pub(crate) async fn end_at_exit(&self) -> ConnectionReuse {
        let age = clock::elapsed(self.received);
        let stop_age = self.host.departure.since().map(|it| it.elapsed()).unwrap_or_default();
        log::warn!(
            "relay: cut by the exit request={} age_ms={} received_after_stop_ms={} is_begun={}",
            self.request.id,
            age.as_millis(),
            stop_age.as_millis() as i64 - age.as_millis() as i64,
            self.is_head_sent.get(),
        );
        self.send_timeout(
            CutReason::HostExit,
            "this entry host is shutting down; retry at another one",
            "this entry host is shutting down; retry only if the request is idempotent",
        )
        .await
    }

    /// Ends a request whose time is over: sends an error response, with one of the messages, unless
    /// the response of a backend server has begun.
    pub(crate) async fn send_timeout(
        &self,
        cut_reason: CutReason,
        not_run_message: &'static str,
        may_have_run_message: &'static str,
    ) -> ConnectionReuse {
        if self.is_head_sent.get() {
            return self.cut_response(cut_reason);
        }
        let has_not_run = self.verdict.get() == Verdict::NotRun && !self.is_attempt_running.get();
        let response = match has_not_run {
            true => ErrorResponse::not_run(503, not_run_message),
            false => ErrorResponse::may_have_run(504, may_have_run_message),
        };
        self.send_error(response).await
    }

    fn reuse_after_write(&self, res: Result<(), HttpError>) -> ConnectionReuse {
        match res {
            Ok(()) if !self.closes_connection => ConnectionReuse::Reusable,
            Ok(()) => ConnectionReuse::Close,
            Err(err) => {
                log::debug!(
                    "relay: failed to write the response to the caller request={} error=\"{err}\"",
                    self.request.id
                );
                ConnectionReuse::Close
            }
        }
    }
}

/// Returns `true` if an event follows the last one that the caller received.
fn is_newer_event(id: Option<&str>, last: Option<&str>) -> bool {
    let (Some(id), Some(last)) = (id, last) else { return true };
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
