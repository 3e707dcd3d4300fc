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
const EXTRA_TRANSMISSIONS: u32 = 4;
/// Passes that count for one that told a peer nothing new, beside itself.
const KNOWN_EVENT_TRANSMISSIONS: u32 = 1;
/// Parts of the view whose hashes are compared to find what differs.
const BUCKETS: usize = 64;
/// Time for which a gone host is remembered, so that an old event can't bring it back.
const GONE_RETENTION: Duration = Duration::from_secs(3600);
/// Gone hosts remembered at most; the longest gone are forgotten first.
const MAX_GONE: usize = 4096;

/// What became of a merged record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was newer and is passed on.
    Applied,
    /// Only the status of the weights was newer; it is not passed on.
    Weights,
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
    /// Times that each event was passed on.
    outbox: BTreeMap<HostId, u32>,
    bucket_hashes: [u64; BUCKETS],
}

impl MemberTable {
    /// Starts a view that holds only the own record.
    pub fn new(own: MemberRecord) -> MemberTable {
        let mut table = MemberTable {
            own: own.host.clone(),
            records: BTreeMap::new(),
            since: BTreeMap::new(),
            outbox: BTreeMap::new(),
            bucket_hashes: [0; BUCKETS],
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
        self.bucket_hashes.iter().fold(0, |hash, it| hash ^ it)
    }

    /// Hashes of the parts of the view.
    pub fn bucket_hashes(&self) -> Vec<u64> {
        self.bucket_hashes.to_vec()
    }

    /// At most `max_records` records, gone ones too, of the parts whose hashes differ from `theirs`.
    pub fn differing(
        &self,
        peer_hashes: &[u64],
        max_records: usize,
        random: &mut fastrand::Rng,
    ) -> Vec<MemberRecord> {
        let differs = |host: &str| {
            let bucket = bucket_of(host);
            peer_hashes.get(bucket) != Some(&self.bucket_hashes[bucket])
        };
        let records = self.records.values().filter(|it| differs(&it.host));
        let mut records: Vec<&Arc<MemberRecord>> = records.collect();
        random.shuffle(&mut records);
        records.into_iter().take(max_records).map(|it| (**it).clone()).collect()
    }

    /// Changes the own record; says whether it differs now.
    pub fn update_own(&mut self, change: impl FnOnce(&mut MemberRecord)) -> bool {
        let old = self.own().clone();
        let mut new = (*old).clone();
        change(&mut new);
        if new == *old {
            return false;
        }
        if new.weights != old.weights {
            new.weights.sequence = old.weights.sequence + 1;
        }
        if new.differs_in_weights_only(&old) {
            self.replace_weights(&new);
            return true;
        }
        new.sequence = old.sequence + 1;
        self.insert(new);
        true
    }

    /// Takes `event` if it is newer than what is known.
    ///
    /// The status of the weights goes by its own order: entry hosts get it from the host itself
    /// and it is not passed on, so an event may carry an older one.
    pub fn merge(&mut self, mut event: MemberRecord, now: Instant) -> MergeOutcome {
        if event.host == self.own {
            return self.merge_own(&event);
        }
        if let Some(current) = self.records.get(&event.host).cloned() {
            let has_newer_weights = event.has_newer_weights(&current);
            if !event.is_newer_than(&current) {
                if has_newer_weights && event.incarnation == current.incarnation {
                    self.replace_weights(&event);
                    return MergeOutcome::Weights;
                }
                return MergeOutcome::Known;
            }
            if !has_newer_weights && event.incarnation == current.incarnation {
                event.weights = current.weights.clone();
            }
        }
        self.update_state_since(&event, now);
        self.insert(event);
        MergeOutcome::Applied
    }

    /// Marks a host that was probed as `state`, unless it has told something newer meanwhile.
    pub fn mark(&mut self, probed: &MemberRecord, state: HostState, now: Instant) -> MergeOutcome {
        self.merge(MemberRecord { state, ..probed.clone() }, now)
    }

    /// Events to send now, the least passed on first; each counts as passed on once.
    pub fn next_events(&mut self, max_events: usize) -> Vec<MemberRecord> {
        let mut waiting: Vec<(u32, &HostId)> =
            self.outbox.iter().map(|(host, n_transmissions)| (*n_transmissions, host)).collect();
        waiting.sort();
        let hosts: Vec<HostId> =
            waiting.into_iter().take(max_events).map(|it| it.1.clone()).collect();
        for host in &hosts {
            self.count_transmissions(host, 1);
        }
        hosts.iter().map(|it| (*self.records[it]).clone()).collect()
    }

    /// Counts events that a peer knew already as passed on more often, so that they end sooner.
    pub fn count_known_events(&mut self, hosts: &[HostId]) {
        for host in hosts {
            self.count_transmissions(host, KNOWN_EVENT_TRANSMISSIONS);
        }
    }

    /// Forgets hosts that are gone for long.
    pub fn forget_expired(&mut self, now: Instant) {
        let mut gone: Vec<(Instant, HostId)> = Vec::new();
        for record in self.records.values().filter(|it| it.state == HostState::Gone) {
            let since = self.since.get(&record.host).copied().unwrap_or(now);
            gone.push((since, record.host.clone()));
        }
        gone.sort();
        let n_excess = gone.len().saturating_sub(MAX_GONE);
        for (idx, (since, host)) in gone.into_iter().enumerate() {
            if idx < n_excess || now.saturating_duration_since(since) > GONE_RETENTION {
                self.records.remove(&host);
                self.since.remove(&host);
                self.outbox.remove(&host);
            }
        }
    }

    /// Forgets all but the own record, as after a pause so long that the view may be worthless.
    pub fn reset(&mut self) {
        let own = (**self.own()).clone();
        *self = MemberTable::new(own);
    }

    /// Number of records held, gone ones too.
    pub fn n_records(&self) -> usize {
        self.records.len()
    }

    fn merge_own(&mut self, event: &MemberRecord) -> MergeOutcome {
        let own = self.own().clone();
        let is_other_process = event.peer_address != own.peer_address;
        if is_other_process && event.incarnation > own.incarnation {
            return MergeOutcome::Replaced;
        }
        let is_reported_down = matches!(event.state, HostState::Suspect | HostState::Gone);
        let must_refute = event.incarnation > own.incarnation
            || (event.incarnation == own.incarnation && is_reported_down);
        if !must_refute {
            return MergeOutcome::Known;
        }
        let incarnation: Incarnation = event.incarnation + 1;
        self.insert(MemberRecord { incarnation, sequence: 0, ..(*own).clone() });
        MergeOutcome::Refuted
    }

    fn update_state_since(&mut self, event: &MemberRecord, now: Instant) {
        let current = self.records.get(&event.host);
        match event.state {
            HostState::Suspect | HostState::Gone => {
                if current.is_none_or(|it| it.state != event.state) {
                    self.since.insert(event.host.clone(), now);
                }
            }
            HostState::Joining | HostState::Live | HostState::Leaving => {
                self.since.remove(&event.host);
            }
        }
    }

    /// Takes the status of the weights only, which is neither hashed nor passed on.
    fn replace_weights(&mut self, newer: &MemberRecord) {
        let Some(current) = self.records.get_mut(&newer.host) else { return };
        let weights = newer.weights.clone();
        *current = Arc::new(MemberRecord { weights, ..(**current).clone() });
    }

    fn insert(&mut self, record: MemberRecord) {
        let host = record.host.clone();
        let bucket = &mut self.bucket_hashes[bucket_of(&host)];
        *bucket ^= hash_of(&record);
        if let Some(old) = self.records.insert(host.clone(), Arc::new(record)) {
            *bucket ^= hash_of(&old);
        }
        self.outbox.insert(host, 0);
    }

    fn count_transmissions(&mut self, host: &HostId, n_more: u32) {
        let max_transmissions = self.records.len().max(1).ilog2() + EXTRA_TRANSMISSIONS;
        let Some(n_transmissions) = self.outbox.get_mut(host) else { return };
        *n_transmissions += n_more;
        if *n_transmissions >= max_transmissions {
            self.outbox.remove(host);
        }
    }
}

fn bucket_of(host: &str) -> usize {
    let hash = blake3::hash(host.as_bytes());
    usize::from(hash.as_bytes()[0]) % BUCKETS
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
