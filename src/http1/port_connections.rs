//! Decides which connection to close when a port has as many open as it may have.
//!
//! Load pattern: clients keep connections idle, send requests that never end, or read no responses. The
//! connection that has waited longest is closed, so that the next client is served; one whose request is
//! being served never is.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use event_listener::Event;
use metrics::counter;

use crate::metric_names;

/// Numbers the waits of all connections of a port, in the order of their beginnings.
type WaitNumber = u64;

/// The open connections of one port.
#[derive(Debug)]
pub(crate) struct PortConnections {
    port: &'static str,
    max_connections: usize,
    n_open: Cell<usize>,
    n_waits: Cell<WaitNumber>,
    /// The connections that wait for a complete request, each with the event that closes it.
    waiting: RefCell<BTreeMap<WaitNumber, Rc<Event>>>,
}

/// The place of one connection among those of its port, until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    connections: Rc<PortConnections>,
    /// Absent while a request is being served.
    wait: Cell<Option<WaitNumber>>,
    evicted: Rc<Event>,
}

impl PortConnections {
    /// Creates a port without connections.
    pub(crate) fn new(port: &'static str, max_connections: usize) -> Rc<PortConnections> {
        Rc::new(PortConnections {
            port,
            max_connections,
            n_open: Cell::default(),
            n_waits: Cell::default(),
            waiting: RefCell::default(),
        })
    }

    /// Returns the place of a new connection, for which the oldest waiting one is closed if too many are
    /// open; `None` if all of them are being served.
    pub(crate) fn admit(self: &Rc<Self>) -> Option<Rc<ConnectionSlot>> {
        if self.is_full() && !self.evict_oldest() {
            self.count("refused");
            return None;
        }
        self.n_open.set(self.n_open.get() + 1);
        let slot = ConnectionSlot {
            connections: self.clone(),
            wait: Cell::default(),
            evicted: Rc::default(),
        };
        slot.begin_wait();
        Some(Rc::new(slot))
    }

    /// Returns `true` if the next connection takes the place of another one.
    pub(crate) fn is_full(&self) -> bool {
        self.n_open.get() >= self.max_connections
    }

    /// Closes the connection that has waited longest; returns `false` if none waits.
    pub(crate) fn evict_oldest(&self) -> bool {
        let Some((_, evicted)) = self.waiting.borrow_mut().pop_first() else { return false };
        evicted.notify(usize::MAX);
        self.count("evicted");
        true
    }

    fn count(&self, outcome: &'static str) {
        let PortConnections { port, max_connections, .. } = self;
        log::warn!("http: too many connections port={port} max={max_connections} new={outcome}");
        counter!(metric_names::EXCESS_CONNECTIONS, "port" => self.port, "outcome" => outcome)
            .increment(1);
    }
}

impl ConnectionSlot {
    /// Records that a complete request is being served, so that the connection isn't closed for others.
    pub(crate) fn begin_exchange(&self) {
        if let Some(wait) = self.wait.take() {
            self.connections.waiting.borrow_mut().remove(&wait);
        }
    }

    /// Records that the connection waits for its client from now on.
    pub(crate) fn begin_wait(&self) {
        self.begin_exchange();
        let wait = self.connections.n_waits.get();
        self.connections.n_waits.set(wait + 1);
        self.connections.waiting.borrow_mut().insert(wait, self.evicted.clone());
        self.wait.set(Some(wait));
    }

    /// Waits until the connection must be closed for another one.
    pub(crate) async fn wait_until_evicted(&self) {
        loop {
            let evicted = self.evicted.listen();
            if self.is_evicted() {
                return;
            }
            evicted.await;
        }
    }

    fn is_evicted(&self) -> bool {
        let waiting = self.connections.waiting.borrow();
        self.wait.get().is_some_and(|it| !waiting.contains_key(&it))
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.begin_exchange();
        self.connections.n_open.set(self.connections.n_open.get() - 1);
    }
}
