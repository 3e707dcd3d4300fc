//! The membership table: precedence of records, refutation, expiry, and convergence.

use std::time::{Duration, Instant};

use crocustiller::membership::{
    classify_probes, confirm_delay, HostRole, HostState, MemberRecord, MemberTable, MergeOutcome,
    Reachability, WeightsStatus,
};
use crocustiller::peer::ProbeResponse;

/// Number of seeded runs.
const N_SEEDS: u64 = 300;
/// Number of hosts of a seeded run.
const N_HOSTS: usize = 24;
/// Number of rounds within which all tables must be equal after the last change.
const MAX_CONVERGENCE_ROUNDS: usize = 200;

#[test]
fn newer_record_replaces() {
    use HostState::{Gone, Joining, Leaving, Live, Suspect};
    check_merge((5, 1, Live), (5, 2, Live), MergeOutcome::Applied);
    check_merge((5, 2, Live), (5, 1, Live), MergeOutcome::Known);
    check_merge((5, 1, Joining), (5, 1, Live), MergeOutcome::Applied);
    check_merge((5, 1, Live), (5, 1, Suspect), MergeOutcome::Applied);
    check_merge((5, 1, Suspect), (5, 1, Live), MergeOutcome::Known);
    check_merge((5, 1, Suspect), (5, 2, Live), MergeOutcome::Applied);
    check_merge((5, 1, Gone), (5, 1, Suspect), MergeOutcome::Known);
    check_merge((5, 1, Gone), (6, 0, Live), MergeOutcome::Applied);
    check_merge((6, 0, Live), (5, 9, Gone), MergeOutcome::Known);
    check_merge((5, 1, Leaving), (5, 1, Suspect), MergeOutcome::Known);
    check_merge((5, 1, Leaving), (5, 1, Gone), MergeOutcome::Applied);
}

#[test]
fn weights_status_is_ordered_separately() {
    let now = Instant::now();
    let mut own = MemberTable::new(record("b", 5, 1, HostState::Live));
    let mut entry_host = MemberTable::new(record("a", 1, 0, HostState::Live));
    entry_host.merge((**own.own()).clone(), now);
    let hash = entry_host.hash();
    own.update_own(|it| it.weights.switch_number = 7);
    assert_eq!(own.own().sequence, 1, "a change of the weights status is not a membership event");
    let with_weights = (**own.own()).clone();
    assert_eq!(entry_host.merge(with_weights.clone(), now), MergeOutcome::Weights);
    assert_eq!(entry_host.merge(with_weights, now), MergeOutcome::Known);
    assert_eq!(entry_host.hash(), hash);
    let suspect = record("b", 5, 1, HostState::Suspect);
    assert_eq!(entry_host.merge(suspect, now), MergeOutcome::Applied);
    assert_eq!(
        entry_host.record("b").unwrap().weights.switch_number,
        7,
        "the newer weights status is kept"
    );
    let restarted = record("b", 6, 0, HostState::Joining);
    assert_eq!(entry_host.merge(restarted, now), MergeOutcome::Applied);
    assert_eq!(
        entry_host.record("b").unwrap().weights.switch_number,
        0,
        "a restarted host has no switch number"
    );
}

#[test]
fn own_host_refutes_false_reports() {
    use HostState::{Gone, Live, Suspect};
    check_own((5, 3, Suspect), MergeOutcome::Refuted, 6);
    check_own((5, 9, Gone), MergeOutcome::Refuted, 6);
    check_own((9, 0, Gone), MergeOutcome::Refuted, 10);
    check_own((9, 0, Live), MergeOutcome::Refuted, 10);
    check_own((4, 9, Gone), MergeOutcome::Known, 5);
    check_own((5, 9, Live), MergeOutcome::Known, 5);
}

#[test]
fn newer_process_replaces_own_record() {
    let mut table = MemberTable::new(record("a", 5, 1, HostState::Live));
    let other = MemberRecord {
        peer_address: ([127, 0, 0, 2], 9).into(),
        ..record("a", 6, 0, HostState::Live)
    };
    assert_eq!(table.merge(other, Instant::now()), MergeOutcome::Replaced);
    assert_eq!(table.own().incarnation, 5);
}

#[test]
fn gone_host_stays_gone() {
    let now = Instant::now();
    let mut table = MemberTable::new(record("a", 1, 0, HostState::Live));
    table.merge(record("b", 5, 2, HostState::Live), now);
    let probed = record("b", 5, 2, HostState::Live);
    assert_eq!(table.mark(&probed, HostState::Gone, now), MergeOutcome::Applied);
    assert_eq!(table.merge(probed.clone(), now + minutes(30)), MergeOutcome::Known);
    table.forget_expired(now + minutes(59));
    assert_eq!(table.n_records(), 2);
    assert_eq!(table.merge(probed, now + minutes(59)), MergeOutcome::Known);
    table.forget_expired(now + minutes(61));
    assert_eq!(table.n_records(), 1);
}

#[test]
fn table_size_stays_bounded() {
    let now = Instant::now();
    let mut table = MemberTable::new(record("a", 1, 0, HostState::Live));
    for idx in 0..10_000 {
        table.merge(record(&format!("h{idx}"), 1, 0, HostState::Gone), now);
        if idx % 1000 == 999 {
            table.forget_expired(now);
        }
    }
    assert!(table.n_records() <= 4097, "{} records", table.n_records());
    assert_eq!(table.present().len(), 1);
}

#[test]
fn hash_ignores_order_and_gone() {
    let now = Instant::now();
    let records: Vec<MemberRecord> =
        (0..20).map(|idx| record(&format!("h{idx}"), idx, 0, HostState::Live)).collect();
    let mut forward = MemberTable::new(record("a", 1, 0, HostState::Live));
    let mut backward = MemberTable::new(record("a", 1, 0, HostState::Live));
    for idx in 0..20 {
        forward.merge(records[idx].clone(), now);
        backward.merge(records[19 - idx].clone(), now);
    }
    assert_eq!(forward.hash(), backward.hash());
    backward.merge(record("x", 1, 0, HostState::Gone), now);
    assert_eq!(forward.hash(), backward.hash());
    backward.merge(record("h3", 99, 0, HostState::Live), now);
    assert_ne!(forward.hash(), backward.hash());
}

#[test]
fn probes_classify_reachability() {
    use ProbeResponse::{Alive, Silent};
    check_classify_probes(3, &[None, Some(Silent), Some(Alive)], Reachability::Alive);
    check_classify_probes(
        3,
        &[Some(Silent), Some(Silent), Some(Silent)],
        Reachability::Unreachable,
    );
    check_classify_probes(3, &[None, Some(Silent), None], Reachability::Unreachable);
    check_classify_probes(3, &[None, None, None], Reachability::Inconclusive);
    check_classify_probes(0, &[], Reachability::Unreachable);
    assert_eq!(confirm_delay(0), confirm_delay(2));
    assert!(confirm_delay(3) > confirm_delay(2));
}

/// Guards against tables that stay different, or keep a running host as suspect or gone, after
/// random changes, false suspicions and lost messages.
#[test]
fn views_converge() {
    for seed in 0..N_SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut tables = joined_tables();
        for _ in 0..N_HOSTS * 20 {
            apply_random_change(&mut tables, &mut random);
            exchange(&mut tables, &mut random, 30);
        }
        let n_rounds = (0..MAX_CONVERGENCE_ROUNDS).find(|_| {
            for _ in 0..N_HOSTS {
                exchange(&mut tables, &mut random, 0);
            }
            tables.iter().all(|it| it.hash() == tables[0].hash())
        });
        assert!(n_rounds.is_some(), "seed {seed}: the tables differ");
        for table in &tables {
            let n_live = table.present().iter().filter(|it| it.state == HostState::Live).count();
            assert_eq!(
                n_live,
                N_HOSTS,
                "seed {seed}: live hosts in the table of {}",
                table.own().host
            );
        }
    }
}

fn joined_tables() -> Vec<MemberTable> {
    let records: Vec<MemberRecord> =
        (0..N_HOSTS).map(|idx| record(&format!("h{idx}"), 1, 0, HostState::Live)).collect();
    let mut tables: Vec<MemberTable> =
        records.iter().map(|it| MemberTable::new(it.clone())).collect();
    for table in &mut tables {
        for record in &records {
            table.merge(record.clone(), Instant::now());
        }
    }
    tables
}

/// Changes the own record of a random host, or lets it wrongly mark another as suspect or gone.
fn apply_random_change(tables: &mut [MemberTable], random: &mut fastrand::Rng) {
    let idx = random.usize(0..N_HOSTS);
    match random.u8(0..10) {
        0 => {
            tables[idx].update_own(|it| it.zone.push('z'));
        }
        1 => mark_random_host(&mut tables[idx], random, HostState::Suspect),
        2 => mark_random_host(&mut tables[idx], random, HostState::Gone),
        _ => {}
    }
}

fn mark_random_host(table: &mut MemberTable, random: &mut fastrand::Rng, state: HostState) {
    let target = table.record(&format!("h{}", random.usize(0..N_HOSTS))).cloned();
    if let Some(target) = target {
        table.mark(&target, state, Instant::now());
    }
}

/// Does one gossip exchange between two random hosts, which may be lost. If the hashes of their
/// tables differ, the records that differ are sent back too.
fn exchange(tables: &mut [MemberTable], random: &mut fastrand::Rng, loss_percent: u8) {
    let (from, to) = (random.usize(0..N_HOSTS), random.usize(0..N_HOSTS));
    let now = Instant::now();
    let events = tables[from].next_events(6);
    if random.u8(0..100) < loss_percent || from == to {
        return;
    }
    for event in events {
        tables[to].merge(event, now);
    }
    for event in tables[to].next_events(6) {
        tables[from].merge(event, now);
    }
    notify_suspected_host(tables, from, to);
    notify_suspected_host(tables, to, from);
    if tables[from].hash() != tables[to].hash() {
        let hashes = tables[from].bucket_hashes();
        for record in tables[to].differing(&hashes, 8, random) {
            tables[from].merge(record, now);
        }
    }
}

/// Sends `subject` its own record as `reporter` has it, if that record says suspect or gone.
fn notify_suspected_host(tables: &mut [MemberTable], reporter: usize, subject: usize) {
    let host = tables[subject].own().host.clone();
    let Some(record) = tables[reporter].record(&host).cloned() else { return };
    if matches!(record.state, HostState::Suspect | HostState::Gone) {
        tables[subject].merge((*record).clone(), Instant::now());
    }
}

/// Incarnation, sequence and state of a record.
type RecordVersion = (u64, u64, HostState);

fn check_merge(stored: RecordVersion, event: RecordVersion, expected: MergeOutcome) {
    let mut table = MemberTable::new(record("a", 1, 0, HostState::Live));
    table.merge(record("b", stored.0, stored.1, stored.2), Instant::now());
    let merged = table.merge(record("b", event.0, event.1, event.2), Instant::now());
    assert_eq!(merged, expected, "{stored:?} {event:?}");
    let expected_version = if expected == MergeOutcome::Applied { event } else { stored };
    let known = table.record("b").unwrap();
    assert_eq!((known.incarnation, known.sequence, known.state), expected_version);
}

fn check_own(event: RecordVersion, expected: MergeOutcome, incarnation: u64) {
    let mut table = MemberTable::new(record("a", 5, 3, HostState::Live));
    let merged = table.merge(record("a", event.0, event.1, event.2), Instant::now());
    assert_eq!(merged, expected, "{event:?}");
    assert_eq!(table.own().incarnation, incarnation, "{event:?}");
    assert_eq!(table.own().state, HostState::Live);
}

fn check_classify_probes(
    n_intermediaries: usize,
    responses: &[Option<ProbeResponse>],
    expected: Reachability,
) {
    assert_eq!(classify_probes(n_intermediaries, responses), expected, "{responses:?}");
}

fn record(host: &str, incarnation: u64, sequence: u64, state: HostState) -> MemberRecord {
    let address = ([127, 0, 0, 1], 1000).into();
    MemberRecord {
        host: host.to_owned(),
        role: HostRole::Entry,
        region: "r".to_owned(),
        zone: "z".to_owned(),
        peer_address: address,
        request_address: address,
        operator_address: address,
        incarnation,
        sequence,
        state,
        weights: WeightsStatus::default(),
    }
}

fn minutes(n: u64) -> Duration {
    Duration::from_secs(60 * n)
}
