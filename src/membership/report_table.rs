//! Which charter number is in force on which host, as the hosts report it to this entry host.

use std::{collections::BTreeMap, sync::Mutex};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DocumentNumber, HostId},
    membership::member_record::MemberRecord,
};

/// What a host tells each entry host after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host's own record.
    pub record: MemberRecord,
    /// Number of the charter in force on it.
    pub charter_number: DocumentNumber,
}

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
    pub fn update(&self, host: &str, charter_number: DocumentNumber) {
        self.0.lock().unwrap().insert(host.to_owned(), charter_number);
    }

    /// All reports.
    pub fn list(&self) -> Vec<CharterReport> {
        let numbers = self.0.lock().unwrap();
        let report = |(host, number): (&HostId, &DocumentNumber)| CharterReport {
            host: host.clone(),
            charter_number: *number,
        };
        numbers.iter().map(report).collect()
    }

    /// Number of hosts that reported.
    pub(crate) fn n_hosts(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Drops the reports of hosts that are not among `present`.
    pub fn retain(&self, is_present: impl Fn(&str) -> bool) {
        self.0.lock().unwrap().retain(|host, _| is_present(host));
    }
}
