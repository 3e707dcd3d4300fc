//! What an entry host collects for its next report on requests and parts of prompts.

use crate::{
    fleet::CrashReport,
    placement::{PartCrash, PartDigest, SuspectedRequest, MAX_SUSPECTED_REQUESTS},
};

/// Maximum number of parts in a datagram, each of 8 bytes.
const MAX_DATAGRAM_PARTS: usize = 1024;
/// Maximum number of parts in all crashes that are collected, and of cleared ones.
const MAX_COLLECTED_PARTS: usize = 8192;
/// The size of a crash besides its parts, as a number of parts.
const CRASH_SIZE: usize = 16;

/// The size of a request besides its crashes, as a number of parts.
const REQUEST_SIZE: usize = 8;

/// Crashes, cleared parts and requests that have not been reported yet.
#[derive(Clone, Debug, Default)]
pub struct PendingReport {
    crashes: Vec<PartCrash>,
    cleared: Vec<PartDigest>,
    requests: Vec<SuspectedRequest>,
}

impl PendingReport {
    /// Adds a crash. If there are too many, those with the most parts are left out, as each of their
    /// parts is the least suspect.
    pub fn add_crash(&mut self, crash: PartCrash) {
        self.crashes.push(crash);
        while self.crashes.len() > 1 && self.n_crash_parts() > MAX_COLLECTED_PARTS {
            let longest = (0..self.crashes.len()).max_by_key(|it| self.crashes[*it].parts.len());
            longest.map(|it| self.crashes.remove(it));
        }
    }

    /// Adds cleared parts.
    pub fn add_cleared(&mut self, parts: Vec<PartDigest>) {
        self.cleared.extend(parts);
        self.cleared.truncate(MAX_COLLECTED_PARTS);
    }

    /// Adds a request that is suspected, or was until now, in place of what was known of it before.
    pub fn add_request(&mut self, request: SuspectedRequest) {
        self.requests.retain(|it| it.request != request.request);
        if self.requests.len() < MAX_SUSPECTED_REQUESTS {
            self.requests.push(request);
        }
    }

    /// Returns reports that fit a datagram each.
    pub fn into_reports(self) -> Vec<CrashReport> {
        let mut reports = Reports::default();
        for PartCrash { parts, request, engine, sent_ago_ms } in self.crashes {
            for parts in parts.chunks(MAX_DATAGRAM_PARTS - CRASH_SIZE) {
                let (parts, engine) = (parts.to_vec(), engine.clone());
                let report = reports.with_room(CRASH_SIZE + parts.len());
                report.crashes.push(PartCrash { parts, request, engine, sent_ago_ms });
            }
        }
        for parts in self.cleared.chunks(MAX_DATAGRAM_PARTS) {
            reports.with_room(parts.len()).cleared.extend(parts);
        }
        for request in self.requests {
            let size = REQUEST_SIZE + request.crashes.len() + request.cleared.len();
            reports.with_room(size).requests.push(request);
        }
        reports.all
    }

    fn n_crash_parts(&self) -> usize {
        self.crashes.iter().map(|it| CRASH_SIZE + it.parts.len()).sum()
    }
}

/// Reports that are being filled one after the other.
#[derive(Default)]
struct Reports {
    all: Vec<CrashReport>,
    n_free: usize,
}

impl Reports {
    /// Returns a report with room for so many parts.
    fn with_room(&mut self, n_parts: usize) -> &mut CrashReport {
        if self.all.is_empty() || self.n_free < n_parts {
            self.all.push(CrashReport::default());
            self.n_free = MAX_DATAGRAM_PARTS;
        }
        self.n_free = self.n_free.saturating_sub(n_parts);
        let last = self.all.len() - 1;
        &mut self.all[last]
    }
}
