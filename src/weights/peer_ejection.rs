//! Ejects hosts that send corrupt chunks.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::HostId;

/// Number of corrupt chunks after which a host is ejected.
const MAX_CORRUPT_CHUNKS: u32 = 3;
/// Time for which an ejected host gets no requests.
const EJECTION_TIME: Duration = Duration::from_secs(60);

/// Counts corrupt chunks by sender and ejects hosts that send several.
///
/// An ejected host gets no requests, so that its corrupt chunks do not waste any.
#[derive(Clone, Debug, Default)]
pub struct PeerEjection {
    hosts: HashMap<HostId, PeerRecord>,
}

#[derive(Clone, Debug, Default)]
struct PeerRecord {
    n_corrupt_chunks: u32,
    ejected_until: Option<Instant>,
}

impl PeerEjection {
    /// Counts one corrupt chunk; returns `true` if the host is ejected now.
    pub fn record_corrupt_chunk(&mut self, host: &str, now: Instant) -> bool {
        let record = self.hosts.entry(host.to_owned()).or_default();
        record.n_corrupt_chunks += 1;
        if record.n_corrupt_chunks < MAX_CORRUPT_CHUNKS {
            return false;
        }
        record.n_corrupt_chunks = 0;
        record.ejected_until = Some(now + EJECTION_TIME);
        true
    }

    /// Returns `true` if the host is ejected at `now`.
    pub fn is_ejected(&self, host: &str, now: Instant) -> bool {
        let until = self.hosts.get(host).and_then(|it| it.ejected_until);
        until.is_some_and(|it| it > now)
    }
}
