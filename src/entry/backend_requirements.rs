//! What one request requires of backend servers, by the state that this host knows now.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        eligible_servers::{self, eligible_servers},
        entry_host::EntryHost,
        reservation_error::ReservationError,
        server_notices,
    },
    fleet::BackendTable,
    ids::{BackendId, RouteId, ServiceId},
    placement::{Demand, PartDigest, QuarantinedPart, RegionConstraint, RequestAttempt, WaitLeft},
    routing::{BackendServer, QueueTerms, RequestRegions},
};

/// Shortest wait of a request that has to begin in turn, longer than the pause after a failed start.
const MIN_TURN_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of parts of the prompt that an owner is told besides those that begin in turn, so that
/// its datagram holds them.
const MAX_DEMAND_PARTS: usize = 4096;

/// The requirements that a backend server must meet for a request.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequirements {
    /// Pool or service that the request is for.
    pub(crate) service: ServiceId,
    /// Route of the request.
    pub(crate) route: RouteId,
    /// Latency objective of the route.
    pub(crate) latency_objective: Duration,
    /// Model that the request names, for a pool.
    pub(crate) model: Option<String>,
    /// The caller's attempt until it was sent to a backend server.
    pub(crate) attempt: Option<RequestAttempt>,
    /// The number of tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// The number of output tokens that the caller expects, or else its maximum.
    pub(crate) output_tokens: u32,
    /// Rank; 0 is the most urgent.
    pub(crate) rank: u32,
    /// Time at which the latency objective of the request will have passed.
    pub(crate) objective_at: Instant,
    /// Time at which the deadline of the request will have passed.
    pub(crate) deadline_at: Instant,
    /// Terms on which it waits for an engine.
    pub(crate) terms: QueueTerms,
    /// Regions in which it may be served.
    pub(crate) regions: Rc<RequestRegions>,
    /// Parts of the prompt that other requests may share.
    pub(crate) prompt_parts: Vec<PartDigest>,
    /// Whether the caller already has the start of the response.
    pub(crate) is_resumed: bool,
    /// Backend servers that were tried already, or that broke the connection while they had an
    /// identical request.
    pub(crate) excluded: Vec<BackendId>,
}

impl BackendRequirements {
    /// Waits until a part of the prompt is in quarantine.
    pub(crate) async fn wait_for_quarantine(&self, host: &EntryHost) -> QuarantinedPart {
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

    /// Returns the regions that are allowed now.
    pub(crate) fn allowed_regions(&self, host: &EntryHost) -> RegionConstraint {
        self.regions.allowed(host.charter.borrow().as_deref())
    }

    /// Fails if no backend server may get the request now.
    pub(crate) fn check_allowed(&self, host: &EntryHost) -> Result<(), ReservationError> {
        let regions = self.allowed_regions(host);
        let refusal = eligible_servers::refusal(host, &self.service, &regions);
        refusal.map_or(Ok(()), |it| Err(ReservationError::NotAllowed(it)))
    }

    /// Waits until other regions than `regions` are allowed, or other zones are evacuated.
    pub(crate) async fn wait_until_allowed_differs(
        &self,
        host: &EntryHost,
        regions: &RegionConstraint,
    ) {
        let evacuated = host.evacuated.borrow().names();
        loop {
            host.allowed_changed.listen().await;
            if self.allowed_regions(host) != *regions
                || host.evacuated.borrow().names() != evacuated
            {
                return;
            }
        }
    }

    /// Returns the eligible backend servers that the request has not excluded.
    fn eligible<'a>(
        &'a self,
        host: &EntryHost,
        servers: &'a BackendTable,
    ) -> Vec<&'a BackendServer> {
        let regions = self.allowed_regions(host);
        let model = self.model.as_deref();
        let mut eligible = eligible_servers(host, servers, &self.service, model, &regions);
        eligible.retain(|it| !self.excluded.contains(&it.id));
        eligible
    }

    /// Returns the refusal of the request, with the time until the first backend server takes it, if all
    /// that it could use now asked for a pause or named limits.
    pub(crate) fn unavailable(&self, host: &EntryHost) -> Option<ReservationError> {
        if !host.server_notices.has_pauses() && !host.limited_servers.has_limits() {
            return None;
        }
        let servers = host.backends.borrow();
        let health = host.health.borrow();
        let mut usable = self.eligible(host, &servers);
        usable.retain(|it| health.is_usable(&it.id, 0, Instant::now()));
        let times: Option<Vec<Duration>> =
            usable.iter().map(|it| server_notices::time_left(host, it)).collect();
        let left = times?.into_iter().min()?;
        Some(match host.server_notices.time_until_first(&usable) {
            Some(_) => ReservationError::Paused(left),
            None => ReservationError::Limited(left),
        })
    }

    /// Returns the time until one more engine wants requests again, if any that the request could use
    /// now asked for a pause.
    pub(crate) fn time_until_pause_ends(&self, host: &EntryHost) -> Option<Duration> {
        if !host.server_notices.has_pauses() {
            return None;
        }
        let servers = host.backends.borrow();
        host.server_notices.time_until_next(&self.eligible(host, &servers))
    }

    /// Returns the demand for an engine; it excludes those that this host itself finds failing, and
    /// those that leave or want no requests of this host, which their owner may not know.
    pub(crate) fn demand(&self, host: &EntryHost, wait: WaitLeft) -> Demand {
        let mut excluded = self.excluded.clone();
        excluded.extend(host.health.borrow().ejected(Instant::now()).cloned());
        let servers = host.backends.borrow();
        let ready = servers.ready_of(&self.service);
        for server in ready.filter(|it| !server_notices::takes_requests(host, it)) {
            host.limited_servers.note_held_back(server);
            excluded.push(server.id.clone());
        }
        let in_turn_parts =
            host.crashing_parts.borrow().parts_to_start_in_turn(&self.prompt_parts, Instant::now());
        let now = Instant::now();
        let min_wait = if in_turn_parts.is_empty() { Duration::ZERO } else { MIN_TURN_WAIT };
        Demand {
            service: self.service.clone(),
            model: self.model.clone(),
            attempt: self.attempt,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            rank: self.rank,
            time_to_objective: self.objective_at.saturating_duration_since(now),
            time_to_deadline: self.deadline_at.saturating_duration_since(now),
            regions: self.allowed_regions(host),
            is_resumed: self.is_resumed,
            excluded,
            prompt_parts: self.prompt_parts.iter().take(MAX_DEMAND_PARTS).copied().collect(),
            in_turn_parts,
            class: self.terms.class,
            time_to_first_event: self.terms.time_to_first_event,
            wait: wait.usual.max(min_wait),
            max_wait: wait.longest,
        }
    }
}
