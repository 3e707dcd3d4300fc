//! The events of one engine's response.

use futures_lite::FutureExt;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome, crash_watch::CrashWatch, exchange::Exchange,
        reservation::Reservation,
    },
    http1::{HttpError, ResponseHead},
    relay::{BackendResponse, Event, EventSplitter},
};

/// An engine's response with events; dropping it closes the engine's connection.
pub(crate) struct EngineStream<'a> {
    exchange: &'a Exchange,
    response: BackendResponse,
    watch: CrashWatch<'a>,
    splitter: EventSplitter,
    has_events: bool,
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
        let splitter = EventSplitter::default();
        Ok(EngineStream { exchange, response, watch, splitter, has_events: false })
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
    ) -> Result<Option<Vec<Event>>, AttemptOutcome> {
        loop {
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
            let events = self.splitter.push(&bytes).map_err(|err| self.lost(&err.to_string()))?;
            if !events.iter().all(|it| it.is_comment) {
                self.record_events(reservation);
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

    fn record_events(&mut self, reservation: &Reservation) {
        self.watch.record_progress();
        if !std::mem::replace(&mut self.has_events, true) {
            reservation.record_first_event();
            self.exchange.trace.record_first_bytes();
        }
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
