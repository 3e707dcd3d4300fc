//! The events of one engine's response.

use std::time::Duration;

use futures_lite::FutureExt;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome, crash_watch::CrashWatch, exchange::Exchange,
        reservation::Reservation,
    },
    http1::{HttpError, ResponseHead},
    relay::{BackendResponse, EventSplitter, Events},
    runtime,
};

/// Number of bytes after which others get a turn, though more bytes may be ready.
const MAX_TURN_BYTES: usize = 16 << 10;
/// Events that a stream may have for each token that its caller asked for at the most, and beyond
/// these. An event has one token or more, and some may have none.
const MAX_EVENTS_PER_TOKEN: usize = 2;
const EXTRA_EVENTS: usize = 64;

/// An engine's response with events; dropping it closes the engine's connection.
pub(crate) struct EngineStream<'a> {
    exchange: &'a Exchange,
    response: BackendResponse,
    watch: CrashWatch<'a>,
    splitter: EventSplitter,
    has_events: bool,
    n_events: usize,
    n_bytes_in_turn: usize,
}

impl<'a> EngineStream<'a> {
    /// Creates the stream of a response whose head has arrived; fails if it is no event stream of a
    /// backend server.
    pub(crate) fn new(
        exchange: &'a Exchange,
        response: BackendResponse,
        watch: CrashWatch<'a>,
    ) -> Result<EngineStream<'a>, AttemptOutcome> {
        let info = &response.info;
        if !info.is_event_stream || info.is_encoded || !info.has_receipt {
            let reason = "not an event stream";
            return Err(AttemptOutcome::from_lost_response(exchange, watch.backend(), reason));
        }
        Ok(EngineStream {
            exchange,
            response,
            watch,
            splitter: EventSplitter::default(),
            has_events: false,
            n_events: 0,
            n_bytes_in_turn: 0,
        })
    }

    /// Returns the response head.
    pub(crate) fn head(&self) -> &ResponseHead {
        &self.response.head
    }

    /// Waits for the next events; returns `None` at the end of the stream. No event is lost if the
    /// wait is given up.
    pub(crate) async fn next(
        &mut self,
        reservation: &Reservation,
    ) -> Result<Option<Events>, AttemptOutcome> {
        loop {
            self.pause_between_turns().await;
            let mut bytes = Vec::new();
            match self.read(&mut bytes, reservation).await {
                Some(Ok(true)) => {}
                Some(Ok(false)) if self.is_empty_by_close() => {
                    self.watch.record_break().await;
                    return Err(self.lost("closed before the first event"));
                }
                Some(Ok(false)) if self.splitter.is_between_events() => return Ok(None),
                Some(Ok(false)) => {
                    self.watch.record_break().await;
                    return Err(self.lost("ended inside an event"));
                }
                Some(Err(err)) => return Err(self.watch.outcome_after_break(&err).await),
                None => return Err(self.lost("no event in time")),
            }
            self.n_bytes_in_turn += bytes.len();
            let events = self.splitter.push(&bytes).map_err(|err| self.lost(&err.to_string()))?;
            if events.n_events() > 0 {
                self.record_events(reservation);
            }
            self.n_events += events.n_events();
            if self.max_events().is_some_and(|it| self.n_events > it) {
                return Err(self.lost("more events than the caller asked for"));
            }
            if !events.is_empty() {
                return Ok(Some(events));
            }
        }
    }

    /// Records that the stream ended as it should, and keeps the connection if it can be reused.
    pub(crate) async fn close(self) {
        let host = &self.exchange.host;
        host.health.borrow_mut().record_success(self.watch.backend());
        self.watch.record_end(&self.response).await;
        self.response.close(&host.connections);
    }

    /// Reads some bytes; returns `None` if the request may not start at this engine any more.
    async fn read(
        &mut self,
        bytes: &mut Vec<u8>,
        reservation: &Reservation,
    ) -> Option<Result<bool, HttpError>> {
        let has_events = self.has_events;
        let read = async { Some(self.response.read(bytes).await) };
        let expired = async {
            match has_events {
                true => std::future::pending().await,
                false => reservation.wait_for_start_deadline().await,
            }
            None
        };
        read.or(expired).await
    }

    /// Lets others go on, also those that wait for bytes, now and then: a fast engine always has bytes
    /// ready, so that a read never waits.
    async fn pause_between_turns(&mut self) {
        if self.n_bytes_in_turn >= MAX_TURN_BYTES {
            self.n_bytes_in_turn = 0;
            runtime::sleep(Duration::ZERO).await;
        }
    }

    fn record_events(&mut self, reservation: &Reservation) {
        self.watch.record_progress();
        if !std::mem::replace(&mut self.has_events, true) {
            reservation.record_first_event();
            self.exchange.trace.record_first_bytes();
        }
    }

    /// Returns the number of events that a sound engine stays below; `None` if the caller doesn't state
    /// how much it asks for.
    fn max_events(&self) -> Option<usize> {
        let max_tokens = self.exchange.request.sizes.max_output_tokens as usize;
        (max_tokens > 0).then(|| max_tokens.saturating_mul(MAX_EVENTS_PER_TOKEN) + EXTRA_EVENTS)
    }

    /// Returns `true` if a stream that was closed before its first event lacks events: nothing marks
    /// its end, and only a resumed stream may have none left.
    fn is_empty_by_close(&self) -> bool {
        let is_resumed = self.exchange.last_event_id.borrow().is_some();
        !self.has_events && self.response.ends_by_close() && !is_resumed
    }

    fn lost(&self, reason: &str) -> AttemptOutcome {
        AttemptOutcome::from_lost_response(self.exchange, self.watch.backend(), reason)
    }
}
