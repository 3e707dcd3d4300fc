//! What all tasks of a slot process share.

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
    slot::{Holder, PieceRanks, Shelf},
};

/// Time for which a slot process that said so is fetching a piece, unless it says otherwise.
const CLAIM_TIME: Duration = Duration::from_secs(1);

/// A piece of a version.
pub(crate) type PieceId = (WeightsVersion, u16);

/// Slot processes that hold pieces of one version.
pub(crate) type Holders = BTreeMap<SocketAddr, Holder>;

/// Beliefs and pieces of one slot process.
pub(crate) struct SlotState {
    pub(crate) settings: DeployedSettings,
    pub(crate) engine_settings: EngineSettings,
    pub(crate) engine: EngineApi,
    /// How this process follows the store.
    pub(crate) sources: StoreSources,
    pub(crate) socket: Async<UdpSocket>,
    pub(crate) versions: RefCell<VersionTable>,
    pub(crate) pool: RefCell<Option<PoolFacts>>,
    pub(crate) members: RefCell<BTreeMap<SocketAddr, ZoneId>>,
    pub(crate) ranks: RefCell<PieceRanks>,
    pub(crate) entry_hosts: RefCell<Vec<SocketAddr>>,
    /// Pieces of the newest versions.
    pub(crate) shelves: RefCell<BTreeMap<WeightsVersion, Shelf>>,
    /// What others hold of the newest versions.
    pub(crate) holders: RefCell<BTreeMap<WeightsVersion, Holders>>,
    /// Manifests that other slot processes have passed on.
    pub(crate) manifest_copies: RefCell<BTreeMap<WeightsVersion, ManifestCopy>>,
    /// When each other slot process was heard last.
    pub(crate) heard: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Pieces that this process is fetching from the origin.
    pub(crate) fetching: RefCell<BTreeSet<PieceId>>,
    /// Pieces that others fetch from the origin, by version and slot process.
    pub(crate) claims: RefCell<BTreeMap<(WeightsVersion, SocketAddr), Claim>>,
    /// Slot processes that the origin does not answer, and when they said so.
    pub(crate) without_origin: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Whether the origin answered the last call of this process.
    pub(crate) reaches_origin: Cell<bool>,
    /// Peers that failed and are not asked before a time.
    pub(crate) rests: RefCell<HashMap<SocketAddr, Instant>>,
    /// Held while pieces are staged, and from the check of all pieces to the order to load them.
    pub(crate) staging: async_lock::Mutex<()>,
    /// Told when a version is named.
    pub(crate) version_named: Event,
    /// Told of new versions, pieces and holders.
    pub(crate) changed: Event,
}

/// Pieces that another slot process is fetching from the origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Numbers of the pieces.
    pub(crate) fetching: BTreeSet<u16>,
    /// When it said so last.
    pub(crate) heard: Instant,
}

/// What the charter says of the own pool.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PoolFacts {
    /// The model that the pool serves.
    pub(crate) model: String,
    /// Published figures of its engines.
    pub(crate) figures: EngineSpec,
    /// Where new weights come from.
    pub(crate) origin: Option<Origin>,
}

impl SlotState {
    /// Makes the state of a process that knows nothing yet.
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
            entry_hosts: RefCell::default(),
            shelves: RefCell::default(),
            holders: RefCell::default(),
            manifest_copies: RefCell::default(),
            heard: RefCell::default(),
            fetching: RefCell::default(),
            claims: RefCell::default(),
            without_origin: RefCell::default(),
            reaches_origin: Cell::new(true),
            rests: RefCell::default(),
            staging: async_lock::Mutex::new(()),
            version_named: Event::new(),
            changed: Event::new(),
        }))
    }

    /// The version that the engine is to serve.
    pub(crate) fn target(&self) -> Option<(String, WeightsVersion)> {
        let pool = self.pool.borrow();
        let model = &pool.as_ref()?.model;
        Some((model.clone(), self.versions.borrow().newest(model)))
    }

    /// Works out the ranks anew, after a change of members.
    pub(crate) fn update_ranks(&self) {
        let n_pieces = self.pool.borrow().as_ref().map_or(0, |it| it.figures.n_pieces);
        *self.ranks.borrow_mut() = PieceRanks::new(&self.members.borrow(), n_pieces);
    }

    /// Tells `targets` which pieces of a version are held.
    pub(crate) async fn announce(
        &self,
        version: WeightsVersion,
        targets: &[SocketAddr],
        asks: bool,
    ) {
        let Some(message) = self.pieces_held(version, asks) else { return };
        self.send(targets, &PeerMessage::PiecesHeld(message)).await;
    }

    /// Sends a datagram to `targets`; one that is lost is made good by a later one.
    pub(crate) async fn send(&self, targets: &[SocketAddr], message: &PeerMessage) {
        let bytes = match bincode::serialize(message) {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("slot: message not encoded error=\"{err}\""),
        };
        for target in targets.iter().filter(|it| **it != self.settings.peers) {
            if let Err(err) = self.socket.send_to(&bytes, *target).await {
                log::debug!("slot: message not sent to={target} error=\"{err}\"");
            }
        }
    }

    /// The slot processes that were heard since a time and reach the origin no worse than this one.
    pub(crate) fn able_since(&self, since: Instant) -> BTreeSet<SocketAddr> {
        let without_origin = self.without_origin.borrow();
        let is_unable = |it: &SocketAddr| {
            self.reaches_origin.get() && without_origin.get(it).is_some_and(|it| *it >= since)
        };
        let heard = self.heard.borrow();
        let able = heard.iter().filter(|it| *it.1 >= since && !is_unable(it.0));
        able.map(|it| *it.0).collect()
    }

    /// Time for which this slot waits for others before it asks the origin for a manifest.
    pub(crate) fn manifest_delay(&self) -> Duration {
        self.ranks.borrow().manifest_delay(&self.settings.host.zone, self.settings.peers)
    }

    /// Pieces of a version that others are fetching from the origin as far as known.
    pub(crate) fn claimed(&self, version: WeightsVersion, now: Instant) -> BTreeSet<u32> {
        let claims = self.claims.borrow();
        let valid = claims
            .iter()
            .filter(|it| it.0 .0 == version && now.duration_since(it.1.heard) < CLAIM_TIME);
        valid.flat_map(|it| &it.1.fetching).map(|it| u32::from(*it)).collect()
    }

    /// All other slot processes of the pool.
    pub(crate) fn other_members(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        members.keys().filter(|it| **it != self.settings.peers).copied().collect()
    }

    /// The other slot processes of the own zone.
    pub(crate) fn near_members(&self) -> Vec<SocketAddr> {
        let zone = &self.settings.host.zone;
        let members = self.members.borrow();
        let near = members.iter().filter(|it| it.1 == zone && *it.0 != self.settings.peers);
        near.map(|it| *it.0).collect()
    }

    /// Drops what is known of versions before `oldest`.
    pub(crate) fn forget_before(&self, oldest: WeightsVersion) {
        self.shelves.borrow_mut().retain(|it, _| *it >= oldest);
        self.holders.borrow_mut().retain(|it, _| *it >= oldest);
        self.claims.borrow_mut().retain(|it, _| it.0 >= oldest);
        self.fetching.borrow_mut().retain(|it| it.0 >= oldest);
    }

    fn pieces_held(&self, version: WeightsVersion, asks: bool) -> Option<PiecesHeld> {
        let (model, _) = self.target()?;
        let shelves = self.shelves.borrow();
        let shelf = shelves.get(&version);
        let pieces = shelf.map(Shelf::held).unwrap_or_default();
        let has_manifest = shelf.is_some();
        let zone = self.settings.host.zone.clone();
        let fetching = self.fetching.borrow();
        let fetching = fetching.iter().filter(|it| it.0 == version).map(|it| it.1).collect();
        let reaches_origin = self.reaches_origin.get();
        let held = PiecesHeld {
            zone,
            model,
            version,
            has_manifest,
            pieces,
            fetching,
            reaches_origin,
            asks,
        };
        Some(held)
    }
}
