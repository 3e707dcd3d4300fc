//! Prompts with many parts, any of which may crash engines.

use std::time::{Duration, Instant};

use crocustiller::{
    fleet::{PeerMessage, PendingReport},
    placement::{CrashingParts, PartCrash, PartDigest},
};

/// The number of parts in the longest prompt that a head of 16 KiB can name.
const MAX_PARTS: u64 = 4095;
const BAD: PartDigest = 7;
/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn crash(number: u64, parts: Vec<PartDigest>) -> PartCrash {
    let request = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    PartCrash { parts, request, engine: format!("i-{number}"), sent_ago_ms: 200 }
}

/// Returns parts that no other request has.
fn own_parts(number: u64, n_parts: u64) -> Vec<PartDigest> {
    (0..n_parts).map(|it| (number << 32) + it + 1000).collect()
}

/// Load pattern: requests with the same bad part among parts of their own, in any place.
#[test]
fn ninth_part_is_never_found() {
    for n_parts in [8, 9, 100, MAX_PARTS] {
        for place in [0, n_parts / 2, n_parts - 1] {
            let start = Instant::now();
            let mut table = CrashingParts::default();
            for number in 1..=3 {
                let mut parts = own_parts(number, n_parts - 1);
                parts.insert(place as usize, BAD);
                assert!(table.find_quarantined(&parts, at(start, number * 1000)).is_none());
                table.record_crash(&crash(number, parts), at(start, number * 1000));
            }
            let found = table.decide(at(start, 3500));
            assert_eq!(found.iter().map(|it| it.part).collect::<Vec<_>>(), [BAD], "{n_parts}");
            let mut other = own_parts(9, n_parts - 1);
            other.push(BAD);
            let refused = table.find_quarantined(&other, at(start, 3600));
            assert_eq!(refused.map(|it| it.part), Some(BAD));
        }
    }
}

/// Load pattern: engines crash while they have long prompts, between the crashes on a part of short ones.
#[test]
fn long_prompts_evict_suspects() {
    let start = Instant::now();
    let mut table = CrashingParts::default();
    let mut found = Vec::new();
    for number in 1..=60 {
        let now = at(start, number * 250);
        let is_bad = number % 20 == 1;
        let parts = match is_bad {
            true => vec![1 << 50 | number, BAD],
            false => own_parts(number, MAX_PARTS),
        };
        table.record_crash(&crash(number, parts), now);
        if !is_bad {
            table.clear(&own_parts(number, 10), now);
        }
        found.extend(table.decide(now).into_iter().map(|it| it.part));
    }
    // Most engines crashed without the part, so it takes five crashes.
    for number in 61..=62 {
        table.record_crash(&crash(number, vec![BAD]), at(start, 15_000 + (number - 60) * 1000));
    }
    found.extend(table.decide(at(start, 18_000)).into_iter().map(|it| it.part));
    assert_eq!(found, [BAD]);
}

/// Load pattern: one long prompt crashes engines again and again. Few of its parts, which always come
/// together, are quarantined; no other quarantine ends for that.
#[test]
fn long_prompt_floods_quarantine() {
    let start = Instant::now();
    let mut table = CrashingParts::default();
    let mut now = start;
    for number in 1..=60 {
        now = at(start, number * 1000);
        let (round, template) = ((number - 1) / 3, (number - 1) / 15 * 15);
        let parts = match round % 5 {
            0 => vec![BAD + round],
            _ => [own_parts(1000 + template, 2000), own_parts(number, 100)].concat(),
        };
        table.record_crash(&crash(number, parts), now);
        table.decide(at(now, 500));
    }
    let is_refused = |parts: &[PartDigest]| table.find_quarantined(parts, now).is_some();
    for round in [0, 5, 10, 15] {
        assert!(is_refused(&[1, BAD + round]), "{round}");
        assert!(is_refused(&own_parts(1000 + round * 3, 2000)), "{round}");
    }
    assert!(table.quarantined(now).len() <= 4 + 4 * 32);
}

/// Load pattern: the crash of an engine with many long prompts. Each report fits a datagram, and what
/// is left out is the longest.
#[test]
fn reports_exceed_datagram() {
    let mut pending = PendingReport::default();
    pending.add_crash(crash(1, vec![BAD]));
    (2..20).for_each(|it| pending.add_crash(crash(it, own_parts(it, MAX_PARTS / 2))));
    pending.add_crash(crash(20, vec![BAD]));
    pending.add_cleared(own_parts(30, MAX_PARTS));
    let reports = pending.into_reports();
    let n_cleared: usize = reports.iter().map(|it| it.cleared.len()).sum();
    assert_eq!(n_cleared as u64, MAX_PARTS);
    let crashes = || reports.iter().flat_map(|it| &it.crashes);
    let n_parts = |engine: &str| -> usize {
        crashes().filter(|it| it.engine == engine).map(|it| it.parts.len()).sum()
    };
    assert_eq!((n_parts("i-1"), n_parts("i-20")), (1, 1));
    let whole = (2..20).filter(|it| n_parts(&format!("i-{it}")) as u64 == MAX_PARTS / 2).count();
    assert_eq!(whole, 3, "all parts of a crash or none");
    for report in reports {
        let message = bincode::serialize(&PeerMessage::CrashReport(report)).unwrap();
        assert!(message.len() < MAX_DATAGRAM_BYTES / 4, "{}", message.len());
    }
}

/// A host that hears of a crash in several reports finds the part as the one that saw it does.
#[test]
fn split_report_hides_part() {
    let start = Instant::now();
    let mut table = CrashingParts::default();
    for number in 1..=3 {
        let mut pending = PendingReport::default();
        let mut parts = own_parts(number, MAX_PARTS);
        parts[number as usize * 1000] = BAD;
        pending.add_crash(crash(number, parts));
        let reports = pending.into_reports();
        assert!(reports.len() > 1);
        for (idx, report) in (0..).zip(&reports) {
            report
                .crashes
                .iter()
                .for_each(|it| table.record_crash(it, at(start, number * 1000 + idx)));
        }
    }
    let found = table.decide(at(start, 4000));
    assert_eq!(found.iter().map(|it| it.part).collect::<Vec<_>>(), [BAD]);
}
