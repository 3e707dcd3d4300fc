//! How an emulated pool missed the target on crashes.

use crocustiller::placement::PartDigest;

use super::{Pool, CONTACT_MS, MAX_LATE_REQUESTS};

impl Pool {
    /// Returns how the target on crashes was missed; a host that restarts has as long again.
    ///
    /// If the first five crashes are of one or two requests, only the late requests count.
    pub(crate) fn misses(&self, part: PartDigest) -> Vec<String> {
        let crashes = &self.bad_crashes[&part];
        let Some(fifth) = crashes.get(4) else { return Vec::new() };
        let is_slow = self.day.bad_per_s < 1.0;
        let due =
            fifth.max(&self.day.joined_ms).max(&self.day.restart_ms.unwrap_or(0)) + CONTACT_MS;
        let is_late = |it: &usize| self.refused.get(&(part, *it)).is_none_or(|it| *it > due);
        let late_hosts: Vec<usize> = (0..self.day.n_hosts).filter(is_late).collect();
        let n_late = self.bad_sent[&part].iter().filter(|it| **it > fifth + CONTACT_MS).count();
        let mut misses = Vec::new();
        if let Some(host) = late_hosts.first().filter(|_| !is_slow) {
            let at = self.refused.get(&(part, *host));
            misses
                .push(format!("{} hosts late: {at:?} fifth {fifth} {crashes:?}", late_hosts.len()));
        }
        if n_late > MAX_LATE_REQUESTS {
            misses.push(format!("{n_late} late requests, fifth {fifth} {crashes:?}"));
        }
        misses
    }
}
