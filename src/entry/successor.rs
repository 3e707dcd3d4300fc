//! Finds another backend server for a request whose backend server is silent.
//!
//! Load pattern: a backend server with many requests is silent for a moment and then goes on, while the
//! others have little capacity left, refuse requests or are away. Giving its requests up before another
//! one responds would lose responses that are still to come. Whichever responds first is used. A call to
//! a plain service that may be repeated is hedged once before that, see `placement::PlainServers`.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    pin::Pin,
    time::{Duration, Instant},
};

use event_listener::Event;
use futures_lite::FutureExt;
use metrics::counter;

use crate::{
    entry::{
        attempt_outcome::AttemptOutcome,
        backend_requirements::BackendRequirements,
        request_sender::{RequestSender, UsableResponse},
        reservation::Reservation,
    },
    ids::BackendId,
    metric_names, runtime,
    verdict::Verdict,
};

/// Time for which each search waits for capacity at an engine.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two searches, and between two checks whether the response is still being written.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// A backend server that responded in place of a silent one.
pub(crate) struct Successor<'a> {
    pub(crate) reservation: Reservation,
    pub(crate) response: UsableResponse<'a>,
}

/// The search for a backend server that takes over a request from a silent one.
pub(crate) struct SuccessorSearch<'a> {
    sender: RequestSender<'a>,
    requirements: RefCell<BackendRequirements>,
    /// The backend server that has the request.
    current: BackendId,
    /// The number of further backend servers that may get the request.
    n_left: Cell<u32>,
    /// The number of further backend servers that got it and were of no use.
    n_failed: Cell<u32>,
    /// Whether a further backend server has the request now.
    is_in_flight: Cell<bool>,
    /// Whether the response is being written to the caller.
    is_writing: Cell<bool>,
    /// The time of the latest progress, and the silence after it that starts the search.
    last_progress: Cell<Instant>,
    silence: Cell<Duration>,
    /// The time without progress after which the call is hedged; shorter than `silence`.
    hedge_delay: Cell<Option<Duration>>,
    /// Whether the present silence was reported.
    is_reported: Cell<bool>,
    progressed: Event,
    settled: Event,
}

/// Marks that a further backend server has the request, until its outcome is known.
struct InFlight<'s, 'a> {
    search: &'s SuccessorSearch<'a>,
    is_settled: bool,
}

impl<'a> SuccessorSearch<'a> {
    /// Creates the search for a request that runs at `current`; up to `n_left` others may get it, the
    /// first one after `silence`.
    pub(crate) fn new(
        sender: RequestSender<'a>,
        requirements: BackendRequirements,
        current: &BackendId,
        n_left: u32,
        silence: Duration,
    ) -> SuccessorSearch<'a> {
        let hedge_delay = hedge_delay(sender, &requirements, n_left, silence);
        SuccessorSearch {
            sender,
            requirements: RefCell::new(requirements),
            current: current.clone(),
            n_left: Cell::new(n_left),
            n_failed: Cell::new(0),
            is_in_flight: Cell::new(false),
            is_writing: Cell::new(false),
            last_progress: Cell::new(Instant::now()),
            silence: Cell::new(silence),
            hedge_delay: Cell::new(hedge_delay),
            is_reported: Cell::new(false),
            progressed: Event::new(),
            settled: Event::new(),
        }
    }

    /// Records progress of the response: the search ends, and begins again after `silence`.
    pub(crate) fn record_progress(&self, silence: Duration) {
        self.last_progress.set(Instant::now());
        self.silence.set(silence);
        self.hedge_delay.set(None);
        self.progressed.notify(usize::MAX);
    }

    /// Uses no other backend server until `end_write`, as the response is being written to the caller.
    pub(crate) fn begin_write(&self) {
        self.is_writing.set(true);
    }

    /// Records that the response was written, so that the search may begin again.
    pub(crate) fn end_write(&self) {
        self.is_writing.set(false);
    }

    /// Returns the requirements, which exclude all backend servers that got the request.
    pub(crate) fn requirements(&self) -> BackendRequirements {
        self.requirements.borrow().clone()
    }

    /// Returns the number of further backend servers that got the request and were of no use.
    pub(crate) fn n_failed(&self) -> u32 {
        self.n_failed.get()
    }

    /// Searches whenever the response makes no progress, until another backend server responds.
    pub(crate) async fn run(&self) -> Successor<'a> {
        loop {
            let silent_since = self.last_progress.get();
            let progressed = self.progressed.listen();
            self.is_reported.set(false);
            let found = async { Some(self.search().await) };
            let ended = async {
                progressed.await;
                None
            };
            let Some(successor) = found.or(ended).await else { continue };
            if !self.is_writing.get() && self.last_progress.get() == silent_since {
                return successor;
            }
            // The other one responded while the first response went on or was being written.
            self.count_possible_run();
        }
    }

    /// Waits for the backend server that has the request now besides the silent one, which failed;
    /// returns `None` if there is none or it is of no use either.
    pub(crate) async fn finish<F: Future<Output = Successor<'a>>>(
        &self,
        mut run: Pin<&mut F>,
    ) -> Option<Successor<'a>> {
        let found = async { Some(run.as_mut().await) };
        let failed = async {
            while self.is_in_flight.get() {
                self.settled.listen().await;
            }
            None
        };
        found.or(failed).await
    }

    /// Waits until there was no progress for `silence`.
    async fn wait_for_silence(&self, silence: Duration) {
        loop {
            let silent_for = self.last_progress.get().elapsed();
            let left = silence.saturating_sub(silent_for);
            if left.is_zero() && !self.is_writing.get() {
                return;
            }
            runtime::sleep(if left.is_zero() { SEARCH_INTERVAL } else { left }).await;
        }
    }

    /// Waits until the backend server has been silent for long, and lets it get no new requests for now.
    async fn report_silence(&self) {
        self.wait_for_silence(self.silence.get()).await;
        if self.is_reported.replace(true) {
            return;
        }
        let exchange = self.sender.exchange;
        log::info!("relay: silent request={} backend={}", exchange.request.id, self.current);
        let is_at_engine = self.sender.route.is_stream();
        if is_at_engine || self.n_left.get() > 0 {
            exchange.host.record_failure(&self.current);
        }
    }

    async fn search(&self) -> Successor<'a> {
        if let Some(successor) = self.hedge().await {
            return successor;
        }
        self.report_silence().await;
        loop {
            if self.n_left.get() == 0 {
                return std::future::pending().await;
            }
            if let Some(successor) = self.try_next().await {
                return successor;
            }
            runtime::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Sends a call that is late, but not yet silent for long, to one more backend server.
    async fn hedge(&self) -> Option<Successor<'a>> {
        self.wait_for_silence(self.hedge_delay.get()?).await;
        self.hedge_delay.set(None);
        let reported = async {
            self.report_silence().await;
            std::future::pending().await
        };
        self.try_hedge().or(reported).await
    }

    async fn try_hedge(&self) -> Option<Successor<'a>> {
        let exchange = self.sender.exchange;
        let requirements = self.requirements();
        let reservation = Reservation::wait(&exchange.host, &requirements, QUEUE_TIMEOUT).await;
        let reservation = reservation.ok().filter(|it| it.try_hedge(&requirements))?;
        if !exchange.host.try_spend_retry(&requirements.service) {
            return None;
        }
        counter!(metric_names::HEDGED_REQUESTS).increment(1);
        log::info!(
            "relay: hedged request={} late={} backend={}",
            exchange.request.id,
            self.current,
            reservation.backend
        );
        self.send_to(reservation).await
    }

    /// Sends the request to one more backend server; returns `None` unless it responds.
    async fn try_next(&self) -> Option<Successor<'a>> {
        let exchange = self.sender.exchange;
        let is_resumed = exchange.is_head_sent.get();
        let requirements = BackendRequirements { is_resumed, ..self.requirements() };
        let reservation =
            Reservation::wait(&exchange.host, &requirements, QUEUE_TIMEOUT).await.ok()?;
        if !exchange.host.try_spend_retry(&requirements.service) {
            return None;
        }
        self.send_to(reservation).await
    }

    async fn send_to(&self, reservation: Reservation) -> Option<Successor<'a>> {
        let exchange = self.sender.exchange;
        exchange.trace.record_reservation(&reservation);
        let in_flight = InFlight::begin(self, &reservation.backend);
        let res = self.sender.send_until_usable(&reservation).await;
        match res {
            Ok(response) => {
                in_flight.succeed();
                log::info!(
                    "relay: another backend server responded first request={} silent={} backend={}",
                    exchange.request.id,
                    self.current,
                    reservation.backend
                );
                Some(Successor { reservation, response })
            }
            Err(outcome) => {
                reservation.record_outcome(outcome.service_outcome());
                in_flight.fail(&outcome);
                None
            }
        }
    }

    /// Counts a further backend server that got the request and was of no use.
    fn count_of_no_use(&self) {
        self.n_left.set(self.n_left.get().saturating_sub(1));
        self.n_failed.set(self.n_failed.get() + 1);
    }

    /// Counts a further backend server that may have run the request in vain.
    fn count_possible_run(&self) {
        self.count_of_no_use();
        self.sender.exchange.verdict.set(Verdict::MayHaveRun);
    }
}

/// Returns the time without a response after which a call is hedged, if it may be repeated and a second
/// server can respond in time.
fn hedge_delay(
    sender: RequestSender<'_>,
    requirements: &BackendRequirements,
    n_left: u32,
    silence: Duration,
) -> Option<Duration> {
    if sender.route.is_stream() || n_left == 0 {
        return None;
    }
    let left = requirements.objective_at.saturating_duration_since(Instant::now());
    let seen = sender.exchange.host.plain_servers.borrow();
    seen.hedge_delay(&requirements.route, left).filter(|it| *it < silence)
}

impl<'s, 'a> InFlight<'s, 'a> {
    fn begin(search: &'s SuccessorSearch<'a>, backend: &BackendId) -> InFlight<'s, 'a> {
        search.requirements.borrow_mut().excluded.push(backend.clone());
        search.is_in_flight.set(true);
        InFlight { search, is_settled: false }
    }

    fn succeed(mut self) {
        self.is_settled = true;
    }

    fn fail(mut self, outcome: &AttemptOutcome) {
        self.is_settled = true;
        match outcome {
            AttemptOutcome::Unreachable => {}
            AttemptOutcome::Refused(..) => self.search.count_of_no_use(),
            _ => self.search.count_possible_run(),
        }
    }
}

impl Drop for InFlight<'_, '_> {
    fn drop(&mut self) {
        // The silent backend server went on first, so that this one is no longer waited for.
        if !self.is_settled {
            self.search.count_possible_run();
        }
        self.search.is_in_flight.set(false);
        self.search.settled.notify(usize::MAX);
    }
}
