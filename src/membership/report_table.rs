//! Which charter number is in force on which host, as the hosts report it.
//!
//! Every host reports to two entry hosts that rank first for it, not through gossip, so that a new
//! charter does not make every host an event that all others pass on.

use std::{collections::BTreeMap, sync::Mutex};

use serde::{Deserialize, Serialize};

use crate::ids::{DocumentNumber, HostId};

/// The charter number in force on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CharterReport {
    /// The host.
    pub host: HostId,
    /// Number of the charter in force on it.
    pub charter_number: DocumentNumber,
}

/// The reports that one entry host got.
#[derive(Debug, Default)]
pub struct ReportTable(Mutex<BTreeMap<HostId, DocumentNumber>>);

impl ReportTable {
    /// Takes a report; the latest of a host replaces the earlier ones.
    pub fn take(&self, report: CharterReport) {
        self.0.lock().unwrap().insert(report.host, report.charter_number);
    }

    /// All reports.
    pub fn reports(&self) -> Vec<CharterReport> {
        let held = self.0.lock().unwrap();
        let report = |(host, number): (&HostId, &DocumentNumber)| CharterReport {
            host: host.clone(),
            charter_number: *number,
        };
        held.iter().map(report).collect()
    }

    /// Drops the reports of hosts that are not among `present`.
    pub fn retain(&self, is_present: impl Fn(&str) -> bool) {
        self.0.lock().unwrap().retain(|host, _| is_present(host));
    }
}
