//! The state that all tasks of an entry host share.

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
        assign_engines, BackendHealth, CrashSuspects, Fingerprint, LoadTable, UnassignedEngine,
        WindowedRetryBudget,
    },
    platform::{store::Store, wire_config, wire_server},
    relay::BackendConnections,
    routing::RoutingCharter,
    settings::{DeployedSettings, EntryListenSettings},
    weights::rank::digest_hash,
};

/// Time before the end of the grace period at which a leaving process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of entry hosts per availability zone that watch the store directly; the others
/// watch it through these.
const MAX_DIRECT_WATCHERS_PER_ZONE: usize = 3;
/// The kinds that a host must watch without a gap before other processes watch the store through
/// it.
const WATCHED_KINDS: [&str; 4] = [
    wire_config::CONFIG_KIND,
    wire_server::SERVER_KIND,
    wire_server::VERSION_KIND,
    entry_registry::KIND,
];

/// The state of one entry host: its view of the deployment, the loads and its connections.
///
/// Requests are routed with this state alone, so they are served even while the store is
/// unavailable.
pub(crate) struct EntryHost {
    pub(crate) settings: DeployedSettings,
    pub(crate) listen: EntryListenSettings,
    /// The charter in force; absent until the first one is read.
    pub(crate) charter: RefCell<Option<Rc<RoutingCharter>>>,
    pub(crate) backends: RefCell<BackendTable>,
    /// Whether the backend servers have been listed at least once.
    pub(crate) has_backends: Cell<bool>,
    pub(crate) versions: RefCell<VersionTable>,
    pub(crate) peers: RefCell<PeerTable>,
    /// Load that this host itself puts on each backend server.
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) health: RefCell<BackendHealth>,
    pub(crate) crash_suspects: RefCell<CrashSuspects>,
    pub(crate) connections: BackendConnections,
    /// Addresses that beacons are sent to.
    pub(crate) beacon_targets: RefCell<BTreeSet<SocketAddr>>,
    /// The store and the entry hosts through which this host can watch it.
    pub(crate) sources: StoreSources,
    /// Objects of the store, for the processes that watch it through this host.
    pub(crate) cache: Rc<KindCache>,
    /// Notified when a backend server may have free capacity again.
    pub(crate) capacity_changed: Event,
    /// The number of completely received requests whose response has not ended.
    pub(crate) n_exchanges: Cell<usize>,
    /// The number of open connections of callers.
    pub(crate) n_connections: Cell<usize>,
    /// The other entry hosts for which engine owners and store sources were last computed.
    known_peers: RefCell<Vec<(HostId, EntryState, bool)>>,
    /// The entry host that owns each engine and prefers it for its requests.
    engine_owners: RefCell<BTreeMap<BackendId, HostId>>,
    /// Retry budgets by pool or service.
    budgets: RefCell<HashMap<ServiceId, WindowedRetryBudget>>,
    leaving_since: Cell<Option<Instant>>,
    started_ms: u64,
    beacon_number: Cell<u64>,
}

impl EntryHost {
    /// Creates the state of a process that has read nothing from the store yet.
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
            capacity_changed: Event::new(),
            n_exchanges: Cell::new(0),
            n_connections: Cell::new(0),
            engine_owners: RefCell::default(),
            budgets: RefCell::default(),
            leaving_since: Cell::new(None),
            started_ms: since_epoch.as_millis() as u64,
            beacon_number: Cell::new(0),
        })
    }

    /// Returns the state that is reported to callers and peers.
    pub(crate) fn state(&self) -> EntryState {
        match self.leaving_since.get() {
            Some(_) => EntryState::Leaving,
            None if self.charter.borrow().is_some() && self.has_backends.get() => EntryState::Ready,
            None => EntryState::Starting,
        }
    }

    /// Marks the host as leaving.
    pub(crate) fn leave(&self) {
        self.leaving_since.set(Some(Instant::now()));
    }

    /// Returns when the process began to leave, or `None` while it serves.
    pub(crate) fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since.get()
    }

    /// Returns the time until a leaving process exits, or `None` while it serves.
    pub(crate) fn time_until_exit(&self) -> Option<Duration> {
        let grace = self.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
        self.leaving_since.get().map(|it| grace.saturating_sub(it.elapsed()))
    }

    /// Returns the next beacon, with a new number.
    pub(crate) fn next_beacon(&self) -> Beacon {
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

    /// Returns `true` if this host owns an engine.
    pub(crate) fn owns_engine(&self, backend: &BackendId) -> bool {
        self.engine_owners.borrow().get(backend) == Some(&self.settings.host.id)
    }

    /// Recomputes the owner of each engine, after a change of engines or entry hosts.
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
        *self.engine_owners.borrow_mut() = assign_engines(engines.collect(), &entry_hosts);
        self.capacity_changed.notify(usize::MAX);
    }

    /// Returns `true` if this host watches the store directly and without a gap.
    fn follows_store(&self) -> bool {
        let watches_store = self.sources.choose(Instant::now()) == StoreSource::Store;
        watches_store && self.cache.is_current(&WATCHED_KINDS)
    }

    /// Updates engine owners and store sources if another entry host appeared, changed its state or
    /// timed out.
    pub(crate) fn refresh_peers(&self) {
        let known: Vec<(HostId, EntryState, bool)> = {
            let peers = self.peers.borrow();
            let live = peers.live_beacons(Instant::now());
            live.map(|it| (it.host.clone(), it.state, it.follows_store)).collect()
        };
        if *self.known_peers.borrow() != known {
            *self.known_peers.borrow_mut() = known;
            self.update_engine_owners();
            self.update_sources();
        }
    }

    /// Updates the store sources: whether this host prefers to watch the store directly, and the
    /// entry hosts through which it can watch it instead.
    fn update_sources(&self) {
        let host = &self.settings.host;
        let peers = self.peers.borrow();
        let now = Instant::now();
        let has_lower_id = |it: &&Beacon| {
            it.state == EntryState::Ready && it.zone == host.zone && it.host < host.id
        };
        let n_lower_ids = peers.live_beacons(now).filter(has_lower_id).count();
        let mut relays: Vec<&Beacon> =
            peers.live_beacons(now).filter(|it| it.follows_store).collect();
        relays.sort_by_key(|it| (it.zone != host.zone, relay_order(&host.id, &it.host)));
        let relays = relays.into_iter().map(|it| it.peers).collect();
        self.sources.update(n_lower_ids < MAX_DIRECT_WATCHERS_PER_ZONE, relays);
    }

    /// Returns `true` if an engine has stopped serving to load other weights.
    pub(crate) fn is_switching(&self, backend: &BackendId) -> bool {
        let backends = self.backends.borrow();
        backends.get(backend).is_some_and(|it| it.is_switching)
    }

    /// Applies the notice of a slot process about its engine.
    pub(crate) fn apply_notice(&self, notice: &EngineNotice) {
        if self.backends.borrow_mut().apply_notice(notice) {
            log::info!("fleet: engine={} serves={:?}", notice.engine, notice.serves);
            self.capacity_changed.notify(usize::MAX);
        }
    }

    /// Returns `true` if too many backend servers broke the connection during a request, counted
    /// over all entry hosts.
    pub(crate) fn is_crash_suspect(&self, fingerprint: Fingerprint) -> bool {
        let peers = self.peers.borrow();
        let losses = peers.live_beacons(Instant::now()).flat_map(|it| &it.losses);
        let peer_counts = losses.filter(|it| it.fingerprint == fingerprint).map(|it| it.n_backends);
        self.crash_suspects.borrow().is_refused(fingerprint, peer_counts.sum())
    }

    /// Counts a request for a pool or service, which raises its retry budget.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, |it| it.count_request(Instant::now()));
    }

    /// Takes one retry from the retry budget of a pool or service; returns `false` if the budget is
    /// spent.
    pub(crate) fn try_spend_retry(&self, service: &ServiceId) -> bool {
        let n_hosts = 1 + self.peers.borrow().live_beacons(Instant::now()).count();
        self.with_budget(service, |it| it.try_spend_retry(n_hosts, Instant::now()))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            WindowedRetryBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
        });
        act(budget)
    }
}

/// Returns the sort key of a relay for a client, a hash of both ids, which spreads the clients
/// evenly over the relays.
fn relay_order(client: &HostId, relay: &HostId) -> u64 {
    let digest = Digest::of(format!("{client} {relay}").as_bytes());
    digest_hash(&digest)
}
