//! Counts the calls that the platform stand-in gets.

use std::sync::atomic::{AtomicU64, Ordering};

use http_types::{Method, Request};

use crate::{http, platform::platform_counts::PlatformCounts};

/// Counts calls as they arrive.
#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    gets: AtomicU64,
    watches: AtomicU64,
    puts: AtomicU64,
    deletes: AtomicU64,
    lists: AtomicU64,
    hosts: AtomicU64,
    /// Writes and deletions that took effect.
    pub(crate) effective_writes: AtomicU64,
    /// Calls refused because of a rate limit.
    pub(crate) refused_by_rate: AtomicU64,
}

impl CallCounters {
    /// Returns the counter for the kind of call that `request` with `path` is.
    pub(crate) fn counter_for(&self, request: &Request, path: &str) -> &AtomicU64 {
        match (request.method(), path) {
            (Method::Put, _) => &self.puts,
            (Method::Delete, _) => &self.deletes,
            (_, "/hosts") => &self.hosts,
            (_, "/objects") => &self.lists,
            _ if http::query_parameter(request, "watch").is_some() => &self.watches,
            _ => &self.gets,
        }
    }

    /// Returns the counts so far.
    pub(crate) fn snapshot(&self) -> PlatformCounts {
        let load = |it: &AtomicU64| it.load(Ordering::Relaxed);
        PlatformCounts {
            gets: load(&self.gets),
            watches: load(&self.watches),
            puts: load(&self.puts),
            deletes: load(&self.deletes),
            lists: load(&self.lists),
            hosts: load(&self.hosts),
            effective_writes: load(&self.effective_writes),
            refused_by_rate: load(&self.refused_by_rate),
        }
    }
}
