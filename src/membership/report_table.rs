//! The charter number in force on each host, as reported to this entry host.

use std::{collections::BTreeMap, sync::Mutex};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DocumentNumber, HostId},
    membership::member_record::MemberRecord,
};

/// The report that a host sends to each entry host after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The membership record of the reporting host.
    pub record: MemberRecord,
    /// Number of the charter in force on the reporting host.
    pub charter_number: DocumentNumber,
}

/// The charter number in force on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CharterReport {
    /// Id of the host.
    pub host: HostId,
    /// Number of the charter in force on the host.
    pub charter_number: DocumentNumber,
}

/// A table of the latest charter number that each host reported to this entry host.
#[derive(Debug, Default)]
pub struct ReportTable(Mutex<BTreeMap<HostId, DocumentNumber>>);

impl ReportTable {
    /// Records the charter number that `host` reported, replacing its earlier one.
    pub fn update(&self, host: &str, charter_number: DocumentNumber) {
        self.0.lock().unwrap().insert(host.to_owned(), charter_number);
    }

    /// Returns the latest reports, in order of host id.
    pub fn list(&self) -> Vec<CharterReport> {
        let numbers = self.0.lock().unwrap();
        let report = |(host, number): (&HostId, &DocumentNumber)| CharterReport {
            host: host.clone(),
            charter_number: *number,
        };
        numbers.iter().map(report).collect()
    }

    /// Returns the number of hosts with a report.
    pub(crate) fn n_hosts(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Removes the reports of hosts for which `is_present` returns false.
    pub fn retain(&self, is_present: impl Fn(&str) -> bool) {
        self.0.lock().unwrap().retain(|host, _| is_present(host));
    }
}
