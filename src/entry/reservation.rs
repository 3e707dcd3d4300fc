//! Reserves capacity at one backend server for the duration of one attempt.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::entry_host::EntryHost,
    fleet::EntryState,
    ids::{BackendId, ServiceId, WeightsVersion},
    placement::{choose_engine, choose_plain_backend, Candidate, Load},
    routing::BackendServer,
    runtime,
};

/// The requirements that a backend server must meet for a request.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequirements {
    /// Pool or service that the request is for.
    pub(crate) service: ServiceId,
    /// Model that the request names, for a pool.
    pub(crate) model: Option<String>,
    /// The number of tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Whether the caller already has the start of the response.
    pub(crate) is_resumed: bool,
    /// Backend servers that were tried already, or that broke the connection while they had an
    /// identical request.
    pub(crate) excluded: Vec<BackendId>,
}

/// The reason why no capacity could be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationError {
    /// No usable backend server meets the requirements.
    NoBackend,
    /// All backend servers that meet the requirements are full.
    Full,
}

/// Capacity for one request at one backend server; dropping it releases the capacity.
pub(crate) struct Reservation {
    host: Rc<EntryHost>,
    /// The backend server at which capacity is reserved.
    pub(crate) backend: BackendId,
    /// Address of the backend server.
    pub(crate) address: SocketAddr,
    /// Last known load of the backend server when it was chosen.
    pub(crate) load: Load,
    /// Version of the weights that the engine must serve; `None` if any version will do.
    pub(crate) expected_version: Option<WeightsVersion>,
    /// Instant by which the request must have started, after which the engine's version is too old;
    /// `None` while there is no newer version.
    pub(crate) start_deadline: Option<Instant>,
    unread_tokens: Cell<u32>,
}

impl Reservation {
    /// Reserves capacity, waiting up to `queue_timeout` while all backend servers are full.
    pub(crate) async fn wait(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
        queue_timeout: Duration,
    ) -> Result<Reservation, ReservationError> {
        let deadline = Instant::now() + queue_timeout;
        loop {
            let listener = host.capacity_changed.listen();
            let reason = match Reservation::try_reserve(host, requirements) {
                Ok(reservation) => return Ok(reservation),
                Err(reason) => reason,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || reason == ReservationError::NoBackend {
                return Err(reason);
            }
            if runtime::timeout(left, listener).await.is_err() {
                return Reservation::try_reserve(host, requirements);
            }
        }
    }

    fn try_reserve(
        host: &Rc<EntryHost>,
        requirements: &BackendRequirements,
    ) -> Result<Reservation, ReservationError> {
        let charter = host.charter.borrow().clone().ok_or(ReservationError::NoBackend)?;
        let engine = charter.services.get(&requirements.service).and_then(|it| it.engine.as_ref());
        let oldest = match (&requirements.model, engine) {
            (Some(model), Some(_)) => host.versions.borrow().oldest_allowed(model, Instant::now()),
            _ => 0,
        };
        let backends = host.backends.borrow();
        let eligible: Vec<&BackendServer> = backends
            .ready_of(&requirements.service)
            .filter(|it| !requirements.excluded.contains(&it.id))
            .filter(|it| match (&requirements.model, engine) {
                (Some(model), Some(spec)) => {
                    it.complete_version(model, spec.n_layers).is_some_and(|it| it >= oldest)
                }
                _ => true,
            })
            .collect();
        let candidates: Vec<Candidate> =
            eligible.iter().map(|it| candidate_for(host, it)).collect();
        let health = host.health.borrow();
        let usable: Vec<usize> = (0..eligible.len())
            .filter(|idx| {
                let n_own = host.loads.borrow().get(&eligible[*idx].address).n_requests;
                health.is_usable(&eligible[*idx].id, n_own, Instant::now())
            })
            .collect();
        if usable.is_empty() {
            return Err(ReservationError::NoBackend);
        }
        let candidates: Vec<Candidate> = usable.iter().map(|it| candidates[*it].clone()).collect();
        let choice = match engine {
            Some(_) => choose_engine(
                &candidates,
                requirements.prompt_tokens,
                requirements.is_resumed,
                fastrand::f64(),
            ),
            None => choose_plain_backend(&candidates),
        };
        let choice = choice.ok_or(ReservationError::Full)?;
        let load = candidates[choice].load;
        let server = eligible[usable[choice]];
        let expected_version = match (&requirements.model, engine) {
            (Some(model), Some(spec)) if oldest > 0 => {
                server.complete_version(model, spec.n_layers)
            }
            _ => None,
        };
        let start_deadline = match (&requirements.model, engine) {
            (Some(model), Some(spec)) => server
                .complete_version(model, spec.n_layers)
                .and_then(|it| host.versions.borrow().start_deadline(model, it)),
            _ => None,
        };
        host.loads.borrow_mut().begin(server.address, requirements.prompt_tokens);
        Ok(Reservation {
            host: host.clone(),
            backend: server.id.clone(),
            address: server.address,
            load,
            expected_version,
            start_deadline,
            unread_tokens: Cell::new(requirements.prompt_tokens),
        })
    }

    /// Subtracts the prompt from the unread tokens, once the first event of the response has
    /// arrived.
    pub(crate) fn record_first_event(&self) {
        let unread = self.unread_tokens.replace(0);
        if unread > 0 {
            self.host.loads.borrow_mut().remove_unread_tokens(self.address, unread);
            self.host.capacity_changed.notify(usize::MAX);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut loads = self.host.loads.borrow_mut();
        loads.remove_unread_tokens(self.address, self.unread_tokens.get());
        loads.end(self.address);
        drop(loads);
        self.host.capacity_changed.notify(usize::MAX);
    }
}

/// Returns a backend server as a candidate for a request. Its load is the sum of this host's
/// requests and of those that the other entry hosts report in their beacons.
fn candidate_for(host: &EntryHost, server: &BackendServer) -> Candidate {
    let mut load = host.loads.borrow().get(&server.address);
    let peers = host.peers.borrow();
    for beacon in peers.live_beacons(Instant::now()).filter(|it| it.state != EntryState::Starting) {
        for it in beacon.loads.iter().filter(|it| it.engine == server.address) {
            load = load
                + Load { n_requests: u32::from(it.n_requests), unread_tokens: it.unread_tokens };
        }
    }
    Candidate {
        slots: server.slots,
        is_own: host.owns_engine(&server.id),
        is_near: server.zone == host.settings.host.zone,
        load,
        failure_rate: host.health.borrow().failure_rate(&server.id),
    }
}
