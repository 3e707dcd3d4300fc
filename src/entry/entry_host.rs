//! The state that all tasks of an entry host share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_io::Async;
use event_listener::Event;

use crate::{
    clock,
    entry::{
        admission_client::AdmissionClient, cell_owner::CellOwner, datagrams, departure::Departure,
        engine_owners::EngineOwners, limited_servers::LimitedServers,
        server_notices::ServerNotices,
    },
    fleet::{
        follows_store, is_current_follower, relays_for, AdmissionMessage, BackendTable, Beacon,
        DocumentCatchUp, DocumentNumbers, EngineNotice, EntryState, EvacuatedZones, KindCache,
        PeerMessage, PeerTable, PendingReport, RegistrationState, StallDetector, StoreSource,
        StoreSources, VersionTable,
    },
    ids::{BackendId, HostId, ServiceId, ZoneId},
    memory::Buffers,
    placement::{
        BackendHealth, ColdBounds, ColdServers, CrashSuspects, CrashingParts, EntryShare,
        Fingerprint, OwnerCandidate, PlainServers, RequestCounts, RetryBudgets,
    },
    platform::store::Store,
    relay::BackendConnections,
    routing::RoutingCharter,
    settings::{DeployedSettings, EntryListenSettings},
};

/// Time after the start for which a host waits for the first beacon of another one.
const FIRST_BEACON_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which a notice about an engine may have waited in this process.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(1);

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
    /// The zones whose backend servers get no new requests.
    pub(crate) evacuated: RefCell<EvacuatedZones>,
    /// Notified when other zones may be allowed for a request: of new charters and evacuations.
    pub(crate) allowed_changed: Event,
    /// Whether the backend servers have been listed at least once.
    pub(crate) has_backends: Cell<bool>,
    pub(crate) versions: RefCell<VersionTable>,
    /// Notified of each new intended version.
    pub(crate) version_published: Event,
    pub(crate) peers: RefCell<PeerTable>,
    /// This host's own requests in progress at each backend server.
    pub(crate) request_counts: RefCell<RequestCounts>,
    pub(crate) health: RefCell<BackendHealth>,
    /// Rate limits of backend servers that started just now, or may have.
    pub(crate) cold_servers: RefCell<ColdServers>,
    /// How late the servers of plain services respond now.
    pub(crate) plain_servers: Rc<RefCell<PlainServers>>,
    /// What backend servers said of themselves in their responses.
    pub(crate) server_notices: ServerNotices,
    /// The limits that backend servers named for all hosts together.
    pub(crate) limited_servers: LimitedServers,
    /// Requests that may crash backend servers, as far as all entry hosts know.
    pub(crate) crash_suspects: RefCell<CrashSuspects>,
    /// Parts of prompts that crash engines, as far as all entry hosts know.
    pub(crate) crashing_parts: RefCell<CrashingParts>,
    /// Notified when a part is quarantined.
    pub(crate) part_quarantined: Event,
    /// The report on parts of prompts that is being collected for the other hosts.
    pub(crate) pending_report: RefCell<Option<PendingReport>>,
    pub(crate) connections: BackendConnections,
    /// The messages that are buffered, which share the memory of the process.
    pub(crate) buffers: Buffers,
    /// The socket for datagrams to and from other processes.
    pub(crate) socket: Async<UdpSocket>,
    /// Addresses of the entry hosts that beacons are sent to, with their zones.
    pub(crate) beacon_targets: RefCell<BTreeMap<SocketAddr, ZoneId>>,
    /// Whether the entry hosts have been listed at least once.
    pub(crate) knows_entry_hosts: Cell<bool>,
    /// Whether this host has known what the others know.
    pub(crate) catch_up: DocumentCatchUp,
    /// Whether the store has the registration of this host.
    pub(crate) registration: RegistrationState,
    /// The store and the entry hosts through which this host can watch it.
    pub(crate) sources: StoreSources,
    /// The latest stall of this process.
    pub(crate) stalls: Rc<RefCell<StallDetector>>,
    /// Objects of the store, for the processes that watch it through this host.
    pub(crate) cache: Rc<KindCache>,
    pub(crate) engine_owners: EngineOwners,
    /// The engines that this host owns.
    pub(crate) cell_owner: CellOwner,
    /// The reservations that this host holds.
    pub(crate) admission: AdmissionClient,
    /// The planned end of this process.
    pub(crate) departure: Departure,
    /// The number of completely received requests whose response has not ended.
    pub(crate) n_exchanges: Cell<usize>,
    /// The number of open connections of callers.
    pub(crate) n_connections: Cell<usize>,
    /// The other entry hosts for which owners and store sources were last computed.
    known_peers: RefCell<Vec<(HostId, EntryState, bool)>>,
    pub(crate) retry_budgets: RefCell<RetryBudgets>,
    pub(crate) started: Instant,
    started_ms: u64,
    beacon_number: Cell<u64>,
}

impl EntryHost {
    /// Creates the state of a process that has read nothing from the store yet.
    pub(crate) fn new(
        settings: DeployedSettings,
        listen: EntryListenSettings,
    ) -> io::Result<Rc<EntryHost>> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let bounds = settings.bounds;
        let retry_budgets =
            RetryBudgets::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        let cold_bounds =
            ColdBounds { rate_factor: bounds.cold_over, extra_requests: bounds.cold_slack };
        let sources = StoreSources::new(Store::new(settings.store));
        let socket = Async::<UdpSocket>::bind(settings.peers)?;
        let buffers = Buffers::new(settings.memory_bytes);
        let own = &settings.host;
        let registration = RegistrationState::new(own.id.clone(), settings.peers, own.zone.clone());
        Ok(Rc::new(EntryHost {
            settings,
            listen,
            charter: RefCell::default(),
            backends: RefCell::default(),
            evacuated: RefCell::default(),
            allowed_changed: Event::new(),
            has_backends: Cell::new(false),
            versions: RefCell::new(VersionTable::new(bounds.version)),
            version_published: Event::new(),
            peers: RefCell::default(),
            request_counts: RefCell::default(),
            health: RefCell::default(),
            cold_servers: RefCell::new(ColdServers::new(cold_bounds)),
            plain_servers: Rc::default(),
            server_notices: ServerNotices::default(),
            limited_servers: LimitedServers::new(),
            crash_suspects: RefCell::default(),
            crashing_parts: RefCell::default(),
            part_quarantined: Event::new(),
            pending_report: RefCell::default(),
            connections: BackendConnections::default(),
            buffers,
            socket,
            beacon_targets: RefCell::default(),
            knows_entry_hosts: Cell::new(false),
            catch_up: DocumentCatchUp::default(),
            registration,
            sources,
            known_peers: RefCell::default(),
            stalls: Rc::new(RefCell::new(StallDetector::new(clock::now()))),
            cache: Rc::default(),
            engine_owners: EngineOwners::default(),
            cell_owner: CellOwner::default(),
            admission: AdmissionClient::new(),
            departure: Departure::new(bounds.grace),
            n_exchanges: Cell::new(0),
            n_connections: Cell::new(0),
            retry_budgets: RefCell::new(retry_budgets),
            started: Instant::now(),
            started_ms: since_epoch.as_millis() as u64,
            beacon_number: Cell::new(0),
        }))
    }

    /// Returns the state that is reported to callers and peers.
    pub(crate) fn state(&self) -> EntryState {
        match self.departure.since() {
            Some(_) => EntryState::Leaving,
            None if self.charter.borrow().is_some()
                && self.has_backends.get()
                && self.knows_evacuations()
                && self.has_heard_peers()
                && self.has_caught_up() =>
            {
                EntryState::Ready
            }
            None => EntryState::Starting,
        }
    }

    /// Returns `true` once this host knows which zones are evacuated, or if the platform evacuates none.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.settings.bounds.evacuation.is_none() || self.evacuated.borrow().is_known()
    }

    /// Returns `true` once this host knows which requests and parts of prompts the other hosts refuse, or
    /// none of them tells.
    fn has_heard_peers(&self) -> bool {
        self.started.elapsed() >= FIRST_BEACON_TIMEOUT || !self.peers.borrow().is_empty()
    }

    /// Returns `true` once this host has known the documents that the others know, or it has waited for
    /// them long enough.
    pub(crate) fn has_caught_up(&self) -> bool {
        let is_behind =
            || self.peers.borrow().knows_newer_than(&self.document_numbers(), Instant::now());
        self.catch_up.is_done(self.started.elapsed(), is_behind)
    }

    /// Returns the numbers of the newest documents that this host knows.
    pub(crate) fn document_numbers(&self) -> DocumentNumbers {
        let charter = self.charter.borrow().as_ref().map_or(0, |it| it.number);
        DocumentNumbers { charter, versions: self.versions.borrow().newest_total() }
    }

    /// Returns the next beacon, with a new number, for hosts that get one every `interval`.
    pub(crate) fn next_beacon(&self, interval: Duration) -> Beacon {
        self.beacon_number.set(self.beacon_number.get() + 1);
        Beacon {
            host: self.settings.host.id.clone(),
            started_ms: self.started_ms,
            number: self.beacon_number.get(),
            interval_ms: interval.as_millis() as u32,
            state: self.state(),
            callers: self.listen.callers,
            peers: self.settings.peers,
            processor_permille: self.settings.processor_permille(),
            follows_store: self.follows_store(),
            documents: self.document_numbers(),
            region: self.settings.host.region.clone(),
            zone: self.settings.host.zone.clone(),
            suspected: self.crash_suspects.borrow().reported(Instant::now()),
            quarantined: self.crashing_parts.borrow().quarantined(Instant::now()),
        }
    }

    /// Sends a message about reservations to an entry host, or handles it here if it is for this
    /// host. A lost one is replaced by later reports.
    pub(crate) fn send_admission(&self, to: SocketAddr, message: AdmissionMessage) {
        if to == self.settings.peers {
            return self.handle_admission(to, message);
        }
        datagrams::send(self, &[to], &PeerMessage::Admission(message));
    }

    /// Handles a message about reservations.
    pub(crate) fn handle_admission(&self, from: SocketAddr, message: AdmissionMessage) {
        match message {
            AdmissionMessage::Granted { .. } | AdmissionMessage::Refused { .. } => {
                self.admission.handle(self, from, message)
            }
            _ => self.cell_owner.handle(self, from, message),
        }
    }

    /// Returns the address of a live entry host for messages.
    pub(crate) fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        if *host == self.settings.host.id {
            return Some(self.settings.peers);
        }
        self.peers.borrow().live_beacon(host, Instant::now()).map(|it| it.peers)
    }

    /// Returns `true` if this host watches the store directly and without a gap.
    fn follows_store(&self) -> bool {
        let has_evacuations = self.settings.bounds.evacuation.is_some();
        self.sources.choose(Instant::now()) == StoreSource::Store
            && is_current_follower(&self.cache, has_evacuations)
    }

    /// Updates owners and store sources if another entry host appeared, changed its state or
    /// timed out.
    pub(crate) fn refresh_peers(&self) {
        let known: Vec<(HostId, EntryState, bool)> = {
            let peers = self.peers.borrow();
            let live = peers.live_beacons(Instant::now());
            live.map(|it| (it.host.clone(), it.state, it.follows_store)).collect()
        };
        if *self.known_peers.borrow() != known {
            *self.known_peers.borrow_mut() = known;
            self.engine_owners.update(self);
            self.update_sources();
        }
    }

    /// Returns the number of ready entry hosts of the own zone that are preferred to this one for
    /// common tasks.
    pub(crate) fn n_preferred_in_zone(&self) -> usize {
        let own = self.own_candidate();
        let peers = self.peers.borrow();
        let ready = peers.live_beacons(Instant::now()).filter(|it| it.state == EntryState::Ready);
        let same_zone = ready.filter(|it| it.zone == own.zone).map(Beacon::owner_candidate);
        same_zone.filter(|it| it.preference() < own.preference()).count()
    }

    /// Returns this host as a possible owner of engines.
    pub(crate) fn own_candidate(&self) -> OwnerCandidate {
        OwnerCandidate {
            host: self.settings.host.id.clone(),
            zone: self.settings.host.zone.clone(),
            processor_permille: self.settings.processor_permille(),
        }
    }

    /// Returns this host among all that may send requests on their own decision.
    pub(crate) fn entry_share(&self) -> EntryShare {
        // Also hosts of other zones, of which this host gets no beacons, may be running.
        let others = self.beacon_targets.borrow().keys().copied().collect();
        EntryShare { own: self.settings.peers, others }
    }

    /// Updates the store sources: whether this host prefers to watch the store directly, and the
    /// entry hosts through which it can watch it instead.
    fn update_sources(&self) {
        let host = &self.settings.host;
        let peers = self.peers.borrow();
        let targets = self.beacon_targets.borrow();
        let relays = relays_for(&host.id, &host.zone, peers.live_beacons(Instant::now()));
        let zones: BTreeSet<&ZoneId> = targets.values().collect();
        let prefers_store = follows_store(self.n_preferred_in_zone(), zones.len());
        self.sources.update(prefers_store, relays);
    }

    /// Applies the notice of a slot process about its engine, unless it may have waited while this
    /// process was suspended: the engine's entry in the store is newer then.
    pub(crate) fn apply_notice(&self, notice: &EngineNotice) {
        if self.stalls.borrow_mut().max_delay(clock::now()) > MAX_NOTICE_DELAY {
            log::info!("fleet: ignored a late notice engine={}", notice.engine);
            return;
        }
        if self.backends.borrow_mut().apply_notice(notice, Instant::now()) {
            log::info!("fleet: engine={} serves={:?}", notice.engine, notice.serves);
            self.cell_owner.decide_waiting(self);
        }
    }

    /// Returns `true` if too many backend servers broke the connection during a request, counted
    /// over all entry hosts.
    pub(crate) fn is_crash_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.crash_suspects.borrow().is_refused(fingerprint, Instant::now())
    }

    /// Counts a failure of a backend server, unless it is an engine that loads other weights and aborts
    /// its requests for that.
    pub(crate) fn record_failure(&self, backend: &BackendId) {
        if self.backends.borrow().is_switching(backend) {
            return;
        }
        let is_ejected = self.health.borrow_mut().record_failure(backend, Instant::now());
        self.note_ejection(backend, is_ejected);
    }

    /// Records a response that no sound backend server sends.
    pub(crate) fn record_unsound(&self, backend: &BackendId) {
        let is_ejected = self.health.borrow_mut().record_unsound(backend, Instant::now());
        self.note_ejection(backend, is_ejected);
    }

    fn note_ejection(&self, backend: &BackendId, is_ejected: bool) {
        if is_ejected {
            log::info!("health: ejected a backend server backend={backend}");
            self.connections.close_idle(backend);
        }
    }

    /// Takes one retry from the retry budget of a pool or service; returns `false` if the budget is
    /// spent.
    pub(crate) fn try_spend_retry(&self, service: &ServiceId) -> bool {
        // Hosts of other zones may be running although this host gets no beacons of them.
        let n_hosts = self.beacon_targets.borrow().len();
        self.retry_budgets.borrow_mut().try_spend_retry(service, n_hosts, Instant::now())
    }
}
