//! Where a process follows the store: itself, or through an entry host that does.
//!
//! Answers to: many processes whose watches exceed what the store carries, and a store that turns
//! some processes away while it serves others.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::platform::store::Store;

/// Time for which an entry host that failed is not asked while there are others.
const REST: Duration = Duration::from_secs(2);
/// Wait of a watch at the store.
const STORE_WAIT: Duration = Duration::from_secs(15);
/// Wait of a watch at an entry host; short, as a frozen host shows only by its silence.
const RELAY_WAIT: Duration = Duration::from_millis(700);

/// One way to the store's objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The store.
    Store,
    /// An entry host that follows the store, by its address for peers.
    Relay(SocketAddr),
}

/// The ways that one process has.
#[derive(Clone, Debug)]
pub struct Sources {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Store,
    /// Whether the process goes to the store first.
    is_direct: Cell<bool>,
    /// Entry hosts that follow the store, the best first.
    relays: RefCell<Vec<SocketAddr>>,
    clients: RefCell<HashMap<SocketAddr, Store>>,
    rests: RefCell<HashMap<Source, Instant>>,
}

impl Sources {
    /// Makes the sources of a process that knows only the store.
    pub fn new(store: Store) -> Sources {
        let shared = Shared {
            store,
            is_direct: Cell::new(true),
            relays: RefCell::default(),
            clients: RefCell::default(),
            rests: RefCell::default(),
        };
        Sources { shared: Rc::new(shared) }
    }

    /// Says whether the process is to go to the store first, and which entry hosts follow it.
    pub fn update(&self, is_direct: bool, relays: Vec<SocketAddr>) {
        if self.shared.is_direct.replace(is_direct) != is_direct {
            log::info!("store: followed directly={is_direct} relays={}", relays.len());
        }
        self.shared.clients.borrow_mut().retain(|it, _| relays.contains(it));
        *self.shared.relays.borrow_mut() = relays;
    }

    /// The source to ask now.
    pub fn choose(&self, now: Instant) -> Source {
        let rests = self.shared.rests.borrow();
        let is_rested = |it: &Source| rests.get(it).is_none_or(|since| now >= *since + REST);
        // The store rests until it answers again, which the canary finds out.
        let goes_to_store = self.is_direct() && !rests.contains_key(&Source::Store);
        let relays = self.shared.relays.borrow();
        let relay = relays.iter().map(|it| Source::Relay(*it)).find(is_rested);
        relay.filter(|_| !goes_to_store).unwrap_or(Source::Store)
    }

    /// Whether the process goes to the store first.
    pub fn is_direct(&self) -> bool {
        self.shared.is_direct.get()
    }

    /// Notes that a source did not answer.
    pub fn failed(&self, source: Source, now: Instant) {
        self.shared.rests.borrow_mut().insert(source, now);
    }

    /// Notes that a source answered.
    pub fn answered(&self, source: Source) {
        self.shared.rests.borrow_mut().remove(&source);
    }

    /// A client of a source.
    pub fn client(&self, source: Source) -> Store {
        match source {
            Source::Store => self.shared.store.clone(),
            Source::Relay(address) => {
                let mut clients = self.shared.clients.borrow_mut();
                clients.entry(address).or_insert_with(|| Store::new(address)).clone()
            }
        }
    }
}

impl Source {
    /// Longest wait of a watch.
    pub fn wait(self) -> Duration {
        match self {
            Source::Store => STORE_WAIT,
            Source::Relay(_) => RELAY_WAIT,
        }
    }
}
