//! Counts of the calls that the platform stand-in gets.

use serde::{Deserialize, Serialize};

/// Counts of calls by kind; a watch counts once however long it waits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Watches.
    pub watches: u64,
    /// Writes, including refused ones.
    pub puts: u64,
    /// Deletions, including refused ones.
    pub deletes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Reads of the list of hosts.
    pub hosts: u64,
    /// Writes and deletions that took effect.
    pub effective_writes: u64,
    /// Calls refused because of `writes_per_s` or `reads_per_s`.
    pub refused_by_rate: u64,
}

impl PlatformCounts {
    /// Returns the number of calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.gets + self.watches + self.puts + self.deletes + self.lists + self.hosts
    }
}
