//! The buffers of one process, which share its memory.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use event_listener::Event;
use futures_lite::future;

use crate::memory::{BufferBudget, BufferId, BufferLease, BufferLimits, BufferSender};

/// Hands out leases for buffers; clones refer to the same buffers.
#[derive(Clone, Debug)]
pub struct Buffers {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: RefCell<BufferBudget>,
    /// The events of the buffers that have a lease, each notified when its buffer is given up.
    given_up: RefCell<BTreeMap<BufferId, Rc<Event>>>,
    /// The buffers that were given up and whose bytes may not be dropped yet.
    undropped: RefCell<BTreeSet<BufferId>>,
}

impl Buffers {
    /// Creates the buffers of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: usize) -> Buffers {
        let budget = RefCell::new(BufferBudget::new(BufferLimits::of_process(memory_bytes)));
        Buffers {
            shared: Rc::new(Shared {
                budget,
                given_up: RefCell::default(),
                undropped: RefCell::default(),
            }),
        }
    }

    /// Returns the lease of an empty buffer for bytes of `sender`.
    pub fn open(&self, sender: BufferSender) -> BufferLease {
        let mut budget = self.shared.budget.borrow_mut();
        let max_bytes = budget.limits().max_bytes(&sender);
        let id = budget.open(sender);
        self.shared.given_up.borrow_mut().insert(id, Rc::default());
        BufferLease::new(self.clone(), id, max_bytes)
    }

    /// Returns the size of all buffers together, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.shared.budget.borrow().total_bytes()
    }

    /// Returns the greatest size that all buffers together have had, in bytes.
    pub fn max_total_bytes(&self) -> usize {
        self.shared.budget.borrow().max_total_bytes()
    }

    /// Returns the number of buffers that were given up.
    pub fn n_given_up(&self) -> u64 {
        self.shared.budget.borrow().n_given_up()
    }

    /// Lets a buffer grow; returns `false` if it was given up.
    pub(crate) fn grow(&self, id: BufferId, n_bytes: usize) -> bool {
        let given_up = self.shared.budget.borrow_mut().grow(id, n_bytes);
        self.notify(&given_up);
        !given_up.contains(&id)
    }

    pub(crate) fn shrink(&self, id: BufferId, n_bytes: usize) {
        self.shared.budget.borrow_mut().shrink(id, n_bytes);
    }

    pub(crate) fn complete(&self, id: BufferId) {
        self.shared.budget.borrow_mut().complete(id);
    }

    pub(crate) fn wait_for_caller(&self, id: BufferId) {
        let given_up = self.shared.budget.borrow_mut().wait_for_caller(id);
        self.notify(&given_up);
    }

    pub(crate) fn close(&self, id: BufferId) {
        self.shared.budget.borrow_mut().close(id);
        self.shared.given_up.borrow_mut().remove(&id);
        self.shared.undropped.borrow_mut().remove(&id);
    }

    /// Lets other tasks run if buffers were given up that may still be in memory. Many tasks at once with
    /// bytes ready would otherwise all read before one of those drops its bytes.
    pub(crate) async fn yield_to_given_up(&self) {
        if !self.shared.undropped.borrow().is_empty() {
            future::yield_now().await;
        }
    }

    /// Waits until a buffer is given up for another one.
    pub(crate) async fn wait_until_given_up(&self, id: BufferId) {
        let event = self.shared.given_up.borrow().get(&id).cloned();
        let Some(event) = event else { return };
        loop {
            let given_up = event.listen();
            if !self.shared.budget.borrow().is_open(id) {
                return;
            }
            given_up.await;
        }
    }

    fn notify(&self, given_up: &[BufferId]) {
        self.shared.undropped.borrow_mut().extend(given_up);
        let events = self.shared.given_up.borrow();
        for event in given_up.iter().filter_map(|it| events.get(it)) {
            event.notify(usize::MAX);
        }
    }
}
