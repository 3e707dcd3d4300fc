//! The rules of the membership view: what replaces what, what is passed on and what is forgotten.
//!
//! Times are passed in, so that the rules can be tested without a process.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    ids::{HostId, Incarnation},
    membership::member_record::{HostState, MemberRecord},
};

/// Times that an event is passed on beyond the logarithm of the number of hosts.
const EXTRA_PASSES: u32 = 3;
/// Time for which a gone host is remembered, so that an old event can't bring it back.
const GONE_KEPT: Duration = Duration::from_secs(3600);
/// Gone hosts remembered at most; the longest gone are forgotten first.
const MAX_GONE: usize = 4096;

/// What became of a merged record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// The record was newer and is passed on.
    Taken,
    /// The record was known or older.
    Known,
    /// The record said that the own host is suspect or gone; the own incarnation was raised.
    Refuted,
    /// Another process took over the own host's id.
    Replaced,
}

/// The hosts as one process knows them.
#[derive(Debug)]
pub struct MemberTable {
    own: HostId,
    records: BTreeMap<HostId, Arc<MemberRecord>>,
    /// Time since which a host is suspect or gone.
    since: BTreeMap<HostId, Instant>,
    /// Passes left for each event.
    outbox: BTreeMap<HostId, u32>,
    hash: u64,
}

impl MemberTable {
    /// Starts a view that holds only the own record.
    pub fn new(own: MemberRecord) -> MemberTable {
        let mut table = MemberTable {
            own: own.host.clone(),
            records: BTreeMap::new(),
            since: BTreeMap::new(),
            outbox: BTreeMap::new(),
            hash: 0,
        };
        table.insert(own);
        table
    }

    /// The own record.
    pub fn own(&self) -> &Arc<MemberRecord> {
        &self.records[&self.own]
    }

    /// Records of all hosts that are not gone, in order of host id.
    pub fn present(&self) -> Vec<Arc<MemberRecord>> {
        self.records.values().filter(|it| it.state != HostState::Gone).cloned().collect()
    }

    /// Records of gone hosts that are still remembered.
    pub fn gone(&self) -> Vec<Arc<MemberRecord>> {
        self.records.values().filter(|it| it.state == HostState::Gone).cloned().collect()
    }

    /// The record of one host, gone or not.
    pub fn record(&self, host: &str) -> Option<&Arc<MemberRecord>> {
        self.records.get(host)
    }

    /// Suspect hosts with the time since which they are suspect.
    pub fn suspects(&self) -> Vec<(Arc<MemberRecord>, Instant)> {
        let suspects = self.records.values().filter(|it| it.state == HostState::Suspect);
        suspects.filter_map(|it| Some((it.clone(), *self.since.get(&it.host)?))).collect()
    }

    /// Hash of the present hosts that does not depend on the order in which they were learnt.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Changes the own record; says whether it differs now.
    pub fn update_own(&mut self, change: impl FnOnce(&mut MemberRecord)) -> bool {
        let old = self.own().clone();
        let mut new = (*old).clone();
        change(&mut new);
        if new == *old {
            return false;
        }
        new.sequence = old.sequence + 1;
        self.insert(new);
        true
    }

    /// Takes `event` if it is newer than what is known.
    pub fn merge(&mut self, event: MemberRecord, now: Instant) -> Merged {
        if event.host == self.own {
            return self.merge_own(&event);
        }
        if self.records.get(&event.host).is_some_and(|it| !event.is_newer_than(it)) {
            return Merged::Known;
        }
        self.track_since(&event, now);
        self.insert(event);
        Merged::Taken
    }

    /// Marks a host that was probed as `state`, unless it has told something newer meanwhile.
    pub fn mark(&mut self, probed: &MemberRecord, state: HostState, now: Instant) -> Merged {
        self.merge(MemberRecord { state, ..probed.clone() }, now)
    }

    /// Events to send now, the least passed on first; each counts as passed on once.
    pub fn take_events(&mut self, max_events: usize) -> Vec<MemberRecord> {
        let mut waiting: Vec<(u32, &HostId)> =
            self.outbox.iter().map(|(host, passes)| (*passes, host)).collect();
        waiting.sort_by_key(|it| std::cmp::Reverse(it.0));
        let hosts: Vec<HostId> =
            waiting.into_iter().take(max_events).map(|it| it.1.clone()).collect();
        for host in &hosts {
            self.reduce_passes(host, |passes| passes - 1);
        }
        hosts.iter().map(|it| (*self.records[it]).clone()).collect()
    }

    /// Halves the passes left of events that a peer knew already.
    pub fn note_known(&mut self, hosts: &[HostId]) {
        for host in hosts {
            self.reduce_passes(host, |passes| passes / 2);
        }
    }

    /// Forgets hosts that are gone for long.
    pub fn forget(&mut self, now: Instant) {
        let mut gone: Vec<(Instant, HostId)> = Vec::new();
        for record in self.records.values().filter(|it| it.state == HostState::Gone) {
            let since = self.since.get(&record.host).copied().unwrap_or(now);
            gone.push((since, record.host.clone()));
        }
        gone.sort();
        let n_over = gone.len().saturating_sub(MAX_GONE);
        for (idx, (since, host)) in gone.into_iter().enumerate() {
            if idx < n_over || now.saturating_duration_since(since) > GONE_KEPT {
                self.records.remove(&host);
                self.since.remove(&host);
                self.outbox.remove(&host);
            }
        }
    }

    /// Forgets all but the own record, as after a pause so long that the view may be worthless.
    pub fn restart(&mut self) {
        let own = (**self.own()).clone();
        *self = MemberTable::new(own);
    }

    /// Number of records held, gone ones too.
    pub fn n_records(&self) -> usize {
        self.records.len()
    }

    fn merge_own(&mut self, event: &MemberRecord) -> Merged {
        let own = self.own().clone();
        let is_other_process = event.peer_address != own.peer_address;
        if is_other_process && event.incarnation > own.incarnation {
            return Merged::Replaced;
        }
        let is_accused = matches!(event.state, HostState::Suspect | HostState::Gone);
        let must_refute = event.incarnation > own.incarnation
            || (event.incarnation == own.incarnation && is_accused);
        if !must_refute {
            return Merged::Known;
        }
        let incarnation: Incarnation = event.incarnation + 1;
        self.insert(MemberRecord { incarnation, sequence: 0, ..(*own).clone() });
        Merged::Refuted
    }

    fn track_since(&mut self, event: &MemberRecord, now: Instant) {
        let held = self.records.get(&event.host);
        match event.state {
            HostState::Suspect | HostState::Gone => {
                if held.is_none_or(|it| it.state != event.state) {
                    self.since.insert(event.host.clone(), now);
                }
            }
            HostState::Joining | HostState::Live | HostState::Leaving => {
                self.since.remove(&event.host);
            }
        }
    }

    fn insert(&mut self, record: MemberRecord) {
        self.hash ^= hash_of(&record);
        let host = record.host.clone();
        if let Some(old) = self.records.insert(host.clone(), Arc::new(record)) {
            self.hash ^= hash_of(&old);
        }
        let passes = self.passes();
        self.outbox.insert(host, passes);
    }

    fn passes(&self) -> u32 {
        self.records.len().max(1).ilog2() + 1 + EXTRA_PASSES
    }

    fn reduce_passes(&mut self, host: &HostId, reduce: impl Fn(u32) -> u32) {
        let Some(passes) = self.outbox.get_mut(host) else { return };
        *passes = reduce(*passes);
        if *passes == 0 {
            self.outbox.remove(host);
        }
    }
}

/// Part of a record in the view's hash; 0 for a gone host, so that forgetting it changes nothing.
fn hash_of(record: &MemberRecord) -> u64 {
    if record.state == HostState::Gone {
        return 0;
    }
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.host.as_bytes());
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&record.sequence.to_le_bytes());
    hasher.update(&[record.state as u8]);
    let mut first = [0u8; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}
