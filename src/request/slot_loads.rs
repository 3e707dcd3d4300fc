//! Shares the loads of the slots that this entry host uses among all its requests.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{ids::HostId, request::slot_picker::SlotPicker};

/// A `SlotPicker` with a clock, shared by all requests of an entry host.
#[derive(Debug)]
pub(crate) struct SlotLoads {
    picker: Mutex<SlotPicker>,
    created: Instant,
}

impl SlotLoads {
    /// Creates the loads without any slot.
    pub(crate) fn new() -> Arc<SlotLoads> {
        Arc::new(SlotLoads { picker: Mutex::new(SlotPicker::new()), created: Instant::now() })
    }

    /// Picks a slot among `eligible` and counts a request at it until the guard is dropped.
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

    /// Removes the idle hosts for which `is_known` returns false.
    pub(crate) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.picker.lock().unwrap().retain(is_known);
    }
}

/// Counts one request of this entry host at a slot until it is dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    loads: Arc<SlotLoads>,
    /// Host of the slot.
    pub(crate) host: HostId,
}

impl SlotGuard {
    /// Records the expected wait that the slot reported.
    pub(crate) fn record_wait(&self, wait: Duration) {
        self.loads.picker.lock().unwrap().record_wait(&self.host, wait);
    }

    /// Records that the slot could not be reached, so that it is temporarily avoided.
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
