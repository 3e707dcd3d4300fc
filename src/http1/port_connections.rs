//! Decides which connection to close when a port has as many open as it may have.
//!
//! Load pattern: clients keep connections idle, send requests that never end, or read no responses. The
//! connection that has waited longest is closed, so that the next client is served; one whose request is
//! being served never is. Ports with small responses that are made at once (readiness, directory, metrics)
//! don't record exchanges: their connections wait all the time, also while a response is written.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
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
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    n_open: usize,
    n_waits: WaitNumber,
    /// The connections that wait for a complete request, each with the event that closes it.
    waiting: BTreeMap<WaitNumber, Arc<Event>>,
}

/// The place of one connection among those of its port, until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    connections: Arc<PortConnections>,
    /// Absent while a request is being served. Locked before the state of the port and together with it:
    /// another thread may evict the connection as soon as the wait is in that state.
    wait: Mutex<Option<WaitNumber>>,
    evicted: Arc<Event>,
}

impl PortConnections {
    /// Creates a port without connections.
    pub(crate) fn new(port: &'static str, max_connections: usize) -> Arc<PortConnections> {
        Arc::new(PortConnections { port, max_connections, state: Mutex::default() })
    }

    /// Returns the place of a new connection, for which the oldest waiting one is closed if too many are
    /// open; `None` if all of them are being served.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<Arc<ConnectionSlot>> {
        if self.is_full() && !self.evict_oldest() {
            self.count("refused");
            return None;
        }
        self.state().n_open += 1;
        let slot = ConnectionSlot {
            connections: self.clone(),
            wait: Mutex::default(),
            evicted: Arc::default(),
        };
        slot.begin_wait();
        Some(Arc::new(slot))
    }

    /// Returns the number of open connections.
    pub(crate) fn n_open(&self) -> usize {
        self.state().n_open
    }

    /// Returns `true` if the next connection takes the place of another one.
    pub(crate) fn is_full(&self) -> bool {
        self.n_open() >= self.max_connections
    }

    /// Closes the connection that has waited longest; returns `false` if none waits.
    pub(crate) fn evict_oldest(&self) -> bool {
        let Some((_, evicted)) = self.state().waiting.pop_first() else { return false };
        evicted.notify(usize::MAX);
        self.count("evicted");
        true
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn count(&self, outcome: &'static str) {
        let PortConnections { port, max_connections, .. } = self;
        log::warn!(
            "http: too many connections port={port} max={max_connections} outcome={outcome}"
        );
        counter!(metric_names::EXCESS_CONNECTIONS, "port" => self.port, "outcome" => outcome)
            .increment(1);
    }
}

impl ConnectionSlot {
    /// Records that a complete request is being served, so that the connection isn't closed for others.
    pub(crate) fn begin_exchange(&self) {
        let mut wait = self.wait.lock().unwrap();
        if let Some(wait) = wait.take() {
            self.connections.state().waiting.remove(&wait);
        }
    }

    /// Records that the connection waits for its client from now on, unless it has been evicted in its
    /// present wait.
    pub(crate) fn begin_wait(&self) {
        let mut wait = self.wait.lock().unwrap();
        let mut state = self.connections.state();
        if wait.is_some_and(|it| state.waiting.remove(&it).is_none()) {
            return;
        }
        let next = state.n_waits;
        state.n_waits += 1;
        state.waiting.insert(next, self.evicted.clone());
        *wait = Some(next);
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
        let wait = self.wait.lock().unwrap();
        wait.is_some_and(|it| !self.connections.state().waiting.contains_key(&it))
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.begin_exchange();
        self.connections.state().n_open -= 1;
    }
}
