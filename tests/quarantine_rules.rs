//! The quarantine of a part of prompts: what begins, ends and bounds it.

use std::time::{Duration, Instant};

use crocustiller::placement::{CrashingParts, PartCrash, PartDigest, QuarantinedPart};

const PART: PartDigest = 7;
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn crash(parts: &[PartDigest], number: u64) -> PartCrash {
    let engine = format!("i-{number}");
    PartCrash { parts: parts.to_vec(), request: number, engine, sent_ago_ms: 200 }
}

/// Records crashes one second apart and decides after the last; returns the verdicts.
fn crash_engines(
    table: &mut CrashingParts,
    parts: &[PartDigest],
    numbers: std::ops::Range<u64>,
    now: Instant,
) -> Vec<QuarantinedPart> {
    let n_crashes = numbers.end - numbers.start;
    for (idx, number) in (0..).zip(numbers) {
        table.record_crash(&crash(parts, number), now - secs(n_crashes - idx));
    }
    table.decide(now)
}

fn later() -> Instant {
    Instant::now() + secs(100_000)
}

fn is_refused(table: &CrashingParts, part: PartDigest, now: Instant) -> bool {
    table.find_quarantined(&[1, part], now).is_some()
}

#[test]
fn three_crashes_needed() {
    let now = later();
    let mut table = CrashingParts::default();
    assert_eq!(crash_engines(&mut table, &[PART], 0..2, now), []);
    let verdicts = crash_engines(&mut table, &[PART], 2..3, now + secs(2));
    assert_eq!((verdicts[0].part, verdicts[0].n_crashes, verdicts[0].n_engines), (PART, 3, 3));
    assert!(is_refused(&table, PART, now + secs(2)));
    assert!(!is_refused(&table, 8, now + secs(2)));
}

#[test]
fn simultaneous_crashes_count_once() {
    let now = later();
    let mut table = CrashingParts::default();
    (0..64).for_each(|it| table.record_crash(&crash(&[PART], it), now));
    assert_eq!(table.decide(now + secs(1)), []);
}

#[test]
fn repeated_request_counts_once() {
    let now = later();
    let mut table = CrashingParts::default();
    for number in 0..4 {
        let repeated = PartCrash { request: 1, ..crash(&[PART], number) };
        table.record_crash(&repeated, now + secs(number));
    }
    assert_eq!(table.decide(now + secs(5)), []);
}

#[test]
fn answer_clears_suspects() {
    let now = later();
    let mut table = CrashingParts::default();
    crash_engines(&mut table, &[PART], 0..2, now);
    assert_eq!(table.clear(&[PART, 8], now), [PART]);
    assert!(table.clear(&[PART], now).is_empty(), "told already");
    assert_eq!(table.clear(&[PART], now + secs(3)), [PART], "told again, as it may be lost");
    assert_eq!(crash_engines(&mut table, &[PART], 2..4, now + secs(9)), []);
}

#[test]
fn answer_leaves_quarantine() {
    let now = later();
    let mut table = CrashingParts::default();
    crash_engines(&mut table, &[PART], 0..3, now);
    assert!(table.clear(&[PART], now).is_empty());
    assert!(is_refused(&table, PART, now));
}

/// A part is tried by one request at a time once two engines crashed on it, until an answer is
/// written on it or no engine crashes on it any more.
#[test]
fn sound_parts_are_not_held_back() {
    let now = later();
    let mut table = CrashingParts::default();
    table.record_crash(&crash(&[8, PART], 1), now);
    assert!(table.parts_to_start_in_turn(&[8, PART], now).is_empty(), "one crash proves nothing");
    table.record_crash(&crash(&[8, PART], 2), now);
    assert_eq!(table.parts_to_start_in_turn(&[8, PART, 9], now), [8, PART]);
    assert!(table.parts_to_start_in_turn(&[8, PART], now + secs(6)).is_empty());
    table.clear(&[8], now);
    assert_eq!(table.parts_to_start_in_turn(&[8, PART], now), [PART]);
    table.record_crash(&crash(&[8], 3), now);
    table.record_crash(&crash(&[8], 4), now);
    assert!(
        table.parts_to_start_in_turn(&[8], now).is_empty(),
        "engines have written answers on it"
    );
}

#[test]
fn suspicion_is_forgotten() {
    let now = later();
    let mut table = CrashingParts::default();
    crash_engines(&mut table, &[PART], 0..2, now);
    assert_eq!(crash_engines(&mut table, &[PART], 2..4, now + secs(70)), []);
}

/// The crashes of a part in quarantine are no evidence against the parts beside it.
#[test]
fn explained_crashes_quarantine_nothing() {
    let now = later();
    let mut table = CrashingParts::default();
    for number in 0..4 {
        let at = now + secs(number);
        table.record_crash(&crash(&[8, PART], number), at);
        let other = if number == 0 { &[9][..] } else { &[8][..] };
        table.record_crash(&PartCrash { request: 100 + number, ..crash(other, number) }, at);
        table.clear(&[8], at);
    }
    let verdicts = table.decide(now + secs(5));
    assert_eq!(verdicts.iter().map(|it| it.part).collect::<Vec<_>>(), [PART]);
    for number in 4..12 {
        let at = now + secs(number);
        table.record_crash(&crash(&[8], number), at);
        table.record_crash(&crash(&[PART], number), at);
        assert_eq!(table.decide(at + Duration::from_millis(500)), []);
    }
}

#[test]
fn quarantine_ends_and_doubles() {
    let mut now = later();
    let mut table = CrashingParts::default();
    crash_engines(&mut table, &[PART], 0..3, now);
    let mut expected = FIRST_QUARANTINE;
    for number in 10..16 {
        assert!(is_refused(&table, PART, now + expected - secs(1)));
        now += expected;
        assert!(!is_refused(&table, PART, now));
        now += secs(60);
        let again = crash_engines(&mut table, &[PART], number..number + 1, now);
        assert_eq!(again.len(), 1, "one crash is enough");
        expected = (expected * 2).min(secs(7200));
    }
}

#[test]
fn answer_ends_probation() {
    let now = later();
    let mut table = CrashingParts::default();
    crash_engines(&mut table, &[PART], 0..3, now);
    let after = now + FIRST_QUARANTINE + secs(9);
    assert_eq!(table.clear(&[PART], after), [PART]);
    assert_eq!(crash_engines(&mut table, &[PART], 3..5, after + secs(3)), []);
}

#[test]
fn merging_never_prolongs() {
    let now = later();
    let mut tables = vec![CrashingParts::default(); 3];
    crash_engines(&mut tables[0], &[PART], 0..3, now);
    crash_engines(&mut tables[1], &[PART], 0..3, now + secs(2));
    for step in 0..1300 {
        let at = now + secs(step);
        for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0)] {
            let reported = tables[from].quarantined(at);
            let new = tables[to].merge(&reported, at);
            assert!(new.is_empty() || to == 2 && step < 2 || to == 1 && step < 2);
        }
        let is_over = at >= now + FIRST_QUARANTINE;
        tables.iter().skip(2).for_each(|it| assert_eq!(is_refused(it, PART, at), !is_over));
    }
}

#[test]
fn table_and_beacon_bounded() {
    let now = later();
    let mut table = CrashingParts::default();
    // A part with two crashes outlasts many with one; all parts of a request count, but their sum is
    // bounded.
    crash_engines(&mut table, &[PART], 0..2, now);
    for number in 0..1000 {
        let parts: Vec<PartDigest> = (0..9).map(|it| 1000 + number * 10 + it).collect();
        table.record_crash(&crash(&parts, 100), now);
    }
    let cleared: Vec<PartDigest> = (1000..11_000).collect();
    let n_suspects: usize = cleared.chunks(8).map(|it| table.clear(it, now).len()).sum();
    assert_eq!(n_suspects, 8191);
    assert_eq!(table.clear(&[PART], now), [PART]);
    for part in 0..300u64 {
        let at = now + secs(10 + part * 4);
        crash_engines(&mut table, &[part], 1000 + part * 3..1003 + part * 3, at);
    }
    let reported = table.quarantined(now + secs(10 + 299 * 4));
    assert_eq!(reported.len(), 150, "all that are in force");
    assert_eq!(reported[0].part, 299, "the most recent first");
    assert_eq!(CrashingParts::default().merge(&vec![reported[0].clone(); 40], now).len(), 1);
    let many: Vec<QuarantinedPart> =
        (1000..1300).map(|part| QuarantinedPart { part, ..reported[0].clone() }).collect();
    assert_eq!(table.merge(&many, now).len(), 256);
    assert_eq!(table.quarantined(now).len(), 256);
}
