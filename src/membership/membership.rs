//! One process's view of the hosts, shared by its tasks.

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

/// The hosts as one process knows them; the own record changes only through `update_own`.
#[derive(Debug)]
pub struct Membership {
    table: Mutex<MemberTable>,
    reports: ReportTable,
    has_joined: AtomicBool,
    platform_addresses: Mutex<Vec<SocketAddr>>,
    changed: Event,
}

impl Membership {
    /// Starts a view that holds only the own record.
    pub fn new(own: MemberRecord) -> Membership {
        Membership {
            table: Mutex::new(MemberTable::new(own)),
            reports: ReportTable::default(),
            has_joined: AtomicBool::new(false),
            platform_addresses: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// The own record.
    pub fn own(&self) -> Arc<MemberRecord> {
        self.table.lock().unwrap().own().clone()
    }

    /// Records of all hosts that are not gone, in order of host id.
    pub fn records(&self) -> Vec<Arc<MemberRecord>> {
        self.table.lock().unwrap().present()
    }

    /// Records of gone hosts that are still remembered.
    pub fn gone(&self) -> Vec<Arc<MemberRecord>> {
        self.table.lock().unwrap().gone()
    }

    /// The record of one host, gone or not.
    pub fn record(&self, host: &str) -> Option<Arc<MemberRecord>> {
        self.table.lock().unwrap().record(host).cloned()
    }

    /// Records of hosts that take new work.
    pub fn live(&self) -> Vec<Arc<MemberRecord>> {
        let records = self.records();
        records.into_iter().filter(|it| it.state == HostState::Live).collect()
    }

    /// Charter numbers that slots reported to this entry host.
    pub fn reports(&self) -> &ReportTable {
        &self.reports
    }

    /// Changes the own record; a change raises its sequence and is passed on.
    pub fn update_own(&self, change: impl FnOnce(&mut MemberRecord)) {
        let is_changed = self.table.lock().unwrap().update_own(change);
        if is_changed {
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes the records that are newer than the held ones; says how many were.
    pub fn merge(&self, events: Vec<MemberRecord>) -> usize {
        let n_events = events.len();
        n_events - self.merge_events(events).len()
    }

    /// Takes the records that are newer than the held ones and gives the hosts of the others.
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

    /// Marks a probed host as suspect or gone; says whether that was news.
    pub(crate) fn mark(&self, probed: &MemberRecord, state: HostState) -> bool {
        let merged = self.table.lock().unwrap().mark(probed, state, Instant::now());
        let is_applied = merged == MergeOutcome::Applied;
        if is_applied {
            self.changed.notify(usize::MAX);
        }
        is_applied
    }

    /// Some records of the parts of the view whose hashes differ from `bucket_hashes`.
    pub(crate) fn differing(&self, bucket_hashes: &[u64]) -> Vec<MemberRecord> {
        let mut random = fastrand::Rng::new();
        self.with_table(|it| it.differing(bucket_hashes, MAX_DIFFERING_RECORDS, &mut random))
    }

    /// Runs `action` on the table.
    pub(crate) fn with_table<T>(&self, action: impl FnOnce(&mut MemberTable) -> T) -> T {
        action(&mut self.table.lock().unwrap())
    }

    /// Whether the process has taken the list of hosts from a peer, or found that none is up.
    pub fn has_joined(&self) -> bool {
        self.has_joined.load(Ordering::Relaxed)
    }

    /// Notes whether the view is worth acting on.
    pub(crate) fn set_joined(&self, has_joined: bool) {
        self.has_joined.store(has_joined, Ordering::Relaxed);
        self.changed.notify(usize::MAX);
    }

    /// Addresses of the platform's list of hosts, to join by when nobody else answers.
    pub(crate) fn platform_addresses(&self) -> Vec<SocketAddr> {
        self.platform_addresses.lock().unwrap().clone()
    }

    /// Notes addresses of the platform's list; it lags, so no host is taken for live by it.
    pub(crate) fn set_platform_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.platform_addresses.lock().unwrap() = addresses;
    }

    /// Listens for the next change; call before reading, then wait.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn merge_one(&self, event: MemberRecord, now: Instant) -> MergeOutcome {
        let host = event.host.clone();
        let state = event.state;
        let merged = self.table.lock().unwrap().merge(event, now);
        match merged {
            MergeOutcome::Applied if state >= HostState::Suspect => {
                log::info!("members: state changed host={host} state={state:?}");
            }
            MergeOutcome::Refuted => {
                log::warn!("members: own host was taken for {state:?}, refuted")
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
                "members: a newer process has the id of this host; this one takes no more work"
            );
        }
    }
}
