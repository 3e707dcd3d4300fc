//! The loads of the slots that this entry host uses, shared by all requests.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{ids::HostId, request::slot_picker::SlotPicker};

/// A shared `SlotPicker` with a clock.
#[derive(Debug)]
pub(crate) struct SlotLoads {
    picker: Mutex<SlotPicker>,
    created: Instant,
}

impl SlotLoads {
    /// Knows no slot.
    pub(crate) fn new() -> Arc<SlotLoads> {
        Arc::new(SlotLoads { picker: Mutex::new(SlotPicker::new()), created: Instant::now() })
    }

    /// Picks a slot among `eligible` and counts a request there.
    pub(crate) fn pick(
        self: &Arc<Self>,
        eligible: &[HostId],
        preferred: Option<&str>,
    ) -> Option<SlotGuard> {
        let mut picker = self.picker.lock().unwrap();
        let now = self.created.elapsed();
        let host = picker.pick(eligible, preferred, now, &mut fastrand::Rng::new())?;
        picker.begin(&host);
        Some(SlotGuard { loads: self.clone(), host })
    }

    /// Forgets the hosts that `keep` does not name.
    pub(crate) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.picker.lock().unwrap().retain(is_known);
    }
}

/// One own request at a slot; it ends when the guard is dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    loads: Arc<SlotLoads>,
    /// The host of the slot.
    pub(crate) host: HostId,
}

impl SlotGuard {
    /// Notes the wait that the slot reported.
    pub(crate) fn record_wait(&self, wait: Duration) {
        self.loads.picker.lock().unwrap().record_wait(&self.host, wait);
    }

    /// Notes that the slot could not be reached.
    pub(crate) fn record_unreachable(&self) {
        let now = self.loads.created.elapsed();
        self.loads.picker.lock().unwrap().record_unreachable(&self.host, now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.loads.picker.lock().unwrap().end(&self.host);
    }
}
