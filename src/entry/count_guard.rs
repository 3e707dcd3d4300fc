//! Counts something in progress for as long as it lives.

use std::{cell::Cell, rc::Rc};

use crate::entry::entry_host::EntryHost;

/// One more in a count of the entry host, until it is dropped.
pub(crate) struct CountGuard {
    host: Rc<EntryHost>,
    count: fn(&EntryHost) -> &Cell<usize>,
}

impl CountGuard {
    /// Adds one to `count`.
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
