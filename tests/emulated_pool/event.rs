//! An event of an emulated pool.

use crocustiller::placement::PartDigest;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    SoundArrives,
    BadArrives,
    Begins(u64),
    GoesOn(u64),
    Ends(u64),
    Retries { host: usize, parts: Vec<PartDigest>, request: u64, n_before: u32, n_waits: u32 },
    Restarts(usize),
    Crash(usize),
    CrashSeen { host: usize, engine: String, parts: Vec<PartDigest>, request: u64, sent: u64 },
    CrashHeard { host: usize, engine: String, parts: Vec<PartDigest>, request: u64, sent_ago: u64 },
    ClearingHeard { host: usize, parts: Vec<PartDigest> },
    Decides(usize),
    Beacon(usize),
    HostRestarts(usize),
}
