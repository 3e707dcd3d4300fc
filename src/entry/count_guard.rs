//! Counts items in progress, such as connections, with a guard per item.

use std::{cell::Cell, rc::Rc};

use crate::entry::entry_host::EntryHost;

/// A guard that increments a counter of the entry host and decrements it when it is dropped.
pub(crate) struct CountGuard {
    host: Rc<EntryHost>,
    count: fn(&EntryHost) -> &Cell<usize>,
}

impl CountGuard {
    /// Increments the counter that `count` selects.
    pub(crate) fn new(host: Rc<EntryHost>, count: fn(&EntryHost) -> &Cell<usize>) -> CountGuard {
        let cell = count(&host);
        cell.set(cell.get() + 1);
        CountGuard { host, count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let cell = (self.count)(&self.host);
        cell.set(cell.get() - 1);
    }
}
