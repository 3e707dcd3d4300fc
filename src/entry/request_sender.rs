//! Sends a request to a backend server and waits for its response.

use std::time::Instant;

use futures_lite::FutureExt;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome, buffered_relay, crash_watch::CrashWatch,
        engine_stream::EngineStream, exchange::Exchange, reservation::Reservation, server_notices,
    },
    http1::ResponseHead,
    memory::BufferedBody,
    platform::wire_headers,
    relay::{Attempt, BackendResponse, EngineCall, Events},
    routing::{Customer, Route},
    verdict::Verdict,
};

/// Sends one request, to any number of backend servers.
#[derive(Clone, Copy)]
pub(crate) struct RequestSender<'a> {
    pub(crate) exchange: &'a Exchange,
    pub(crate) route: &'a Route,
    pub(crate) customer: Option<&'a Customer>,
}

/// A response that the caller can be given.
pub(crate) enum UsableResponse<'a> {
    /// A stream with the next events for the caller; none if it has ended.
    Stream(Box<EngineStream<'a>>, Option<Events>),
    /// A complete response.
    Complete(ResponseHead, BufferedBody),
}

impl<'a> RequestSender<'a> {
    /// Sends the request to the backend server of `reservation` and waits for the response head.
    pub(crate) async fn send(
        &self,
        reservation: &Reservation,
    ) -> Result<(BackendResponse, CrashWatch<'a>), AttemptOutcome> {
        let exchange = self.exchange;
        let call = EngineCall {
            backend: reservation.backend.clone(),
            customer: self.customer.map(|it| it.id.clone()),
            expected_version: reservation.expected_version,
            time_left: exchange.time_left(self.route),
            last_event: exchange.last_event_id.borrow().clone(),
            body_bytes: exchange.body.len(),
        };
        let head = wire_headers::backend_head(&exchange.head, &call);
        let attempt = Attempt {
            backend: &reservation.backend,
            address: reservation.address,
            backend_started_ms: reservation.started_ms,
            request_id: &exchange.request.id,
            head: &head,
            body: &exchange.body,
            may_reuse: self.route.is_repeatable(),
        };
        let watch = CrashWatch::new(exchange, &attempt);
        reservation.record_sent(true);
        exchange.set_has_run(true);
        let begun = Instant::now();
        let sent = async { Some(attempt.send(&exchange.host.connections).await) };
        let expired = async {
            reservation.wait_for_start_deadline().await;
            None
        };
        match sent.or(expired).await {
            Some(Ok(response)) => {
                server_notices::record(&exchange.host, &attempt, &response, begun);
                Ok((response, watch))
            }
            Some(Err(err)) if err.verdict == Verdict::NotRun => {
                reservation.record_sent(false);
                exchange.set_has_run(false);
                Err(AttemptOutcome::from_connect_error(exchange, attempt.backend, &err.err))
            }
            Some(Err(err)) => Err(watch.outcome_after_break(&err.err).await),
            None => {
                let reason = "no response in time";
                Err(AttemptOutcome::from_lost_response(exchange, attempt.backend, reason))
            }
        }
    }

    /// Sends the request and waits until the response can be given to the caller: until it is
    /// complete, or has an event that the caller has not received yet.
    pub(crate) async fn send_until_usable(
        &self,
        reservation: &Reservation,
    ) -> Result<UsableResponse<'a>, AttemptOutcome> {
        let (response, watch) = self.send(reservation).await?;
        if !self.begins_stream(&response) {
            let received = buffered_relay::receive(self.exchange, response, &watch, || {}).await?;
            reservation.record_response();
            return Ok(UsableResponse::Complete(received.0, received.1));
        }
        let mut stream = EngineStream::new(self.exchange, response, watch)?;
        loop {
            let events = stream.next(reservation).await?;
            let is_usable = events
                .as_ref()
                .is_none_or(|it| it.iter().any(|it| self.exchange.is_undelivered(&it)));
            if is_usable {
                return Ok(UsableResponse::Stream(Box::new(stream), events));
            }
        }
    }

    /// Returns `true` if the response is relayed event by event.
    pub(crate) fn begins_stream(&self, response: &BackendResponse) -> bool {
        self.route.is_stream() && (200..300).contains(&response.head.status)
    }
}
