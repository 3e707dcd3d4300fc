//! Deadlines after which older weights may not be served, and times at which engines may switch.

use std::time::{Duration, Instant};

use crocustiller::{fleet::VersionTable, routing::TargetVersion, slot::switch_delay};

/// Time after a version is published from which no request may start on an older version.
const OLD_VERSION_BOUND: Duration = Duration::from_secs(8);
/// Time after a restart for which a process is exempt from the bound.
const RESTART_GRACE: Duration = Duration::from_secs(3);

/// The age of a version that was published just now.
const JUST_PUBLISHED: Option<Duration> = Some(Duration::ZERO);

fn published(version: u64) -> TargetVersion {
    TargetVersion { model: "lots".to_owned(), version, revision: version }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn old_version_ends_in_time() {
    let now = Instant::now();
    let mut table = VersionTable::new(OLD_VERSION_BOUND);
    assert!(table.set(&published(2), JUST_PUBLISHED, now));
    assert_eq!(table.oldest_allowed("lots", now + ms(5000)), 0);
    // A request may wait at the engine for half a second before it starts.
    assert_eq!(table.oldest_allowed("lots", now + OLD_VERSION_BOUND - ms(500)), 2);
}

#[test]
fn each_version_keeps_its_bound() {
    let now = Instant::now();
    let mut table = VersionTable::new(OLD_VERSION_BOUND);
    table.set(&published(2), JUST_PUBLISHED, now);
    table.set(&published(3), JUST_PUBLISHED, now + ms(2000));
    assert_eq!(table.newest("lots"), 3);
    assert_eq!(table.oldest_allowed("lots", now + OLD_VERSION_BOUND - ms(500)), 2);
    assert_eq!(table.oldest_allowed("lots", now + OLD_VERSION_BOUND + ms(1500)), 3);
}

#[test]
fn older_version_is_ignored() {
    let now = Instant::now();
    let mut table = VersionTable::new(OLD_VERSION_BOUND);
    table.set(&published(3), JUST_PUBLISHED, now);
    assert!(!table.set(&published(2), JUST_PUBLISHED, now + ms(100)));
    assert_eq!(table.newest("lots"), 3);
}

/// A process that restarts assumes that the version it reads was published a while ago.
/// Seen on the day trouble-3 (Habimana): hosts that were restarted after a version was published
/// served the old one 11.7 s after that.
#[test]
fn restart_allows_no_old_version() {
    let now = Instant::now();
    let mut table = VersionTable::new(OLD_VERSION_BOUND);
    table.set(&published(3), None, now);
    assert_eq!(table.oldest_allowed("lots", now + RESTART_GRACE - ms(400)), 3);
}

#[test]
fn engines_switch_in_sequence() {
    let delays: Vec<Duration> =
        (0..27).map(|rank| switch_delay(rank, 27, OLD_VERSION_BOUND)).collect();
    assert!(delays.windows(2).all(|it| it[0] < it[1]));
    // An engine is unavailable for at most about 2 s, and no older version is served after the
    // bound.
    assert!(delays[26] < OLD_VERSION_BOUND - ms(1500));
}

/// A request that was sent to an engine with an old version must start before the bound.
/// Seen on the day scale-1 (Habimana): a request waited for a second at an overloaded engine and
/// started on an old version 43 ms after the bound.
#[test]
fn start_deadline_precedes_bound() {
    let now = Instant::now();
    let mut table = VersionTable::new(OLD_VERSION_BOUND);
    table.set(&published(2), JUST_PUBLISHED, now);
    let deadline = table.start_deadline("lots", 1).unwrap();
    assert!(deadline < now + OLD_VERSION_BOUND, "the start deadline is not before the bound");
    assert!(deadline > now + ms(6000));
    assert_eq!(table.start_deadline("lots", 2), None);
}
