//! When older weights may no longer be served, and when an engine may switch.

use std::time::{Duration, Instant};

use crocustiller::{fleet::VersionTable, routing::TargetVersion, slot::switch_delay};

/// Time from a naming until no request may begin on an older version.
const BOUND: Duration = Duration::from_secs(8);
/// Time after a restart in which a process is not held to the bound.
const CONTACT: Duration = Duration::from_secs(3);

/// Age of a version that was named just now.
const FRESH: Option<Duration> = Some(Duration::ZERO);

fn named(version: u64) -> TargetVersion {
    TargetVersion { model: "lots".to_owned(), version, revision: version }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn old_version_ends_before_the_bound() {
    let now = Instant::now();
    let mut table = VersionTable::new(BOUND);
    assert!(table.set(&named(2), FRESH, now));
    assert_eq!(table.oldest_allowed("lots", now + ms(5000)), 0);
    // A request that is sent may wait for half a second before it begins.
    assert_eq!(table.oldest_allowed("lots", now + BOUND - ms(500)), 2);
}

#[test]
fn each_naming_keeps_its_own_bound() {
    let now = Instant::now();
    let mut table = VersionTable::new(BOUND);
    table.set(&named(2), FRESH, now);
    table.set(&named(3), FRESH, now + ms(2000));
    assert_eq!(table.newest("lots"), 3);
    assert_eq!(table.oldest_allowed("lots", now + BOUND - ms(500)), 2);
    assert_eq!(table.oldest_allowed("lots", now + BOUND + ms(1500)), 3);
}

#[test]
fn never_back() {
    let now = Instant::now();
    let mut table = VersionTable::new(BOUND);
    table.set(&named(3), FRESH, now);
    assert!(!table.set(&named(2), FRESH, now + ms(100)));
    assert_eq!(table.newest("lots"), 3);
}

/// Seen on the day trouble-3 (Habimana): hosts that were restarted after a naming served the old
/// version 11.7 s after it.
#[test]
fn restarted_process() {
    let now = Instant::now();
    let mut table = VersionTable::new(BOUND);
    table.set(&named(3), None, now);
    assert_eq!(table.oldest_allowed("lots", now + CONTACT - ms(400)), 3);
}

#[test]
fn engines_switch_one_after_the_other() {
    let delays: Vec<Duration> = (0..27).map(|rank| switch_delay(rank, 27, BOUND)).collect();
    assert!(delays.windows(2).all(|it| it[0] < it[1]));
    // An engine is out for at most about 2 s, and older versions end before the bound.
    assert!(delays[26] < BOUND - ms(1500));
}

/// Seen on the day scale-1 (Habimana): a request waited for a second at a crowded engine and began
/// on an old version 43 ms after the bound.
#[test]
fn sent_requests_begin_in_time() {
    let now = Instant::now();
    let mut table = VersionTable::new(BOUND);
    table.set(&named(2), FRESH, now);
    let limit = table.start_deadline("lots", 1).unwrap();
    assert!(limit < now + BOUND, "the limit lies before the bound");
    assert!(limit > now + ms(6000));
    assert_eq!(table.start_deadline("lots", 2), None);
}
