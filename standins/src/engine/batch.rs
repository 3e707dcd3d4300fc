//! Slots of the running batch, assigned by priority and then in order of arrival.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
};

use event_listener::Event;

/// The queued and the running requests of an engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    inner: Mutex<Inner>,
    changed: Event,
}

#[derive(Debug, Default)]
struct Inner {
    n_running: usize,
    next_arrival_number: u64,
    waiting: BTreeSet<Ticket>,
}

/// The sort key of a queued request: the smallest ticket runs first.
///
/// The priority is negated, so that a higher priority sorts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ticket {
    negative_priority: i64,
    arrival_number: u64,
}

impl Batch {
    pub(crate) fn n_running(&self) -> usize {
        self.inner.lock().unwrap().n_running
    }

    pub(crate) fn n_queued(&self) -> usize {
        self.inner.lock().unwrap().waiting.len()
    }

    /// Waits for one of `concurrency` slots; dropping the future leaves the queue.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        priority: i64,
        concurrency: impl Fn() -> usize,
    ) -> BatchSlot {
        let queue_entry = QueueEntry::new(self.clone(), priority);
        loop {
            let listener = self.changed.listen();
            if queue_entry.try_acquire(concurrency()) {
                return BatchSlot(self.clone());
            }
            listener.await;
        }
    }

    /// Wakes the queued requests to check for a free slot, for instance after a change of the
    /// concurrency.
    pub(crate) fn wake_waiting(&self) {
        self.changed.notify(usize::MAX);
    }
}

/// An entry of the queue, removed on drop.
struct QueueEntry {
    batch: Arc<Batch>,
    ticket: Ticket,
}

impl QueueEntry {
    fn new(batch: Arc<Batch>, priority: i64) -> QueueEntry {
        let mut inner = batch.inner.lock().unwrap();
        let ticket =
            Ticket { negative_priority: -priority, arrival_number: inner.next_arrival_number };
        inner.next_arrival_number += 1;
        inner.waiting.insert(ticket);
        drop(inner);
        QueueEntry { batch, ticket }
    }

    fn try_acquire(&self, concurrency: usize) -> bool {
        let mut inner = self.batch.inner.lock().unwrap();
        let is_first = inner.waiting.first() == Some(&self.ticket);
        if !is_first || inner.n_running >= concurrency {
            return false;
        }
        inner.n_running += 1;
        true
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.batch.inner.lock().unwrap().waiting.remove(&self.ticket);
        self.batch.wake_waiting();
    }
}

/// A slot of the running batch, released on drop.
#[derive(Debug)]
pub(crate) struct BatchSlot(Arc<Batch>);

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.0.inner.lock().unwrap().n_running -= 1;
        self.0.wake_waiting();
    }
}
