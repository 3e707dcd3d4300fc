//! The membership view of one process, shared by its tasks.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Instant,
};

use event_listener::{Event, EventListener};

use crate::{
    ids::HostId,
    membership::{
        gossip::MAX_DIFFERING_RECORDS,
        member_record::{HostState, MemberRecord},
        member_table::{MemberTable, MergeOutcome},
        report_table::ReportTable,
    },
};

/// A shared membership view that notifies its listeners of changes.
///
/// The record of this host changes through `update_own`, and when a suspicion of it is refuted.
#[derive(Debug)]
pub struct Membership {
    table: Mutex<MemberTable>,
    reports: ReportTable,
    has_joined: AtomicBool,
    platform_addresses: Mutex<Vec<SocketAddr>>,
    changed: Event,
}

impl Membership {
    /// Creates a view with only the record of this host.
    pub fn new(own: MemberRecord) -> Membership {
        Membership {
            table: Mutex::new(MemberTable::new(own)),
            reports: ReportTable::default(),
            has_joined: AtomicBool::new(false),
            platform_addresses: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// Returns the record of this host.
    pub fn own(&self) -> Arc<MemberRecord> {
        self.table.lock().unwrap().own().clone()
    }

    /// Returns the records of all hosts that are not gone, in order of host id.
    pub fn records(&self) -> Vec<Arc<MemberRecord>> {
        self.table.lock().unwrap().present()
    }

    /// Returns the records of gone hosts that are not yet forgotten.
    pub fn gone(&self) -> Vec<Arc<MemberRecord>> {
        self.table.lock().unwrap().gone()
    }

    /// Returns the record of one host, also if it is gone.
    pub fn record(&self, host: &str) -> Option<Arc<MemberRecord>> {
        self.table.lock().unwrap().record(host).cloned()
    }

    /// Returns the records of hosts that accept new work.
    pub fn live(&self) -> Vec<Arc<MemberRecord>> {
        let records = self.records();
        records.into_iter().filter(|it| it.state == HostState::Live).collect()
    }

    /// Returns the charter numbers that hosts reported to this entry host.
    pub fn reports(&self) -> &ReportTable {
        &self.reports
    }

    /// Changes the record of this host.
    ///
    /// An actual change increments a sequence number and notifies listeners. Gossip sends it to
    /// other hosts, except a change of the weights, which the reporter sends to entry hosts.
    pub fn update_own(&self, change: impl FnOnce(&mut MemberRecord)) {
        let is_changed = self.table.lock().unwrap().update_own(change);
        if is_changed {
            self.changed.notify(usize::MAX);
        }
    }

    /// Merges `events` into the view; returns the number of records that were newer.
    pub fn merge(&self, events: Vec<MemberRecord>) -> usize {
        let n_events = events.len();
        n_events - self.merge_events(events).len()
    }

    /// Merges `events` into the view; returns the hosts whose events are not sent on by gossip.
    ///
    /// Their events were already known, or only the status of the weights was newer.
    pub(crate) fn merge_events(&self, events: Vec<MemberRecord>) -> Vec<HostId> {
        let now = Instant::now();
        let mut already_known = Vec::new();
        let mut is_changed = false;
        for event in events {
            let host = event.host.clone();
            match self.merge_one(event, now) {
                MergeOutcome::Known => already_known.push(host),
                MergeOutcome::Weights => {
                    already_known.push(host);
                    is_changed = true;
                }
                MergeOutcome::Applied | MergeOutcome::Refuted | MergeOutcome::Replaced => {
                    is_changed = true
                }
            }
        }
        if is_changed {
            self.changed.notify(usize::MAX);
        }
        already_known
    }

    /// Marks a probed host as suspect or gone; returns `true` if this changed its record.
    pub(crate) fn mark(&self, probed: &MemberRecord, state: HostState) -> bool {
        let merged = self.table.lock().unwrap().mark(probed, state, Instant::now());
        let is_applied = merged == MergeOutcome::Applied;
        if is_applied {
            self.changed.notify(usize::MAX);
        }
        is_applied
    }

    /// Returns up to `MAX_DIFFERING_RECORDS` records of buckets that differ from `bucket_hashes`.
    pub(crate) fn differing(&self, bucket_hashes: &[u64]) -> Vec<MemberRecord> {
        let mut random = fastrand::Rng::new();
        self.with_table(|it| it.differing(bucket_hashes, MAX_DIFFERING_RECORDS, &mut random))
    }

    /// Runs `action` on the table under its lock.
    pub(crate) fn with_table<T>(&self, action: impl FnOnce(&mut MemberTable) -> T) -> T {
        action(&mut self.table.lock().unwrap())
    }

    /// Returns `true` if the process has joined, or has given up waiting for a peer to respond.
    pub fn has_joined(&self) -> bool {
        self.has_joined.load(Ordering::Relaxed)
    }

    /// Sets the result of `has_joined`, which shows whether the view is complete enough to act on.
    pub(crate) fn set_joined(&self, has_joined: bool) {
        self.has_joined.store(has_joined, Ordering::Relaxed);
        self.changed.notify(usize::MAX);
    }

    /// Returns the addresses in the platform's list of hosts, which serve as further seed
    /// addresses.
    pub(crate) fn platform_addresses(&self) -> Vec<SocketAddr> {
        self.platform_addresses.lock().unwrap().clone()
    }

    /// Sets the addresses in the platform's list of hosts.
    ///
    /// The list lags behind, so it makes no host live in this view.
    pub(crate) fn set_platform_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.platform_addresses.lock().unwrap() = addresses;
    }

    /// Returns a listener for the next change.
    ///
    /// Call this before reading the view, so that no change between read and wait is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn merge_one(&self, event: MemberRecord, now: Instant) -> MergeOutcome {
        let host = event.host.clone();
        let state = event.state;
        let merged = self.table.lock().unwrap().merge(event, now);
        match merged {
            MergeOutcome::Applied if state >= HostState::Suspect => {
                log::info!("members: host state changed host={host} state={state:?}");
            }
            MergeOutcome::Refuted => {
                log::warn!("members: refuted a false report about this host state={state:?}")
            }
            MergeOutcome::Replaced => self.yield_to_replacement(),
            MergeOutcome::Applied | MergeOutcome::Weights | MergeOutcome::Known => {}
        }
        merged
    }

    fn yield_to_replacement(&self) {
        let is_new = self.own().state != HostState::Leaving;
        self.update_own(|it| it.state = HostState::Leaving);
        if is_new {
            log::error!(
                "members: a newer process uses the id of this host, so this process accepts no more work; give each host its own id"
            );
        }
    }
}
