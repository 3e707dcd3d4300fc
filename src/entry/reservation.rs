//! Reserves capacity at one backend server for the duration of one attempt.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    clock,
    entry::{
        admission_client::{self, Grant},
        backend_requirements::BackendRequirements,
        eligible_servers::{allowed_zones, eligible_servers, n_layers},
        entry_host::EntryHost,
        plain_call::PlainCall,
        reservation_error::ReservationError,
        server_notices,
    },
    fleet::ServiceOutcome,
    ids::{BackendId, WeightsVersion},
    placement::{choose_plain_backend, Load, PlainCandidate, ReservationNumber, WaitLeft},
    routing::{BackendServer, BackendState},
    runtime,
};

/// Longest sleep until the time of a start deadline is read again.
const MAX_DEADLINE_SLEEP: Duration = Duration::from_millis(250);
/// Number of grants for one request whose engine this host must not use, up to which it asks for
/// another one though it has waited as long as it may.
const MAX_UNUSABLE_GRANTS: usize = 3;

/// Capacity for one request at one backend server; dropping it releases the capacity.
pub(crate) struct Reservation {
    host: Rc<EntryHost>,
    /// The backend server at which capacity is reserved.
    pub(crate) backend: BackendId,
    /// Address of the backend server.
    pub(crate) address: SocketAddr,
    /// Start time of its process in milliseconds since the Unix epoch, by its entry.
    pub(crate) started_ms: u64,
    /// Last known load of the backend server when it was chosen.
    pub(crate) load: Load,
    /// Version of the weights that the engine serves, by its owner's view; `None` for a plain
    /// service.
    pub(crate) version: Option<WeightsVersion>,
    /// Version of the weights that the engine must serve; `None` if any version will do.
    pub(crate) expected_version: Option<WeightsVersion>,
    /// Model that the request is for; `None` for a plain service.
    model: Option<String>,
    /// Number of the reservation at its owner; `None` for a backend server of a plain service.
    number: Option<ReservationNumber>,
    /// Whether it is charged to this host's share of a cold backend server, as no owner decided on it.
    is_own_charged: bool,
    /// Time at which it was made.
    begun: Instant,
    outcome: Cell<ServiceOutcome>,
    /// Whether the backend server may have got the request.
    is_sent: Cell<bool>,
    /// The call, for a plain service.
    plain_call: Option<PlainCall>,
}

impl Reservation {
    /// Reserves capacity, for a pool waiting up to `queue_timeout` while all engines are full, unless a
    /// part of the prompt is or gets into quarantine.
    pub(crate) async fn wait(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
        queue_timeout: Duration,
    ) -> Result<Reservation, ReservationError> {
        let quarantined = async {
            let part = requirements.wait_for_quarantine(host).await;
            Err(ReservationError::Quarantined(part))
        };
        quarantined.or(Reservation::wait_for_capacity(host, requirements, queue_timeout)).await
    }

    async fn wait_for_capacity(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
        queue_timeout: Duration,
    ) -> Result<Reservation, ReservationError> {
        requirements.check_allowed(host)?;
        if let Some(err) = requirements.unavailable(host) {
            return Err(err);
        }
        if n_layers(host, &requirements.service).is_none() {
            return Reservation::at_plain_backend(host, requirements);
        }
        let res = Reservation::wait_for_engine(host, requirements, queue_timeout).await;
        // Engines may have asked for a pause, or named limits, while the request waited.
        res.map_err(|err| requirements.unavailable(host).unwrap_or(err))
    }

    async fn wait_for_engine(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
        queue_timeout: Duration,
    ) -> Result<Reservation, ReservationError> {
        let asked_first = Instant::now();
        let mut unusable: Vec<BackendId> = Vec::new();
        loop {
            let max_wait = requirements.terms.max_wait;
            let left = WaitLeft::after(asked_first.elapsed(), queue_timeout, max_wait);
            let part = left.until(requirements.time_until_pause_ends(host));
            // Made anew each time: engines begin pauses, several at once, and end them.
            let mut demand = requirements.demand(host, part);
            demand.excluded.extend(unusable.iter().cloned());
            let asked = Instant::now();
            let reserve = async { Some(admission_client::reserve(host, &demand).await) };
            let allowed_changed = async {
                requirements.wait_until_allowed_differs(host, &demand.regions).await;
                None
            };
            let Some(res) = reserve.or(allowed_changed).await else {
                requirements.check_allowed(host)?;
                continue;
            };
            let grant = match res {
                Err(err) if err.is_end_of_wait() && left.exceeds(part, asked.elapsed()) => continue,
                res => res?,
            };
            let engine = grant.engine.clone();
            if let Some(reservation) = Reservation::at_engine(host, requirements, grant) {
                return Ok(reservation);
            }
            unusable.push(engine);
            if unusable.len() >= MAX_UNUSABLE_GRANTS && left.is_over() {
                return Err(ReservationError::Full);
            }
        }
    }

    /// Uses a grant, or releases it if this host knows that the engine must not get the request: it
    /// is leaving or pausing, is not allowed for the request, or its weights are too old.
    fn at_engine(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
        grant: Grant,
    ) -> Option<Reservation> {
        let now = clock::now();
        let server = host.backends.borrow().get(&grant.engine).cloned();
        let regions = requirements.allowed_regions(host);
        let server = server
            .filter(|it| {
                it.state == BackendState::Ready && server_notices::takes_requests(host, it)
            })
            .filter(|it| allowed_zones(host, &regions).allows(&it.zone));
        let versions = host.versions.borrow();
        let oldest =
            requirements.model.as_ref().map_or(0, |model| versions.oldest_allowed(model, now));
        let is_too_old = grant.version.is_some_and(|it| it < oldest);
        let Some(server) = server.filter(|_| !is_too_old) else {
            host.admission.release(host, grant.number, ServiceOutcome::Unsent);
            if grant.is_own_charged {
                host.cold_servers.borrow_mut().give_back_own(&grant.engine);
            }
            return None;
        };
        host.request_counts.borrow_mut().begin(server.address);
        let begun = server_notices::note_begun(host, &server);
        Some(Reservation {
            host: host.clone(),
            backend: grant.engine,
            address: server.address,
            started_ms: server.started_ms,
            load: grant.load,
            version: grant.version,
            expected_version: grant.version.filter(|_| oldest > 0),
            model: requirements.model.clone(),
            number: Some(grant.number),
            is_own_charged: grant.is_own_charged,
            begun,
            outcome: Cell::new(ServiceOutcome::Unknown),
            is_sent: Cell::new(false),
            plain_call: None,
        })
    }

    fn at_plain_backend(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
    ) -> Result<Reservation, ReservationError> {
        let servers = host.backends.borrow();
        let health = host.health.borrow();
        let now = Instant::now();
        let seen = host.plain_servers.borrow();
        let mut counts = host.request_counts.borrow_mut();
        let is_usable = |it: &&BackendServer| {
            let n_own = counts.get(&it.address);
            !requirements.excluded.contains(&it.id)
                && server_notices::takes_requests(host, it)
                && health.is_usable(&it.id, n_own, now)
        };
        let regions = requirements.allowed_regions(host);
        let eligible = eligible_servers(host, &servers, &requirements.service, None, &regions);
        let mut usable: Vec<&BackendServer> = eligible.into_iter().filter(is_usable).collect();
        let mut cold_servers = host.cold_servers.borrow_mut();
        cold_servers.note_probations(&usable, &health, now);
        let is_any_usable = !usable.is_empty();
        cold_servers.retain_within_share(&mut usable, || host.entry_share(), now);
        if usable.is_empty() && is_any_usable {
            return Err(ReservationError::Full);
        }
        let candidate = |it: &&BackendServer| PlainCandidate {
            slots: it.slots,
            is_near: it.zone == host.settings.host.zone,
            n_requests: counts.get(&it.address),
            failure_rate: health.failure_rate(&it.id),
            expected_latency: seen.expected_latency(&it.id, &requirements.route, now),
        };
        let candidates: Vec<PlainCandidate> = usable.iter().map(candidate).collect();
        let idx =
            choose_plain_backend(&candidates, requirements.latency_objective, fastrand::f64())
                .ok_or(ReservationError::NoBackend)?;
        let server = usable[idx];
        let load = Load { n_requests: counts.get(&server.address), unread_tokens: 0 };
        counts.begin(server.address);
        let is_own_charged = cold_servers.record_own(&server.id, || host.entry_share(), now);
        let begun = server_notices::note_begun(host, server);
        Ok(Reservation {
            host: host.clone(),
            backend: server.id.clone(),
            address: server.address,
            started_ms: server.started_ms,
            load,
            version: None,
            expected_version: None,
            model: None,
            number: None,
            is_own_charged,
            begun,
            outcome: Cell::new(ServiceOutcome::Unknown),
            is_sent: Cell::new(false),
            plain_call: Some(PlainCall::new(&host.plain_servers, &server.id, &requirements.route)),
        })
    }

    /// Returns once the request must have started, as the version of its engine is too old from then
    /// on. This may result from a version that is published while the request waits.
    pub(crate) async fn wait_for_start_deadline(&self) {
        let (Some(model), Some(version)) = (&self.model, self.version) else {
            return std::future::pending().await;
        };
        loop {
            let published = self.host.version_published.listen();
            let deadline = self.host.versions.borrow().start_deadline(model, version);
            let Some(deadline) = deadline else {
                published.await;
                continue;
            };
            let left = deadline.saturating_duration_since(clock::now());
            if left.is_zero() {
                return;
            }
            // A timer stands still while the machine is suspended.
            runtime::sleep(left.min(MAX_DEADLINE_SLEEP)).or(published).await;
        }
    }

    /// Tells the owner of the engine, once the first event of the response has arrived, that the
    /// prompt has been read.
    pub(crate) fn record_first_event(&self) {
        if let Some(number) = self.number {
            self.host.admission.record_first_event(&self.host, number);
        }
    }

    /// Returns `true` if the backend server is an engine of a pool.
    pub(crate) fn is_at_engine(&self) -> bool {
        self.number.is_some()
    }

    /// Records whether the backend server may have got the request.
    pub(crate) fn record_sent(&self, is_sent: bool) {
        self.is_sent.set(is_sent);
        if let Some(call) = &self.plain_call {
            call.record_sent(is_sent);
        }
    }

    /// Records that the response of a plain service is complete.
    pub(crate) fn record_response(&self) {
        if let Some(call) = &self.plain_call {
            call.record_response();
        }
    }

    /// Takes a hedged request to the backend server of a plain service from the allowance of this host.
    pub(crate) fn try_hedge(&self, requirements: &BackendRequirements) -> bool {
        let left = requirements.objective_at.saturating_duration_since(Instant::now());
        self.plain_call.as_ref().is_some_and(|it| it.try_hedge(left))
    }

    /// Records how the backend server served the request, for the owner of the engine.
    pub(crate) fn record_outcome(&self, outcome: ServiceOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.host.request_counts.borrow_mut().end(self.address);
        let outcome = match (self.is_sent.get(), self.outcome.get()) {
            (true, outcome) => outcome,
            (false, ServiceOutcome::Failed) => ServiceOutcome::Unreachable,
            (false, _) => ServiceOutcome::Unsent,
        };
        if let Some(number) = self.number {
            self.host.admission.release(&self.host, number, outcome);
        }
        if !outcome.is_sent() {
            self.host.limited_servers.take_back(&self.backend, self.begun);
        }
        if self.is_own_charged && matches!(outcome, ServiceOutcome::Unsent) {
            self.host.cold_servers.borrow_mut().give_back_own(&self.backend);
        }
    }
}
