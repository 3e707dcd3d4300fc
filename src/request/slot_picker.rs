//! Picks the slot with the least expected wait among two random ones and a preferred one.

use std::{collections::HashMap, time::Duration};

use crate::ids::HostId;

/// Expected wait that each request in flight from this entry host adds to the reported wait.
const WAIT_PER_IN_FLIGHT_REQUEST: Duration = Duration::from_millis(20);
/// Time for which a slot is avoided after it could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1500);

/// The load of one slot, as last known to an entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotLoad {
    /// Expected wait that the slot last reported.
    pub reported_wait_ms: Duration,
    /// Number of requests of this entry host that are in flight at the slot.
    pub n_in_flight: u32,
    /// Time, on the caller's clock, until which the slot counts as unreachable.
    pub unreachable_until: Duration,
}

/// Balances the requests of one entry host over the slots by their expected wait.
///
/// A slot that could not be reached is temporarily avoided. Times are passed in, as readings of the
/// caller's clock.
#[derive(Clone, Debug, Default)]
pub struct SlotPicker {
    loads: HashMap<HostId, SlotLoad>,
}

impl SlotPicker {
    /// Creates a picker without any slot.
    pub fn new() -> SlotPicker {
        SlotPicker::default()
    }

    /// Returns the slot with the least expected wait among two random ones of `eligible` and
    /// `preferred`, if that is eligible.
    ///
    /// Unreachable slots are picked only when no other is eligible.
    pub fn pick(
        &self,
        eligible: &[HostId],
        preferred: Option<&str>,
        now: Duration,
        random: &mut fastrand::Rng,
    ) -> Option<HostId> {
        let is_reachable = |it: &&HostId| self.load(it).unreachable_until <= now;
        let reachable: Vec<&HostId> = eligible.iter().filter(is_reachable).collect();
        let hosts = if reachable.is_empty() { eligible.iter().collect() } else { reachable };
        if hosts.is_empty() {
            return None;
        }
        let first = random.usize(..hosts.len());
        let mut candidates = vec![hosts[first]];
        if hosts.len() > 1 {
            let step = random.usize(1..hosts.len());
            candidates.push(hosts[(first + step) % hosts.len()]);
        }
        candidates.extend(hosts.iter().find(|it| Some(it.as_str()) == preferred));
        candidates.into_iter().min_by_key(|it| self.expected_wait(it)).cloned()
    }

    /// Counts the start of a request at `host`.
    pub fn begin(&mut self, host: &str) {
        self.loads.entry(host.to_owned()).or_default().n_in_flight += 1;
    }

    /// Counts the end of a request at `host`.
    pub fn end(&mut self, host: &str) {
        if let Some(load) = self.loads.get_mut(host) {
            load.n_in_flight = load.n_in_flight.saturating_sub(1);
        }
    }

    /// Records the expected wait that a slot reported.
    pub fn record_wait(&mut self, host: &str, wait: Duration) {
        self.loads.entry(host.to_owned()).or_default().reported_wait_ms = wait;
    }

    /// Records that a slot could not be reached.
    pub fn record_unreachable(&mut self, host: &str, now: Duration) {
        self.loads.entry(host.to_owned()).or_default().unreachable_until =
            now + UNREACHABLE_BACKOFF;
    }

    /// Removes the idle hosts for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.loads.retain(|host, load| load.n_in_flight > 0 || is_known(host));
    }

    /// Returns the number of hosts whose load is kept.
    pub fn n_hosts(&self) -> usize {
        self.loads.len()
    }

    fn load(&self, host: &str) -> SlotLoad {
        self.loads.get(host).copied().unwrap_or_default()
    }

    fn expected_wait(&self, host: &str) -> Duration {
        let load = self.load(host);
        load.reported_wait_ms + WAIT_PER_IN_FLIGHT_REQUEST * load.n_in_flight
    }
}
