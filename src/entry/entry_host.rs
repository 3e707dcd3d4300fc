//! What all tasks of an entry host share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use event_listener::Event;

use crate::{
    digest::Digest,
    fleet::{
        entry_registry, BackendTable, Beacon, EngineLoad, EngineNotice, EntryState, KindCache,
        LossCount, PeerTable, StoreSource, StoreSources, VersionTable,
    },
    ids::{BackendId, HostId, ServiceId, ZoneId},
    placement::{
        assign_engines, AttemptBudget, BackendHealth, CrashSuspects, Fingerprint, LoadTable,
        UnassignedEngine,
    },
    platform::{store::Store, wire_config, wire_server},
    relay::BackendConnections,
    routing::RoutingCharter,
    settings::{DeployedSettings, EntryListenSettings},
    weights::rank::digest_hash,
};

/// Time before the end of the grace period at which a leaving process ends.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Entry hosts of one availability zone that follow the store themselves; the others follow them.
const MAX_FOLLOWERS_PER_ZONE: usize = 3;
/// Kinds that a host follows before others follow it.
const FOLLOWED_KINDS: [&str; 4] =
    [wire_config::KIND, wire_server::SERVER_KIND, wire_server::VERSION_KIND, entry_registry::KIND];

/// Beliefs, loads and connections of one entry host.
pub(crate) struct EntryHost {
    pub(crate) settings: DeployedSettings,
    pub(crate) listen: EntryListenSettings,
    pub(crate) charter: RefCell<Option<Rc<RoutingCharter>>>,
    pub(crate) backends: RefCell<BackendTable>,
    pub(crate) has_backends: Cell<bool>,
    pub(crate) versions: RefCell<VersionTable>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) health: RefCell<BackendHealth>,
    pub(crate) crash_suspects: RefCell<CrashSuspects>,
    pub(crate) connections: BackendConnections,
    /// Where beacons are sent.
    pub(crate) beacon_targets: RefCell<BTreeSet<SocketAddr>>,
    /// How this host follows the store.
    pub(crate) sources: StoreSources,
    /// What the store told this host, for those who follow it.
    pub(crate) cache: Rc<KindCache>,
    /// Told when a place may have become free.
    pub(crate) places_changed: Event,
    /// Exchanges between a whole request and the end of its answer.
    pub(crate) n_exchanges: Cell<usize>,
    /// Open connections of callers.
    pub(crate) n_connections: Cell<usize>,
    /// Other entry hosts as homes and sources were worked out for.
    known_peers: RefCell<Vec<(HostId, EntryState, bool)>>,
    homes: RefCell<BTreeMap<BackendId, HostId>>,
    budgets: RefCell<HashMap<ServiceId, AttemptBudget>>,
    leaving_since: Cell<Option<Instant>>,
    started_ms: u64,
    beacon_number: Cell<u64>,
}

impl EntryHost {
    /// Makes the state of a process that knows nothing yet.
    pub(crate) fn new(settings: DeployedSettings, listen: EntryListenSettings) -> Rc<EntryHost> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let bound = settings.bounds.version;
        let sources = StoreSources::new(Store::new(settings.store));
        Rc::new(EntryHost {
            settings,
            listen,
            charter: RefCell::default(),
            backends: RefCell::default(),
            has_backends: Cell::new(false),
            versions: RefCell::new(VersionTable::new(bound)),
            peers: RefCell::default(),
            loads: RefCell::new(LoadTable::default()),
            health: RefCell::default(),
            crash_suspects: RefCell::default(),
            connections: BackendConnections::default(),
            beacon_targets: RefCell::default(),
            sources,
            known_peers: RefCell::default(),
            cache: Rc::default(),
            places_changed: Event::new(),
            n_exchanges: Cell::new(0),
            n_connections: Cell::new(0),
            homes: RefCell::default(),
            budgets: RefCell::default(),
            leaving_since: Cell::new(None),
            started_ms: since_epoch.as_millis() as u64,
            beacon_number: Cell::new(0),
        })
    }

    /// State that callers and peers are told.
    pub(crate) fn state(&self) -> EntryState {
        match self.leaving_since.get() {
            Some(_) => EntryState::Leaving,
            None if self.charter.borrow().is_some() && self.has_backends.get() => EntryState::Ready,
            None => EntryState::Starting,
        }
    }

    /// Begins to leave.
    pub(crate) fn leave(&self) {
        self.leaving_since.set(Some(Instant::now()));
    }

    /// Since when the process is leaving.
    pub(crate) fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since.get()
    }

    /// Time until a leaving process ends; absent while it serves.
    pub(crate) fn time_to_end(&self) -> Option<Duration> {
        let grace = self.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
        self.leaving_since.get().map(|it| grace.saturating_sub(it.elapsed()))
    }

    /// The next beacon.
    pub(crate) fn beacon(&self) -> Beacon {
        self.beacon_number.set(self.beacon_number.get() + 1);
        let loads = self.loads.borrow();
        let loads = loads.iter().map(|(engine, load)| EngineLoad {
            engine: *engine,
            n_requests: load.n_requests.min(u32::from(u16::MAX)) as u16,
            unread_tokens: load.unread_tokens,
        });
        let suspects = self.crash_suspects.borrow();
        let losses = suspects.crash_counts();
        let losses = losses.map(|it| LossCount { fingerprint: it.0, n_backends: it.1 });
        Beacon {
            host: self.settings.host.id.clone(),
            started_ms: self.started_ms,
            number: self.beacon_number.get(),
            state: self.state(),
            callers: self.listen.callers,
            peers: self.settings.peers,
            follows_store: self.follows_store(),
            region: self.settings.host.region.clone(),
            zone: self.settings.host.zone.clone(),
            loads: loads.collect(),
            losses: losses.collect(),
        }
    }

    /// Whether this host is the home of an engine.
    pub(crate) fn owns_engine(&self, backend: &BackendId) -> bool {
        self.homes.borrow().get(backend) == Some(&self.settings.host.id)
    }

    /// Works out the homes anew, after a change of entry hosts or engines.
    pub(crate) fn update_engine_owners(&self) {
        let own = (self.settings.host.id.clone(), self.settings.host.zone.clone());
        let mut entry_hosts: BTreeMap<HostId, ZoneId> = BTreeMap::from([own]);
        for peer in self.peers.borrow().live_beacons(Instant::now()) {
            if peer.state == EntryState::Ready {
                entry_hosts.insert(peer.host.clone(), peer.zone.clone());
            }
        }
        let backends = self.backends.borrow();
        let engines = backends.iter().filter(|it| !it.weights.is_empty());
        let engines = engines.map(|it| UnassignedEngine {
            started_ms: it.started_ms,
            id: it.id.clone(),
            zone: it.zone.clone(),
        });
        *self.homes.borrow_mut() = assign_engines(engines.collect(), &entry_hosts);
        self.places_changed.notify(usize::MAX);
    }

    /// Whether this host follows the store itself, without a gap.
    fn follows_store(&self) -> bool {
        let is_direct = self.sources.choose(Instant::now()) == StoreSource::Store;
        is_direct && self.cache.is_current(&FOLLOWED_KINDS)
    }

    /// Takes note of entry hosts that came, changed or fell silent.
    pub(crate) fn refresh_peers(&self) {
        let known: Vec<(HostId, EntryState, bool)> = {
            let peers = self.peers.borrow();
            let alive = peers.live_beacons(Instant::now());
            alive.map(|it| (it.host.clone(), it.state, it.follows_store)).collect()
        };
        if *self.known_peers.borrow() != known {
            *self.known_peers.borrow_mut() = known;
            self.update_engine_owners();
            self.update_sources();
        }
    }

    /// Works out anew through whom this host follows the store.
    fn update_sources(&self) {
        let host = &self.settings.host;
        let peers = self.peers.borrow();
        let now = Instant::now();
        let is_before = |it: &&Beacon| {
            it.state == EntryState::Ready && it.zone == host.zone && it.host < host.id
        };
        let n_before = peers.live_beacons(now).filter(is_before).count();
        let mut relays: Vec<&Beacon> =
            peers.live_beacons(now).filter(|it| it.follows_store).collect();
        relays.sort_by_key(|it| (it.zone != host.zone, relay_order(&host.id, &it.host)));
        let relays = relays.into_iter().map(|it| it.peers).collect();
        self.sources.update(n_before < MAX_FOLLOWERS_PER_ZONE, relays);
    }

    /// Whether an engine has stopped serving to load other weights.
    pub(crate) fn is_switching(&self, backend: &BackendId) -> bool {
        let backends = self.backends.borrow();
        backends.get(backend).is_some_and(|it| it.is_switching)
    }

    /// Takes what a slot process tells of its engine.
    pub(crate) fn take_notice(&self, notice: &EngineNotice) {
        if self.backends.borrow_mut().apply_notice(notice) {
            log::info!("fleet: engine={} serves={:?}", notice.engine, notice.serves);
            self.places_changed.notify(usize::MAX);
        }
    }

    /// Whether a request has been lost at too many backend servers, here and at other hosts.
    pub(crate) fn is_crash_suspect(&self, fingerprint: Fingerprint) -> bool {
        let peers = self.peers.borrow();
        let losses = peers.live_beacons(Instant::now()).flat_map(|it| &it.losses);
        let elsewhere = losses.filter(|it| it.fingerprint == fingerprint).map(|it| it.n_backends);
        self.crash_suspects.borrow().is_refused(fingerprint, elsewhere.sum())
    }

    /// Counts a request for a pool or service.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, |it| it.count_request(Instant::now()));
    }

    /// Takes one attempt beyond the first from the budget of a pool or service.
    pub(crate) fn take_repeat(&self, service: &ServiceId) -> bool {
        let n_hosts = 1 + self.peers.borrow().live_beacons(Instant::now()).count();
        self.with_budget(service, |it| it.try_take_retry(n_hosts, Instant::now()))
    }

    fn with_budget<T>(&self, service: &ServiceId, act: impl FnOnce(&mut AttemptBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            AttemptBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
        });
        act(budget)
    }
}

/// Spreads the hosts that follow others over these.
fn relay_order(follower: &HostId, relay: &HostId) -> u64 {
    let digest = Digest::of(format!("{follower} {relay}").as_bytes());
    digest_hash(&digest)
}
