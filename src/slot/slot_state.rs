//! The state that all tasks of a slot process share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use async_io::Async;
use event_listener::Event;

use crate::{
    fleet::{ManifestCopy, PeerMessage, PiecesHeld, StoreSources, VersionTable},
    ids::{WeightsVersion, ZoneId},
    platform::{engine_api::EngineApi, store::Store},
    routing::{EngineSpec, Origin},
    settings::{DeployedSettings, EngineSettings},
    slot::{choose_neighbours, PieceHolder, PieceRanks, PieceStore},
};

/// Time for which a claim is valid unless its slot process renews or withdraws it.
const CLAIM_TTL: Duration = Duration::from_secs(1);

/// The version and number of a piece.
pub(crate) type PieceId = (WeightsVersion, u16);

/// The slot processes that have pieces of one version, by address.
pub(crate) type PieceHolders = BTreeMap<SocketAddr, PieceHolder>;

/// The state of one slot process: its stored pieces and its view of the pool and of other slots.
pub(crate) struct SlotState {
    pub(crate) settings: DeployedSettings,
    pub(crate) engine_settings: EngineSettings,
    pub(crate) engine: EngineApi,
    /// The store and the entry hosts through which this process can read it.
    pub(crate) sources: StoreSources,
    pub(crate) socket: Async<UdpSocket>,
    pub(crate) versions: RefCell<VersionTable>,
    pub(crate) pool: RefCell<Option<OwnPool>>,
    pub(crate) members: RefCell<BTreeMap<SocketAddr, ZoneId>>,
    pub(crate) ranks: RefCell<PieceRanks>,
    /// Slot processes with which this one exchanges the lists of its pieces.
    pub(crate) neighbours: RefCell<Vec<SocketAddr>>,
    /// Whether the entry hosts have been listed.
    pub(crate) has_entry_hosts: Cell<bool>,
    /// The entry hosts that are notified of changes of the engine.
    pub(crate) entry_hosts: RefCell<Vec<SocketAddr>>,
    /// The stored pieces of the newest versions.
    pub(crate) piece_stores: RefCell<BTreeMap<WeightsVersion, PieceStore>>,
    /// The pieces of the newest versions that other slot processes have.
    pub(crate) holders: RefCell<BTreeMap<WeightsVersion, PieceHolders>>,
    /// Manifests that other slot processes have forwarded.
    pub(crate) manifest_copies: RefCell<BTreeMap<WeightsVersion, ManifestCopy>>,
    /// The time at which the last message of each other slot process arrived.
    pub(crate) last_received: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Pieces that this process is fetching from the origin.
    pub(crate) fetching: RefCell<BTreeSet<PieceId>>,
    /// Pieces that others are fetching from the origin, by version and slot process.
    pub(crate) claims: RefCell<BTreeMap<(WeightsVersion, SocketAddr), Claim>>,
    /// Slot processes that get no response from the origin, with the time of their last report.
    pub(crate) origin_unreachable_at: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Whether the origin responded to the last call of this process.
    pub(crate) reaches_origin: Cell<bool>,
    /// The end of the backoff of each peer that failed or was busy.
    pub(crate) peer_backoffs: RefCell<HashMap<SocketAddr, Instant>>,
    /// Held while pieces are staged, and from the check of all pieces to the order to load them.
    pub(crate) staging_lock: async_lock::Mutex<()>,
    /// Notified when a new version is published.
    pub(crate) version_published: Event,
    /// Notified of new versions, pieces and holders.
    pub(crate) changed: Event,
}

/// Pieces that another slot process is fetching from the origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    /// The numbers of the pieces.
    pub(crate) fetching: BTreeSet<u16>,
    /// Time at which its last announcement arrived.
    pub(crate) received: Instant,
}

/// The settings of the own pool in the charter.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OwnPool {
    /// The model that the pool serves.
    pub(crate) model: String,
    /// The published parameters of its engines.
    pub(crate) engine_spec: EngineSpec,
    /// The origin of new weights.
    pub(crate) origin: Option<Origin>,
}

impl SlotState {
    /// Creates the state of a process that has read nothing from the store yet.
    pub(crate) fn new(
        settings: DeployedSettings,
        engine_settings: EngineSettings,
    ) -> std::io::Result<Rc<SlotState>> {
        let socket = Async::<UdpSocket>::bind(settings.peers)?;
        let bound = settings.bounds.version;
        Ok(Rc::new(SlotState {
            engine: EngineApi::new(engine_settings.address),
            sources: StoreSources::new(Store::new(settings.store)),
            settings,
            engine_settings,
            socket,
            versions: RefCell::new(VersionTable::new(bound)),
            pool: RefCell::default(),
            members: RefCell::default(),
            ranks: RefCell::default(),
            neighbours: RefCell::default(),
            has_entry_hosts: Cell::new(false),
            entry_hosts: RefCell::default(),
            piece_stores: RefCell::default(),
            holders: RefCell::default(),
            manifest_copies: RefCell::default(),
            last_received: RefCell::default(),
            fetching: RefCell::default(),
            claims: RefCell::default(),
            origin_unreachable_at: RefCell::default(),
            reaches_origin: Cell::new(true),
            peer_backoffs: RefCell::default(),
            staging_lock: async_lock::Mutex::new(()),
            version_published: Event::new(),
            changed: Event::new(),
        }))
    }

    /// Returns the model of the pool and its newest intended version, which the engine should
    /// serve.
    pub(crate) fn target(&self) -> Option<(String, WeightsVersion)> {
        let pool = self.pool.borrow();
        let model = &pool.as_ref()?.model;
        Some((model.clone(), self.versions.borrow().newest(model)))
    }

    /// Waits until the entry hosts have been listed.
    pub(crate) async fn wait_for_entry_hosts(&self) {
        loop {
            let listener = self.changed.listen();
            if self.has_entry_hosts.get() {
                return;
            }
            listener.await;
        }
    }

    /// Recomputes the ranks and the neighbours after a change of members.
    pub(crate) fn update_ranks(&self) {
        let same_zone = self.same_zone_members();
        *self.neighbours.borrow_mut() = choose_neighbours(self.settings.peers, same_zone);
        let n_pieces = self.pool.borrow().as_ref().map_or(0, |it| it.engine_spec.n_pieces);
        *self.ranks.borrow_mut() = PieceRanks::new(&self.members.borrow(), n_pieces);
    }

    /// Sends `targets` the list of the stored pieces of a version; `asks` requests theirs in
    /// return.
    pub(crate) async fn announce(
        &self,
        version: WeightsVersion,
        targets: &[SocketAddr],
        asks: bool,
    ) {
        let Some(message) = self.pieces_held(version, asks) else { return };
        self.send(targets, &PeerMessage::PiecesHeld(message)).await;
    }

    /// Sends a datagram to `targets`. A lost one is not sent again, as later messages replace it.
    pub(crate) async fn send(&self, targets: &[SocketAddr], message: &PeerMessage) {
        let bytes = match bincode::serialize(message) {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("slot: failed to encode a message error=\"{err}\""),
        };
        for target in targets.iter().filter(|it| **it != self.settings.peers) {
            if let Err(err) = self.socket.send_to(&bytes, *target).await {
                log::debug!("slot: failed to send a message to={target} error=\"{err}\"");
            }
        }
    }

    /// Returns the slot processes that sent a message after `since` and can serve as origin
    /// fetchers.
    ///
    /// While this process reaches the origin, those that reported no response from it are excluded.
    pub(crate) fn healthy_members_since(&self, since: Instant) -> BTreeSet<SocketAddr> {
        let origin_unreachable_at = self.origin_unreachable_at.borrow();
        let lacks_origin = |it: &SocketAddr| {
            self.reaches_origin.get()
                && origin_unreachable_at.get(it).is_some_and(|it| *it >= since)
        };
        let last_received = self.last_received.borrow();
        let healthy = last_received.iter().filter(|it| *it.1 >= since && !lacks_origin(it.0));
        healthy.map(|it| *it.0).collect()
    }

    /// Returns the time for which this slot waits for a manifest from other slots before it
    /// requests one from the origin.
    pub(crate) fn manifest_delay(&self) -> Duration {
        self.ranks.borrow().manifest_delay(&self.settings.host.zone, self.settings.peers)
    }

    /// Returns the pieces of a version that other slots are fetching from the origin, according to
    /// their valid claims.
    pub(crate) fn claimed_pieces(&self, version: WeightsVersion, now: Instant) -> BTreeSet<u32> {
        let claims = self.claims.borrow();
        let valid = claims
            .iter()
            .filter(|it| it.0 .0 == version && now.duration_since(it.1.received) < CLAIM_TTL);
        valid.flat_map(|it| &it.1.fetching).map(|it| u32::from(*it)).collect()
    }

    /// Returns all other slot processes of the pool.
    pub(crate) fn other_members(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        members.keys().filter(|it| **it != self.settings.peers).copied().collect()
    }

    /// Returns the other slot processes of the own zone.
    pub(crate) fn same_zone_members(&self) -> Vec<SocketAddr> {
        let zone = &self.settings.host.zone;
        let members = self.members.borrow();
        let same_zone = members.iter().filter(|it| it.1 == zone && *it.0 != self.settings.peers);
        same_zone.map(|it| *it.0).collect()
    }

    /// Removes the pieces, holders and claims of versions before `oldest`.
    pub(crate) fn remove_versions_before(&self, oldest: WeightsVersion) {
        self.piece_stores.borrow_mut().retain(|it, _| *it >= oldest);
        self.holders.borrow_mut().retain(|it, _| *it >= oldest);
        self.claims.borrow_mut().retain(|it, _| it.0 >= oldest);
        self.fetching.borrow_mut().retain(|it| it.0 >= oldest);
    }

    fn pieces_held(&self, version: WeightsVersion, asks: bool) -> Option<PiecesHeld> {
        let (model, _) = self.target()?;
        let piece_stores = self.piece_stores.borrow();
        let piece_store = piece_stores.get(&version);
        let pieces = piece_store.map(PieceStore::piece_numbers).unwrap_or_default();
        let has_manifest = piece_store.is_some();
        let zone = self.settings.host.zone.clone();
        let fetching = self.fetching.borrow();
        let fetching = fetching.iter().filter(|it| it.0 == version).map(|it| it.1).collect();
        let reaches_origin = self.reaches_origin.get();
        let message = PiecesHeld {
            zone,
            model,
            version,
            has_manifest,
            pieces,
            fetching,
            reaches_origin,
            asks,
        };
        Some(message)
    }
}
