//! The rules of the membership view: precedence of records, gossip of events and expiry.
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

/// The number of transmissions of an event beyond the binary logarithm of the number of hosts.
const EXTRA_TRANSMISSIONS: u32 = 4;
/// The number of extra transmissions counted for an event that the peer already had.
const KNOWN_EVENT_TRANSMISSIONS: u32 = 1;
/// The number of buckets of the view whose hashes are compared to find differing records.
const BUCKETS: usize = 64;
/// The time for which a gone host is kept, so that an old event can't make it present again.
const GONE_RETENTION: Duration = Duration::from_secs(3600);
/// The maximum number of gone hosts that are kept; those gone longest are forgotten first.
const MAX_GONE: usize = 4096;

/// The result of merging a record into the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was newer and is sent on through gossip.
    Applied,
    /// Only the status of the weights was newer; it was applied but is not sent on.
    Weights,
    /// The record was already known or older.
    Known,
    /// The record reported this host as suspect or gone, or with a greater incarnation; the
    /// incarnation of this host was raised above it.
    Refuted,
    /// Another process with a greater incarnation uses the id of this host.
    Replaced,
}

/// A membership view: the latest known record of each host and the events still to gossip.
#[derive(Debug)]
pub struct MemberTable {
    own: HostId,
    records: BTreeMap<HostId, Arc<MemberRecord>>,
    /// The time since which each suspect or gone host is in this state.
    since: BTreeMap<HostId, Instant>,
    /// The number of transmissions of each event that is still sent to peers.
    outbox: BTreeMap<HostId, u32>,
    bucket_hashes: [u64; BUCKETS],
}

impl MemberTable {
    /// Creates a view with only the record of this host.
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

    /// Returns the record of this host.
    pub fn own(&self) -> &Arc<MemberRecord> {
        &self.records[&self.own]
    }

    /// Returns the records of all hosts that are not gone, in order of host id.
    pub fn present(&self) -> Vec<Arc<MemberRecord>> {
        self.records.values().filter(|it| it.state != HostState::Gone).cloned().collect()
    }

    /// Returns the records of gone hosts that are not yet forgotten.
    pub fn gone(&self) -> Vec<Arc<MemberRecord>> {
        self.records.values().filter(|it| it.state == HostState::Gone).cloned().collect()
    }

    /// Returns the record of one host, also if it is gone.
    pub fn record(&self, host: &str) -> Option<&Arc<MemberRecord>> {
        self.records.get(host)
    }

    /// Returns the suspect hosts, each with the time since which it is suspect.
    pub fn suspects(&self) -> Vec<(Arc<MemberRecord>, Instant)> {
        let suspects = self.records.values().filter(|it| it.state == HostState::Suspect);
        suspects.filter_map(|it| Some((it.clone(), *self.since.get(&it.host)?))).collect()
    }

    /// Returns a hash of the present hosts, independent of the order in which they were added.
    pub fn hash(&self) -> u64 {
        self.bucket_hashes.iter().fold(0, |hash, it| hash ^ it)
    }

    /// Returns the hash of each bucket of the view.
    pub fn bucket_hashes(&self) -> Vec<u64> {
        self.bucket_hashes.to_vec()
    }

    /// Returns up to `max_records` random records, including gone hosts, of differing buckets.
    ///
    /// A bucket differs if its hash is not the one in `peer_hashes`.
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

    /// Changes the record of this host; returns `true` if the record differs afterwards.
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
        if new.eq_ignoring_weights(&old) {
            self.replace_weights(&new);
            return true;
        }
        new.sequence = old.sequence + 1;
        self.insert(new);
        true
    }

    /// Applies `event` if it is newer than the current record.
    ///
    /// The status of the weights has its own sequence number. Entry hosts receive it from the host
    /// itself and gossip does not spread it, so an event that is newer otherwise may have an older
    /// status.
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

    /// Sets the state of a probed host, unless a newer record than `probed` arrived meanwhile.
    pub fn mark(&mut self, probed: &MemberRecord, state: HostState, now: Instant) -> MergeOutcome {
        self.merge(MemberRecord { state, ..probed.clone() }, now)
    }

    /// Returns the events to send now, those with the fewest transmissions first.
    ///
    /// Each returned event counts as transmitted once.
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

    /// Counts extra transmissions for events that a peer already had, so that they are sent fewer
    /// times.
    pub fn count_known_events(&mut self, hosts: &[HostId]) {
        for host in hosts {
            self.count_transmissions(host, KNOWN_EVENT_TRANSMISSIONS);
        }
    }

    /// Removes hosts that have been gone for longer than `GONE_RETENTION`, and those gone longest
    /// if there are more than `MAX_GONE`.
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

    /// Removes all records but that of this host, after a pause that has made the view outdated.
    pub fn reset(&mut self) {
        let own = (**self.own()).clone();
        *self = MemberTable::new(own);
    }

    /// Returns the number of records, including those of gone hosts.
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

    /// Applies only the status of the weights, which is neither hashed nor sent on through gossip.
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

/// Returns the hash of one record; 0 for a gone host, so that its removal keeps the view's hash.
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
