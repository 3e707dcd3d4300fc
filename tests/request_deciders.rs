//! Tests of the request path's logic without I/O, with many fixed random seeds.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crocustiller::{
    digest::Digest,
    ids::HostId,
    membership::{HostRole, HostState, MemberRecord, WeightsStatus},
    request::{
        order_entry_hosts, CallOutcome, Claim, ClaimBucket, ClaimChange, ClaimKey, ClaimResult,
        KeyError, Quarantine, QuarantineChange, QuarantineStatus, RetryBudget, SlotPicker,
        BUCKET_SPAN, MAX_CLOCK_SKEW,
    },
};
use uuid::Uuid;

const SEEDS: u64 = 1000;

/// Retries must not multiply an overload: beyond the reserve, they are at most a tenth of the
/// requests.
#[test]
fn retries_stay_within_budget() {
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut budget = RetryBudget::new();
        let (mut n_requests, mut n_retries) = (0, 0);
        for _ in 0..2000 {
            if random.u8(..100) < 60 {
                budget.deposit();
                n_requests += 1;
            }
            n_retries += u64::from(budget.try_withdraw());
            assert!(n_retries * 10 <= n_requests + 10 * RetryBudget::RESERVE, "seed {seed}");
        }
        assert!(n_retries * 11 >= n_requests, "seed {seed}: the budget allows too few retries");
    }
}

#[test]
fn pick_avoids_busy_and_dead() {
    let hosts: Vec<HostId> = (0..10).map(|it| format!("host-{it}")).collect();
    let now = Duration::from_secs(1);
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut picker = SlotPicker::new();
        picker.record_wait(&hosts[0], Duration::from_secs(9));
        picker.record_unreachable(&hosts[1], now);
        for _ in 0..50 {
            let host = picker.pick(&hosts, None, now, &mut random).unwrap();
            assert!(host != hosts[0] && host != hosts[1], "seed {seed}: {host}");
            picker.begin(&host);
        }
        let after = now + Duration::from_secs(10);
        let only = picker.pick(&hosts[1..2], None, after, &mut random);
        assert_eq!(only.as_ref(), Some(&hosts[1]), "the only eligible slot is picked");
        assert_eq!(picker.pick(&[], None, after, &mut random), None);
        let preferred = SlotPicker::new().pick(&hosts, Some("host-7"), now, &mut random);
        assert!(preferred.is_some());
    }
}

#[test]
fn picks_spread_evenly() {
    let hosts: Vec<HostId> = (0..8).map(|it| format!("host-{it}")).collect();
    let mut random = fastrand::Rng::with_seed(1);
    let mut picker = SlotPicker::new();
    let mut counts: BTreeMap<HostId, u32> = BTreeMap::new();
    for _ in 0..800 {
        let host = picker.pick(&hosts, None, Duration::ZERO, &mut random).unwrap();
        picker.begin(&host);
        *counts.entry(host).or_default() += 1;
    }
    assert!(counts.values().all(|it| (90..=110).contains(it)), "{counts:?}");
}

/// Callers use the first entry hosts of the list, which should be the near ones without all callers
/// using the same one.
#[test]
fn own_zone_hosts_first() {
    let mut firsts = HashSet::new();
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let own = entry_host_record(0);
        let live: Vec<MemberRecord> = (0..12).map(entry_host_record).collect();
        let addresses = order_entry_hosts(&own, &live, &mut random);
        assert_eq!(addresses.len(), 12);
        let distance = |it: &String| {
            let host = live.iter().find(|host| host.request_address.to_string() == *it).unwrap();
            (host.zone != own.zone, host.region != own.region)
        };
        let distances: Vec<(bool, bool)> = addresses.iter().map(distance).collect();
        assert!(distances.is_sorted(), "seed {seed}: {distances:?}");
        firsts.insert(addresses[0].clone());
    }
    assert_eq!(firsts.len(), 3, "each host of the own zone comes first for some seed");
}

#[test]
fn status_follows_crashes() {
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut quarantine = Quarantine::default();
        let mut crashed: BTreeMap<u8, HashSet<u8>> = BTreeMap::new();
        for _ in 0..100 {
            let (request, host) = (random.u8(..20), random.u8(..3));
            let fingerprint = Digest::of(&[request]);
            let change = if random.u8(..5) == 0 {
                crashed.remove(&request);
                QuarantineChange::Cleared { fingerprint }
            } else {
                crashed.entry(request).or_default().insert(host);
                QuarantineChange::Crashed { fingerprint, host: format!("host-{host}") }
            };
            quarantine.apply(&change);
            let applied_once = quarantine.clone();
            quarantine.apply(&change);
            assert_eq!(quarantine, applied_once, "seed {seed}: a change is idempotent");
            let expected = match crashed.get(&request).map_or(0, HashSet::len) {
                0 => QuarantineStatus::Clear,
                1 => QuarantineStatus::Suspect,
                _ => QuarantineStatus::Refused,
            };
            assert_eq!(quarantine.status_of(&fingerprint), expected, "seed {seed}");
        }
    }
}

/// Two slots that use different objects for the same key could both run its call.
#[test]
fn key_maps_to_one_object() {
    let window = Duration::from_secs(3600);
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let issued = Duration::from_millis(random.u64(10_000_000..2_000_000_000_000));
        let key = uuid_v7(issued, &mut random);
        let claim_key = |now| ClaimKey::new("ledger", "a", &key, 8, window, now);
        let first = claim_key(issued).unwrap();
        let start = first.bucket_start.unwrap();
        assert!(start <= issued && issued < start + BUCKET_SPAN);
        for _ in 0..20 {
            let now = issued + Duration::from_millis(random.u64(..3_600_000));
            assert_eq!(
                claim_key(now).unwrap(),
                first,
                "seed {seed}: the object does not depend on the time"
            );
        }
        assert_eq!(claim_key(issued + window + Duration::from_secs(1)), Err(KeyError::TooOld));
        let early = issued.saturating_sub(MAX_CLOCK_SKEW + Duration::from_secs(1));
        assert_eq!(claim_key(early), Err(KeyError::TooNew));
        assert_eq!(claim_key(early + Duration::from_secs(2)).unwrap(), first);
        let uppercase = ClaimKey::new("ledger", "a", &key.to_uppercase(), 8, window, issued);
        assert_eq!(uppercase.unwrap(), first, "the case of a key does not matter");
    }
}

/// Slots claim the same keys of one object by conditional updates. Responses may be lost, writes
/// delayed and reads stale, but at most one attempt gets each key.
#[test]
fn concurrent_claims_have_one_holder() {
    for seed in 0..SEEDS {
        ClaimRace::new(seed).run();
    }
}

/// A simulation of claimants that update one object concurrently.
struct ClaimRace {
    random: fastrand::Rng,
    /// All values that the object has had; the revision is the index plus one.
    values: Vec<ClaimBucket>,
    /// Writes that have not reached the platform yet: expected revision and new value.
    delayed: Vec<(usize, ClaimBucket)>,
    /// The claims that were granted, by entry key.
    holders: BTreeMap<String, HashSet<Uuid>>,
}

/// One attempt to claim a key.
struct Claimant {
    entry_key: String,
    claim: Claim,
    /// Revision and value of the last read; `None` if the claimant must read next.
    last_read: Option<(usize, ClaimBucket)>,
    is_done: bool,
}

impl ClaimRace {
    fn new(seed: u64) -> ClaimRace {
        ClaimRace {
            random: fastrand::Rng::with_seed(seed),
            values: vec![ClaimBucket::default()],
            delayed: Vec::new(),
            holders: BTreeMap::new(),
        }
    }

    fn run(mut self) {
        let mut claimants: Vec<Claimant> = (0..6).map(|idx| self.new_claimant(idx % 2)).collect();
        for _ in 0..400 {
            let idx = self.random.usize(..claimants.len());
            if !claimants[idx].is_done {
                self.step(&mut claimants[idx]);
            }
            if self.random.u8(..4) == 0 && !self.delayed.is_empty() {
                let write_idx = self.random.usize(..self.delayed.len());
                let (revision, value) = self.delayed.remove(write_idx);
                self.put(revision, value);
            }
        }
        for (entry_key, ids) in &self.holders {
            assert!(ids.len() <= 1, "{entry_key}: {ids:?}");
        }
    }

    fn new_claimant(&mut self, key: usize) -> Claimant {
        let id = Uuid::from_u128(self.random.u128(..));
        let claim = Claim {
            id,
            call_digest: Digest::of(b"call"),
            claimed_at_s: Duration::ZERO,
            outcome: None,
        };
        Claimant { entry_key: format!("key-{key}"), claim, last_read: None, is_done: false }
    }

    /// Lets `claimant` read a possibly stale value, or write its claim to the value that it read.
    ///
    /// On average, one of four writes is delayed and one loses its response.
    fn step(&mut self, claimant: &mut Claimant) {
        let Some((revision, bucket)) = claimant.last_read.take() else {
            let newest = self.values.len() - 1;
            let lag = self.random.usize(..3).min(newest);
            claimant.last_read = Some((newest - lag + 1, self.values[newest - lag].clone()));
            return;
        };
        let mut next = bucket.clone();
        let change = ClaimChange::Acquire {
            entry_key: claimant.entry_key.clone(),
            claim: claimant.claim.clone(),
        };
        let result = next.apply(&change);
        if next != bucket {
            match self.random.u8(..4) {
                0 => return self.delayed.push((revision, next)),
                1 => {
                    self.put(revision, next);
                    return;
                }
                _ => {
                    if !self.put(revision, next) {
                        return;
                    }
                }
            }
        }
        claimant.is_done = true;
        if result == ClaimResult::Acquired {
            self.holders.entry(claimant.entry_key.clone()).or_default().insert(claimant.claim.id);
        }
    }

    /// Writes `value` if the object is still at `revision`; returns `true` if it did.
    fn put(&mut self, revision: usize, value: ClaimBucket) -> bool {
        let is_current = revision == self.values.len();
        if is_current {
            self.values.push(value);
        }
        is_current
    }
}

/// A release that arrives after the outcome must not allow a second run.
#[test]
fn completed_claim_is_never_released() {
    let id = Uuid::from_u128(7);
    let entry_key = "a key".to_owned();
    let claim = Claim {
        id,
        call_digest: Digest::of(b"call"),
        claimed_at_s: Duration::from_secs(50),
        outcome: None,
    };
    let outcome = CallOutcome { status: 200, content_type: None, body: Some("done".to_owned()) };
    let mut bucket = ClaimBucket::default();
    let acquire = ClaimChange::Acquire { entry_key: entry_key.clone(), claim: claim.clone() };
    assert_eq!(bucket.apply(&acquire), ClaimResult::Acquired);
    let record =
        ClaimChange::RecordOutcome { entry_key: entry_key.clone(), id, outcome: outcome.clone() };
    assert_eq!(bucket.apply(&record), ClaimResult::Updated);
    let release = ClaimChange::Release { entry_key: entry_key.clone(), id };
    assert_eq!(bucket.apply(&release), ClaimResult::Updated);
    let other = Claim { id: Uuid::from_u128(8), ..claim.clone() };
    let second = ClaimChange::Acquire { entry_key, claim: other };
    let expected = Claim { outcome: Some(outcome), ..claim };
    assert_eq!(bucket.apply(&second), ClaimResult::AlreadyClaimed(expected));
    bucket.expire(Duration::from_secs(51));
    assert_eq!(bucket.apply(&second), ClaimResult::Acquired);
}

fn uuid_v7(issued: Duration, random: &mut fastrand::Rng) -> String {
    let bytes: [u8; 10] = std::array::from_fn(|_| random.u8(..));
    let issued_ms = issued.as_millis() as u64;
    uuid::Builder::from_unix_timestamp_millis(issued_ms, &bytes).into_uuid().to_string()
}

fn entry_host_record(idx: u16) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + idx));
    MemberRecord {
        host: format!("entry-{idx}"),
        role: HostRole::Entry,
        region: format!("region-{}", idx % 2),
        zone: format!("zone-{}", idx % 4),
        peer_address: address,
        request_address: address,
        operator_address: address,
        incarnation: 1,
        sequence: 1,
        state: HostState::Live,
        weights: WeightsStatus::default(),
    }
}
