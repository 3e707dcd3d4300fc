//! Limits the rate of requests to servers that are cold or may be.
//!
//! Load pattern: a server that starts, or comes back, while many requests wait. It can handle few requests
//! a second at first and crashes if all its free slots are filled at once. Several hosts may send to it at
//! the same time, and updates of its state are late; so each host keeps to a share of what the server can
//! handle, and a server whose state is unknown counts as cold.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    ids::{BackendId, ServiceId, ZoneId},
    placement::{
        ramp, server_warmth::ServerWarmth, BackendHealth, ColdBounds, ColdState, EntryShare,
        GrantRates, RateLimit,
    },
    routing::{BackendServer, ColdStart, Service},
};

/// The servers of pools and services with a cold start, as far as this host knows.
#[derive(Clone, Debug)]
pub struct ColdServers {
    bounds: ColdBounds,
    /// The services whose servers start cold.
    services: BTreeMap<ServiceId, ColdService>,
    servers: BTreeMap<BackendId, ServerWarmth>,
    /// Time at which this host first knew all servers.
    first_listed: Option<Instant>,
    /// Requests that this host sent on its own decision.
    own_grants: GrantRates,
    n_held_back: u64,
    /// The servers that were limited when changes were last asked for.
    reported: BTreeSet<BackendId>,
}

#[derive(Clone, Debug)]
struct ColdService {
    cold_start: ColdStart,
    /// Whether requests to its servers are admitted by owners.
    is_pool: bool,
}

/// The servers whose state has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdChanges {
    /// Those that get a limited rate from now on, as they are cold or may be.
    pub limited: Vec<BackendId>,
    /// Those that are warm from now on.
    pub warm: Vec<BackendId>,
}

impl ColdServers {
    /// Creates a decider that knows no server.
    pub fn new(bounds: ColdBounds) -> ColdServers {
        ColdServers {
            bounds,
            services: BTreeMap::new(),
            servers: BTreeMap::new(),
            first_listed: None,
            own_grants: GrantRates::default(),
            n_held_back: 0,
            reported: BTreeSet::new(),
        }
    }

    /// Applies the services of a charter.
    pub fn update_services(&mut self, services: &BTreeMap<ServiceId, Service>) {
        let cold_service = |(id, service): (&ServiceId, &Service)| {
            let cold_start = service.cold_start?;
            Some((id.clone(), ColdService { cold_start, is_pool: service.engine.is_some() }))
        };
        self.services = services.iter().filter_map(cold_service).collect();
        if self.services.is_empty() {
            self.servers.clear();
            self.first_listed = None;
        }
    }

    /// Applies all known servers after an update; `renewed` are those whose entries changed in it.
    ///
    /// The state of servers in the first list is that of their entries. A server that appears later, or
    /// with another start time, may be cold, whatever its entry says.
    pub fn update_servers<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a BackendServer>,
        renewed: &BTreeSet<BackendId>,
        now: Instant,
    ) {
        if self.services.is_empty() {
            return;
        }
        let is_first = self.first_listed.is_none();
        let mut known = std::mem::take(&mut self.servers);
        for server in servers {
            let Some(service) = self.services.get(&server.service) else { continue };
            let earlier = known.remove(&server.id).filter(|it| it.started_ms == server.started_ms);
            let warmth = match earlier {
                Some(mut it) if renewed.contains(&server.id) => {
                    it.apply_renewed(server, &service.cold_start, now);
                    it
                }
                Some(mut it) => {
                    it.apply_listed(server, now);
                    it
                }
                None => {
                    let mut it = ServerWarmth::by_entry(server, now);
                    if !is_first {
                        it.note_unknown(now);
                    }
                    it
                }
            };
            self.servers.insert(server.id.clone(), warmth);
        }
        self.first_listed = self.first_listed.or(Some(now));
    }

    /// Records that this host became the owner of engines, whose state is unknown unless it listed all
    /// servers just now.
    pub fn note_owned(&mut self, engines: &[BackendId], now: Instant) {
        let Some(first_listed) = self.first_listed else { return };
        for engine in engines {
            let Some(warmth) = self.servers.get_mut(engine) else { continue };
            let Some(service) = self.services.get(&warmth.service) else { continue };
            if now >= first_listed + service.cold_start.duration {
                warmth.note_unknown(now);
            }
        }
    }

    /// Records that this process may have been suspended, so that it missed news.
    pub fn note_suspended(&mut self, now: Instant) {
        self.servers.values_mut().for_each(|it| it.note_unknown(now));
    }

    /// Records that requests go to an availability zone again, whose servers got none for a while.
    pub fn note_zone_returned(&mut self, zone: &ZoneId, now: Instant) {
        let of_zone = self.servers.values_mut().filter(|it| it.zone == *zone);
        of_zone.for_each(|it| it.note_unknown(now));
    }

    /// Records which of these servers are tried after they failed: they may have started again meanwhile.
    pub fn note_probations(
        &mut self,
        servers: &[&BackendServer],
        health: &BackendHealth,
        now: Instant,
    ) {
        if self.services.is_empty() {
            return;
        }
        for server in servers.iter().filter(|it| health.is_on_probation(&it.id)) {
            if let Some(warmth) = self.servers.get_mut(&server.id) {
                warmth.note_unknown(now);
            }
        }
    }

    /// Returns the state of a server.
    pub fn state(&self, server: &str, now: Instant) -> ColdState {
        self.find(server).map_or(ColdState::Warm, |it| it.0.state(&it.1.cold_start, now))
    }

    /// Returns the limit for the owner of an engine; `None` if its starts make no difference.
    pub fn owner_limit(&self, engine: &str, now: Instant) -> Option<RateLimit> {
        let (warmth, service) = self.find(engine)?;
        let limit = self.bounds.owner_limit(&service.cold_start);
        Some(match warmth.limited_until(&service.cold_start) {
            Some(until) => ramped(limit, now.saturating_duration_since(until)),
            None => RateLimit { is_binding: false, ..limit },
        })
    }

    /// Removes the engines that this host must not use without an owner: those that are cold, or may be,
    /// unless there is no other; then those beyond its share.
    pub fn retain_unowned(
        &mut self,
        engines: &mut Vec<&BackendServer>,
        share: impl FnOnce() -> EntryShare,
        now: Instant,
    ) {
        let is_warm = |it: &&BackendServer| self.state(&it.id, now) == ColdState::Warm;
        match engines.iter().any(is_warm) {
            true => engines.retain(is_warm),
            false => self.retain_within_share(engines, share, now),
        }
    }

    /// Removes the servers that are cold, or may be, and have got this host's share of what they can handle.
    pub fn retain_within_share(
        &mut self,
        servers: &mut Vec<&BackendServer>,
        share: impl FnOnce() -> EntryShare,
        now: Instant,
    ) {
        if servers.iter().all(|it| self.state(&it.id, now) == ColdState::Warm) {
            return;
        }
        let share = share();
        self.own_grants.begin_round(now);
        servers.retain(|it| self.is_own_due(&it.id, &share, now));
        self.n_held_back += u64::from(servers.is_empty());
    }

    /// Records a request that this host sends to a server without asking an owner; returns `true` if it
    /// is charged to this host's share, as the server is cold or may be.
    pub fn record_own(
        &mut self,
        server: &str,
        share: impl FnOnce() -> EntryShare,
        now: Instant,
    ) -> bool {
        if self.state(server, now) == ColdState::Warm {
            return false;
        }
        let Some(limit) = self.own_limit(server, &share()) else { return false };
        self.own_grants.record(server, &limit, now);
        true
    }

    /// Takes back a request that `record_own` charged and that was not sent.
    pub fn give_back_own(&mut self, server: &str) {
        self.own_grants.give_back(server);
    }

    /// Returns `true` if servers of any service start cold.
    pub fn is_active(&self) -> bool {
        !self.services.is_empty()
    }

    /// Returns the number of servers that are cold now, or may be.
    pub fn n_limited(&self, now: Instant) -> usize {
        self.limited(now).count()
    }

    /// Returns the number of requests that no server took, as all had got this host's share.
    pub fn n_held_back(&self) -> u64 {
        self.n_held_back
    }

    /// Returns what has changed since the last call.
    pub fn take_changes(&mut self, now: Instant) -> ColdChanges {
        let limited: BTreeSet<BackendId> = self.limited(now).cloned().collect();
        let reported = std::mem::replace(&mut self.reported, limited);
        let is_known = |it: &&BackendId| self.servers.contains_key(*it);
        ColdChanges {
            limited: self.reported.difference(&reported).cloned().collect(),
            warm: reported.difference(&self.reported).filter(is_known).cloned().collect(),
        }
    }

    fn limited(&self, now: Instant) -> impl Iterator<Item = &BackendId> {
        self.servers.keys().filter(move |it| self.state(it, now) != ColdState::Warm)
    }

    fn is_own_due(&mut self, server: &str, share: &EntryShare, now: Instant) -> bool {
        if self.state(server, now) == ColdState::Warm {
            return true;
        }
        let limit = self.own_limit(server, share);
        limit.is_some_and(|it| self.own_grants.is_due(server, &it, now))
    }

    /// Returns the limit for this host's own requests to a cold server; `None` if it must send none.
    fn own_limit(&self, server: &str, share: &EntryShare) -> Option<RateLimit> {
        let (_, service) = self.find(server)?;
        let all_per_s = match service.is_pool {
            true => self.bounds.n_unowned(&service.cold_start) as f64,
            false => self.bounds.plain_per_s(&service.cold_start),
        };
        let own_per_s = share.of_rate(all_per_s, server);
        (own_per_s > 0.0).then(|| RateLimit::per_second(own_per_s))
    }

    fn find(&self, server: &str) -> Option<(&ServerWarmth, &ColdService)> {
        let warmth = self.servers.get(server)?;
        Some((warmth, self.services.get(&warmth.service)?))
    }
}

/// Returns the limit of a server that has been warm for `warm_for`: its rate rises, then it has none.
fn ramped(limit: RateLimit, warm_for: Duration) -> RateLimit {
    match ramp::growth(warm_for) {
        Some(growth) => RateLimit { interval: limit.interval.div_f64(growth), ..limit },
        None => RateLimit { is_binding: false, ..limit },
    }
}
