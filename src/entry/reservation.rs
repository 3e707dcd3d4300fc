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
        eligible_servers::{eligible_servers, n_layers},
        entry_host::EntryHost,
        reservation_error::ReservationError,
    },
    fleet::ServiceOutcome,
    ids::{BackendId, ServiceId, WeightsVersion},
    placement::{
        choose_plain_backend, Demand, Load, PartDigest, PlainCandidate, QuarantinedPart,
        RegionConstraint, RequestAttempt, ReservationNumber,
    },
    routing::{BackendServer, BackendState, QueueTerms},
    runtime,
};

/// Longest sleep until the time of a start deadline is read again.
const MAX_DEADLINE_SLEEP: Duration = Duration::from_millis(250);
/// Shortest wait of a request that has to begin in turn, longer than the pause after a failed start.
const MIN_TURN_WAIT: Duration = Duration::from_millis(300);
/// Number of grants for one request whose engine this host must not use, up to which it asks for
/// another one though it has waited as long as it may.
const MAX_UNUSABLE_GRANTS: usize = 3;
/// Maximum number of parts of the prompt that an owner is told besides those that begin in turn, so that
/// its datagram holds them.
const MAX_DEMAND_PARTS: usize = 4096;

/// The requirements that a backend server must meet for a request.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequirements {
    /// Pool or service that the request is for.
    pub(crate) service: ServiceId,
    /// Model that the request names, for a pool.
    pub(crate) model: Option<String>,
    /// The caller's attempt until it was sent to a backend server.
    pub(crate) attempt: Option<RequestAttempt>,
    /// The number of tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// The number of output tokens that the caller expects, or else its maximum.
    pub(crate) output_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Time at which the latency objective of the request will have passed.
    pub(crate) objective_at: Instant,
    /// Time at which the deadline of the request will have passed.
    pub(crate) deadline_at: Instant,
    /// Terms on which it waits for an engine.
    pub(crate) terms: QueueTerms,
    /// Regions in which it may be served.
    pub(crate) regions: RegionConstraint,
    /// Parts of the prompt that other requests may share.
    pub(crate) prompt_parts: Vec<PartDigest>,
    /// Whether the caller already has the start of the response.
    pub(crate) is_resumed: bool,
    /// Backend servers that were tried already, or that broke the connection while they had an
    /// identical request.
    pub(crate) excluded: Vec<BackendId>,
}

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
    outcome: Cell<ServiceOutcome>,
    /// Whether the backend server may have got the request.
    is_sent: Cell<bool>,
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
        if let Some(left) = requirements.time_until_first(host) {
            return Err(ReservationError::Paused(left));
        }
        if n_layers(host, &requirements.service).is_none() {
            return Reservation::at_plain_backend(host, requirements);
        }
        let res = Reservation::wait_for_engine(host, requirements, queue_timeout).await;
        // Engines may have asked for a pause while the request waited.
        let paused = || requirements.time_until_first(host).map(ReservationError::Paused);
        res.map_err(|err| paused().unwrap_or(err))
    }

    async fn wait_for_engine(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
        queue_timeout: Duration,
    ) -> Result<Reservation, ReservationError> {
        let asked_first = Instant::now();
        let give_up = asked_first + queue_timeout;
        let mut unusable: Vec<BackendId> = Vec::new();
        loop {
            let left = give_up.saturating_duration_since(Instant::now());
            let until_pause_ends = requirements.time_until_pause_ends(host);
            let wait = until_pause_ends.map_or(left, |it| it.min(left));
            // Made anew each time: engines begin pauses, several at once, and end them.
            let mut demand = requirements.demand(host, wait);
            demand.excluded.extend(unusable.iter().cloned());
            let max_left = requirements.terms.max_wait.saturating_sub(asked_first.elapsed());
            demand.max_wait = until_pause_ends.map_or(max_left, |it| it.min(max_left));
            let asked = Instant::now();
            let grant = match admission_client::reserve(host, &demand).await {
                // A refusal before the end of the wait says that asking again is no use.
                Err(ReservationError::Full) if wait < left && asked.elapsed() >= wait => continue,
                res => res?,
            };
            let engine = grant.engine.clone();
            if let Some(reservation) = Reservation::at_engine(host, &demand, grant) {
                return Ok(reservation);
            }
            unusable.push(engine);
            if unusable.len() >= MAX_UNUSABLE_GRANTS && Instant::now() >= give_up {
                return Err(ReservationError::Full);
            }
        }
    }

    /// Uses a grant, or releases it if this host knows that the engine must not get the request: it
    /// is leaving or pausing, or its weights are too old.
    fn at_engine(host: &Rc<EntryHost>, demand: &Demand, grant: Grant) -> Option<Reservation> {
        let now = clock::now();
        let server = host.backends.borrow().get(&grant.engine).cloned();
        let server = server
            .filter(|it| it.state == BackendState::Ready && host.server_notices.takes_requests(it));
        let versions = host.versions.borrow();
        let oldest = demand.model.as_ref().map_or(0, |model| versions.oldest_allowed(model, now));
        let is_too_old = grant.version.is_some_and(|it| it < oldest);
        let Some(server) = server.filter(|_| !is_too_old) else {
            host.admission.release(host, grant.number, ServiceOutcome::Unsent);
            return None;
        };
        host.request_counts.borrow_mut().begin(server.address);
        host.server_notices.note_begun(&server);
        Some(Reservation {
            host: host.clone(),
            backend: grant.engine,
            address: server.address,
            started_ms: server.started_ms,
            load: grant.load,
            version: grant.version,
            expected_version: grant.version.filter(|_| oldest > 0),
            model: demand.model.clone(),
            number: Some(grant.number),
            outcome: Cell::new(ServiceOutcome::Unknown),
            is_sent: Cell::new(false),
        })
    }

    fn at_plain_backend(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
    ) -> Result<Reservation, ReservationError> {
        let servers = host.backends.borrow();
        let health = host.health.borrow();
        let mut counts = host.request_counts.borrow_mut();
        let is_usable = |it: &&BackendServer| {
            let n_own = counts.get(&it.address);
            !requirements.excluded.contains(&it.id)
                && !host.server_notices.is_paused(it)
                && health.is_usable(&it.id, n_own, Instant::now())
        };
        let eligible = eligible_servers(host, &servers, &requirements.service, None);
        let usable: Vec<&BackendServer> = eligible.into_iter().filter(is_usable).collect();
        let candidate = |it: &&BackendServer| PlainCandidate {
            slots: it.slots,
            is_near: it.zone == host.settings.host.zone,
            n_requests: counts.get(&it.address),
            failure_rate: health.failure_rate(&it.id),
        };
        let candidates: Vec<PlainCandidate> = usable.iter().map(candidate).collect();
        let idx = choose_plain_backend(&candidates, fastrand::f64())
            .ok_or(ReservationError::NoBackend)?;
        let server = usable[idx];
        let load = Load { n_requests: counts.get(&server.address), unread_tokens: 0 };
        counts.begin(server.address);
        host.server_notices.note_begun(server);
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
            outcome: Cell::new(ServiceOutcome::Unknown),
            is_sent: Cell::new(false),
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
    }
}

impl BackendRequirements {
    /// Waits until a part of the prompt is in quarantine.
    async fn wait_for_quarantine(&self, host: &EntryHost) -> QuarantinedPart {
        loop {
            let quarantined = host.part_quarantined.listen();
            match self.quarantined_part(host) {
                Some(part) => return part,
                None => quarantined.await,
            }
        }
    }

    fn quarantined_part(&self, host: &EntryHost) -> Option<QuarantinedPart> {
        let crashing_parts = host.crashing_parts.borrow();
        crashing_parts.find_quarantined(&self.prompt_parts, Instant::now())
    }

    /// Returns the time until the first backend server takes the request, if all that it could use
    /// now asked for a pause.
    fn time_until_first(&self, host: &EntryHost) -> Option<Duration> {
        if !host.server_notices.has_pauses() {
            return None;
        }
        let servers = host.backends.borrow();
        let health = host.health.borrow();
        let mut usable = eligible_servers(host, &servers, &self.service, self.model.as_deref());
        usable.retain(|it| {
            !self.excluded.contains(&it.id) && health.is_usable(&it.id, 0, Instant::now())
        });
        host.server_notices.time_until_first(&usable)
    }

    /// Returns the time until one more engine wants requests again, if any that the request could use
    /// now asked for a pause.
    fn time_until_pause_ends(&self, host: &EntryHost) -> Option<Duration> {
        if !host.server_notices.has_pauses() {
            return None;
        }
        let servers = host.backends.borrow();
        let mut usable = eligible_servers(host, &servers, &self.service, self.model.as_deref());
        usable.retain(|it| !self.excluded.contains(&it.id));
        host.server_notices.time_until_next(&usable)
    }

    /// Returns the demand for an engine; it excludes those that this host itself finds failing, and
    /// those that leave or want no requests of this host, which their owner may not know.
    fn demand(&self, host: &EntryHost, wait: Duration) -> Demand {
        let mut excluded = self.excluded.clone();
        excluded.extend(host.health.borrow().ejected(Instant::now()).cloned());
        let servers = host.backends.borrow();
        let ready = servers.ready_of(&self.service);
        let unavailable = ready.filter(|it| !host.server_notices.takes_requests(it));
        excluded.extend(unavailable.map(|it| it.id.clone()));
        let in_turn_parts =
            host.crashing_parts.borrow().parts_to_start_in_turn(&self.prompt_parts, Instant::now());
        let now = Instant::now();
        let wait = if in_turn_parts.is_empty() { wait } else { wait.max(MIN_TURN_WAIT) };
        Demand {
            service: self.service.clone(),
            model: self.model.clone(),
            attempt: self.attempt,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            priority: self.priority,
            time_to_objective: self.objective_at.saturating_duration_since(now),
            time_to_deadline: self.deadline_at.saturating_duration_since(now),
            regions: self.regions.clone(),
            is_resumed: self.is_resumed,
            excluded,
            prompt_parts: self.prompt_parts.iter().take(MAX_DEMAND_PARTS).copied().collect(),
            in_turn_parts,
            class: self.terms.class,
            time_to_first_event: self.terms.time_to_first_event,
            wait,
            max_wait: Duration::ZERO,
        }
    }
}
