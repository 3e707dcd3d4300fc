//! Picks the slot with the least expected wait among a few random ones.

use std::{collections::HashMap, time::Duration};

use crate::ids::HostId;

/// Wait that one own request since the last report is expected to add.
const WAIT_PER_IN_FLIGHT_REQUEST: Duration = Duration::from_millis(20);
/// Time for which a slot that could not be reached is avoided.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1500);

/// What an entry host knows of the load of one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotLoad {
    /// Wait that the slot last reported.
    pub reported_wait_ms: Duration,
    /// Own requests that are in progress there.
    pub n_in_flight: u32,
    /// Time, on the caller's clock, until which the slot is avoided.
    pub unreachable_until: Duration,
}

/// Loads of the slots that one entry host uses; times are passed in as a clock's reading.
#[derive(Clone, Debug, Default)]
pub struct SlotPicker {
    loads: HashMap<HostId, SlotLoad>,
}

impl SlotPicker {
    /// Knows no slot.
    pub fn new() -> SlotPicker {
        SlotPicker::default()
    }

    /// Picks one of `eligible`: the better of two random ones and of `preferred`, if named.
    ///
    /// Slots that are avoided are taken only when no other is eligible.
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

    /// Counts a request that goes to `host`.
    pub fn begin(&mut self, host: &str) {
        self.loads.entry(host.to_owned()).or_default().n_in_flight += 1;
    }

    /// Counts the end of a request at `host`.
    pub fn end(&mut self, host: &str) {
        if let Some(load) = self.loads.get_mut(host) {
            load.n_in_flight = load.n_in_flight.saturating_sub(1);
        }
    }

    /// Notes the wait that a slot reported.
    pub fn record_wait(&mut self, host: &str, wait: Duration) {
        self.loads.entry(host.to_owned()).or_default().reported_wait_ms = wait;
    }

    /// Notes that a slot could not be reached.
    pub fn record_unreachable(&mut self, host: &str, now: Duration) {
        self.loads.entry(host.to_owned()).or_default().unreachable_until =
            now + UNREACHABLE_BACKOFF;
    }

    /// Forgets idle hosts that `keep` does not name.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.loads.retain(|host, load| load.n_in_flight > 0 || is_known(host));
    }

    /// Number of hosts remembered.
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
