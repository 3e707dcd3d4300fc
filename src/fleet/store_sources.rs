//! Chooses whether a process watches the store directly or through an entry host.
//!
//! The store cannot serve the watches of all processes of a large deployment, and in a partial
//! outage it refuses some processes while it serves others.

use std::{
    cell::{Cell, RefCell, RefMut},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use event_listener::Event;

use crate::{
    fleet::watch_points::WatchPoints,
    ids::StoreGeneration,
    platform::{store::Store, StoreContact, StorePoint},
};

/// Time for which an entry host that failed is not used.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time for which an entry host that failed is used only if all others have failed too; longer than
/// the time-outs of many hosts that are suspended together.
const RELAY_AVOID_TIME: Duration = Duration::from_secs(15);
/// Timeout of a watch request at the store.
const STORE_WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a watch request at an entry host; short, as only this timeout detects a host that
/// hangs.
const RELAY_WATCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time for which an entry host that watches the store doesn't notice that its connection
/// is dead; until then it reports that nothing changed.
const MAX_RELAY_LAG: Duration = Duration::from_secs(3);

/// A process from which objects of the store can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreSource {
    /// The store.
    Store,
    /// An entry host that watches the store, by its address for peers.
    Relay(SocketAddr),
}

/// The sources that one process can use; clones refer to the same state.
#[derive(Clone, Debug)]
pub struct StoreSources {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Store,
    /// Whether the process watches the store directly while it is available.
    prefers_store: Cell<bool>,
    /// Entry hosts that watch the store, in order of preference.
    relays: RefCell<Vec<SocketAddr>>,
    clients: RefCell<HashMap<SocketAddr, Store>>,
    unavailable_since: RefCell<HashMap<StoreSource, Instant>>,
    /// The newest generation of the store that any source told.
    generation: Cell<StoreGeneration>,
    generation_changed: Event,
    /// The watches at the store itself.
    watch_points: RefCell<WatchPoints>,
    /// The kinds whose watches at the store have been found silent.
    silent: RefCell<BTreeSet<&'static str>>,
    silent_found: Event,
}

impl StoreSources {
    /// Creates the sources of a process: only the store, until `update` adds entry hosts.
    pub fn new(store: Store) -> StoreSources {
        let shared = Shared {
            store,
            prefers_store: Cell::new(true),
            relays: RefCell::default(),
            clients: RefCell::default(),
            unavailable_since: RefCell::default(),
            generation: Cell::new(0),
            generation_changed: Event::new(),
            watch_points: RefCell::default(),
            silent: RefCell::default(),
            silent_found: Event::new(),
        };
        StoreSources { shared: Rc::new(shared) }
    }

    /// Sets whether the process prefers the store, and the entry hosts that it can use instead, the
    /// most preferred first.
    pub fn update(&self, prefers_store: bool, relays: Vec<SocketAddr>) {
        if self.shared.prefers_store.replace(prefers_store) != prefers_store {
            log::info!(
                "store: source preference changed directly={prefers_store} relays={}",
                relays.len()
            );
        }
        self.shared.clients.borrow_mut().retain(|it, _| relays.contains(it));
        *self.shared.relays.borrow_mut() = relays;
    }

    /// Returns the source to use now: the store if it is preferred and available, else the first
    /// available entry host, else the store.
    pub fn choose(&self, now: Instant) -> StoreSource {
        let unavailable_since = self.shared.unavailable_since.borrow();
        let has_not_failed_for = |it: &StoreSource, delay: Duration| {
            unavailable_since.get(it).is_none_or(|since| now >= *since + delay)
        };
        // The store counts as unavailable until it responds again, which `StoreProbe` detects.
        let uses_store =
            self.prefers_store() && !unavailable_since.contains_key(&StoreSource::Store);
        let relays = self.shared.relays.borrow();
        let relay = [RELAY_AVOID_TIME, RELAY_RETRY_DELAY].into_iter().find_map(|delay| {
            let mut relays = relays.iter().map(|it| StoreSource::Relay(*it));
            relays.find(|it| has_not_failed_for(it, delay))
        });
        relay.filter(|_| !uses_store).unwrap_or(StoreSource::Store)
    }

    /// Returns `true` if the process prefers the store to entry hosts.
    pub fn prefers_store(&self) -> bool {
        self.shared.prefers_store.get()
    }

    /// Records that a source did not respond.
    pub fn mark_unavailable(&self, source: StoreSource, now: Instant) {
        self.shared.unavailable_since.borrow_mut().insert(source, now);
    }

    /// Records that a source responded.
    pub fn mark_available(&self, source: StoreSource) {
        self.shared.unavailable_since.borrow_mut().remove(&source);
    }

    /// Returns the newest generation of the store that this process knows.
    pub fn generation(&self) -> StoreGeneration {
        self.shared.generation.get()
    }

    /// Records the generation in a response of a source.
    pub fn record_generation(&self, generation: StoreGeneration) {
        let before = self.generation();
        if generation <= before {
            return;
        }
        if before > 0 {
            log::warn!(
                "store: the store came back from an older copy generation={generation} \
                 before={before}"
            );
            self.record_return();
        }
        self.shared.generation.set(generation);
        self.shared.generation_changed.notify(usize::MAX);
    }

    /// Returns when the store responded to this process, or to the entry hosts that it asked.
    pub fn contact(&self) -> StoreContact {
        self.shared.store.contact()
    }

    /// Records a message of another host, which shows that this process isn't cut off.
    pub(crate) fn record_peer(&self, now: Instant) {
        self.shared.store.record_peer(now);
    }

    /// Records that the store came back, whatever its responses show.
    pub(crate) fn record_return(&self) {
        self.shared.store.record_return();
    }

    /// Waits until a generation after `generation` is known.
    pub async fn wait_for_generation_after(&self, generation: StoreGeneration) {
        loop {
            let changed = self.shared.generation_changed.listen();
            if self.generation() > generation {
                return;
            }
            changed.await;
        }
    }

    /// Records that the watch of a kind at a source has brought everything up to `at`.
    pub(crate) fn record_watch(&self, source: StoreSource, kind: &'static str, at: StorePoint) {
        let mut points = self.shared.watch_points.borrow_mut();
        match source {
            StoreSource::Store => points.record_watch(kind, at, Instant::now()),
            StoreSource::Relay(_) => points.remove_watch(kind),
        }
    }

    /// Records that the watch of a kind has been sent to a source.
    pub(crate) fn record_wait(&self, source: StoreSource, kind: &'static str) {
        if source == StoreSource::Store {
            self.shared.watch_points.borrow_mut().record_wait(kind, Instant::now());
        }
    }

    /// Records that a kind isn't watched at the store now.
    pub(crate) fn remove_watch(&self, kind: &'static str) {
        self.shared.watch_points.borrow_mut().remove_watch(kind);
    }

    /// Returns the points that the watches at the store have reached.
    pub(crate) fn watch_points(&self) -> RefMut<'_, WatchPoints> {
        self.shared.watch_points.borrow_mut()
    }

    /// Makes the watch of a kind list again, if it waits now.
    pub(crate) fn mark_silent(&self, kind: &'static str) {
        self.shared.silent.borrow_mut().insert(kind);
        self.shared.silent_found.notify(usize::MAX);
    }

    /// Waits until the watch of a kind is found silent; what was found before doesn't count.
    pub(crate) async fn wait_until_silent(&self, kind: &'static str) {
        self.shared.silent.borrow_mut().remove(kind);
        loop {
            let found = self.shared.silent_found.listen();
            if self.shared.silent.borrow_mut().remove(kind) {
                return;
            }
            found.await;
        }
    }

    /// Returns a client for a source.
    pub fn client(&self, source: StoreSource) -> Store {
        match source {
            StoreSource::Store => self.shared.store.clone(),
            StoreSource::Relay(address) => {
                let mut clients = self.shared.clients.borrow_mut();
                let relay = || Store::of_relay(address).sharing_contact(&self.shared.store);
                clients.entry(address).or_insert_with(relay).clone()
            }
        }
    }
}

impl StoreSource {
    /// Returns the time by which a response of this source may lag behind the store.
    pub fn max_lag(self) -> Duration {
        match self {
            StoreSource::Store => Duration::ZERO,
            StoreSource::Relay(_) => MAX_RELAY_LAG,
        }
    }

    /// Returns the timeout of a watch request at this source.
    pub fn watch_timeout(self) -> Duration {
        match self {
            StoreSource::Store => STORE_WATCH_TIMEOUT,
            StoreSource::Relay(_) => RELAY_WATCH_TIMEOUT,
        }
    }
}
