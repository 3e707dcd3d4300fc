//! Whether a starting entry host knows the documents that the others know.

use std::{cell::Cell, time::Duration};

/// Time after its start from which a host is ready although others know more.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether a host has known all that the others know, once since its start.
#[derive(Debug, Default)]
pub(crate) struct DocumentCatchUp {
    is_done: Cell<bool>,
}

impl DocumentCatchUp {
    /// Returns `true` once the host has known as much as all others, or they did not tell it in time.
    pub(crate) fn is_done(&self, since_start: Duration, is_behind: impl FnOnce() -> bool) -> bool {
        if !self.is_done.get() {
            self.is_done.set(since_start >= START_TIMEOUT || !is_behind());
        }
        self.is_done.get()
    }
}
