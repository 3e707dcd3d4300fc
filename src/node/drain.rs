//! The end of the requests of a process that shuts down gracefully.

use std::{sync::OnceLock, time::Instant};

use event_listener::Event;

use crate::runtime;

/// The time at which the requests in progress have to end, which is set once the process leaves.
#[derive(Debug, Default)]
pub struct Drain {
    ends_at: OnceLock<Instant>,
    begun: Event,
}

impl Drain {
    /// Records that the process leaves and ends its requests at `ends_at`; the first call counts.
    pub(crate) fn begin(&self, ends_at: Instant) {
        self.ends_at.get_or_init(|| ends_at);
        self.begun.notify(usize::MAX);
    }

    /// Returns `true` if a request that takes until `deadline` ends before the process does.
    pub(crate) fn allows(&self, deadline: Instant) -> bool {
        self.ends_at.get().is_none_or(|it| deadline <= *it)
    }

    /// Returns once the requests in progress have to end.
    pub(crate) async fn wait_until_end(&self) {
        loop {
            let begun = self.begun.listen();
            if let Some(ends_at) = self.ends_at.get() {
                return runtime::sleep_until(*ends_at).await;
            }
            begun.await;
        }
    }
}
