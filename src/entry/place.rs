//! A place at a backend server, held for the time of one attempt.

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

/// What a request needs of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    /// Pool or service.
    pub(crate) service: ServiceId,
    /// Model, for a pool.
    pub(crate) model: Option<String>,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Whether the caller has the begin of the answer already.
    pub(crate) is_resumed: bool,
    /// Backend servers that were tried already.
    pub(crate) excluded: Vec<BackendId>,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No backend server could serve the request at all.
    NoBackend,
    /// All that could are full.
    Full,
}

/// A place; dropping it frees it.
pub(crate) struct Place {
    host: Rc<EntryHost>,
    /// The backend server.
    pub(crate) backend: BackendId,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Its load as it was known when it was chosen.
    pub(crate) load: Load,
    /// Version that the engine must have.
    pub(crate) expected_version: Option<WeightsVersion>,
    /// When the request must have begun, as its engine's weights are about to be outdated.
    pub(crate) begin_limit: Option<Instant>,
    unread_tokens: Cell<u32>,
}

impl Place {
    /// Finds a place now, or within `patience` when all are taken.
    pub(crate) async fn find(
        host: &Rc<EntryHost>,
        demand: &Demand,
        patience: Duration,
    ) -> Result<Place, NoPlace> {
        let until = Instant::now() + patience;
        loop {
            let listener = host.places_changed.listen();
            let reason = match Place::take(host, demand) {
                Ok(place) => return Ok(place),
                Err(reason) => reason,
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || reason == NoPlace::NoBackend {
                return Err(reason);
            }
            if runtime::timeout(left, listener).await.is_err() {
                return Place::take(host, demand);
            }
        }
    }

    fn take(host: &Rc<EntryHost>, demand: &Demand) -> Result<Place, NoPlace> {
        let charter = host.charter.borrow().clone().ok_or(NoPlace::NoBackend)?;
        let engine = charter.services.get(&demand.service).and_then(|it| it.engine.as_ref());
        let oldest = match (&demand.model, engine) {
            (Some(model), Some(_)) => host.versions.borrow().oldest_allowed(model, Instant::now()),
            _ => 0,
        };
        let backends = host.backends.borrow();
        let able: Vec<&BackendServer> = backends
            .ready_of(&demand.service)
            .filter(|it| !demand.excluded.contains(&it.id))
            .filter(|it| match (&demand.model, engine) {
                (Some(model), Some(figures)) => {
                    it.complete_version(model, figures.n_layers).is_some_and(|it| it >= oldest)
                }
                _ => true,
            })
            .collect();
        let candidates: Vec<Candidate> = able.iter().map(|it| candidate(host, it)).collect();
        let health = host.health.borrow();
        let usable: Vec<usize> = (0..able.len())
            .filter(|idx| {
                let n_own = host.loads.borrow().get(&able[*idx].address).n_requests;
                health.is_usable(&able[*idx].id, n_own, Instant::now())
            })
            .collect();
        if usable.is_empty() {
            return Err(NoPlace::NoBackend);
        }
        let candidates: Vec<Candidate> = usable.iter().map(|it| candidates[*it].clone()).collect();
        let choice = match engine {
            Some(_) => {
                choose_engine(&candidates, demand.prompt_tokens, demand.is_resumed, fastrand::f64())
            }
            None => choose_plain_backend(&candidates),
        };
        let choice = choice.ok_or(NoPlace::Full)?;
        let load = candidates[choice].load;
        let server = able[usable[choice]];
        let expected_version = match (&demand.model, engine) {
            (Some(model), Some(it)) if oldest > 0 => server.complete_version(model, it.n_layers),
            _ => None,
        };
        let begin_limit = match (&demand.model, engine) {
            (Some(model), Some(it)) => server
                .complete_version(model, it.n_layers)
                .and_then(|it| host.versions.borrow().start_deadline(model, it)),
            _ => None,
        };
        host.loads.borrow_mut().begin(server.address, demand.prompt_tokens);
        Ok(Place {
            host: host.clone(),
            backend: server.id.clone(),
            address: server.address,
            load,
            expected_version,
            begin_limit,
            unread_tokens: Cell::new(demand.prompt_tokens),
        })
    }

    /// Counts the prompt as read.
    pub(crate) fn first_event_came(&self) {
        let unread = self.unread_tokens.replace(0);
        if unread > 0 {
            self.host.loads.borrow_mut().remove_unread_tokens(self.address, unread);
            self.host.places_changed.notify(usize::MAX);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut loads = self.host.loads.borrow_mut();
        loads.remove_unread_tokens(self.address, self.unread_tokens.get());
        loads.end(self.address);
        drop(loads);
        self.host.places_changed.notify(usize::MAX);
    }
}

fn candidate(host: &EntryHost, server: &BackendServer) -> Candidate {
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
