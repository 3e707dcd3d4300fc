//! Counts the hosts on which a charter is in force.

use std::{collections::BTreeMap, time::Duration};

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{DocumentNumber, HostId},
    membership::{CharterReport, HostRole, MemberRecord},
    node::Node,
    peer::LinkClass,
};

/// Timeout of one call to an entry host.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of hosts on which the newest known charter is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CharterStatus {
    /// Greatest known charter number.
    pub number: DocumentNumber,
    /// Number of known hosts.
    pub n_hosts: usize,
    /// Number of hosts on which `number` is in force.
    pub n_in_force: usize,
    /// Hosts with a lower number or without a report; the latter have the number 0.
    pub behind: Vec<CharterReport>,
    /// Entry hosts that did not respond; the reports that they collected may be missing.
    pub silent: Vec<HostId>,
}

impl CharterStatus {
    /// Returns the charter number in force on `host`, a known host; 0 if it has no report.
    pub fn number_on(&self, host: &str) -> DocumentNumber {
        let behind = self.behind.iter().find(|it| it.host == host);
        behind.map_or(self.number, |it| it.charter_number)
    }
}

/// Returns the charter status, summarised from the reports that all entry hosts received.
pub async fn charter_status(node: &Node) -> CharterStatus {
    let own = node.membership.own();
    let records = node.membership.records();
    let others = records.iter().filter(|it| it.role == HostRole::Entry && it.host != own.host);
    let responses = join_all(others.map(|it| reports_of(node, it))).await;
    let mut reports = node.membership.reports().list();
    let own_number = node.documents.charter_number();
    reports.push(CharterReport { host: own.host.clone(), charter_number: own_number });
    let mut silent = Vec::new();
    for response in responses {
        match response {
            Ok(peer_reports) => reports.extend(peer_reports),
            Err(host) => silent.push(host),
        }
    }
    let hosts: Vec<HostId> = records.iter().map(|it| it.host.clone()).collect();
    CharterStatus { silent, ..summarise(&hosts, reports) }
}

/// Returns on how many of `hosts` the greatest number in `reports` is in force.
///
/// If a host has several reports, the one with the greatest number is used.
pub fn summarise(hosts: &[HostId], reports: Vec<CharterReport>) -> CharterStatus {
    let mut numbers: BTreeMap<&HostId, DocumentNumber> = hosts.iter().map(|it| (it, 0)).collect();
    for report in &reports {
        if let Some(number) = numbers.get_mut(&report.host) {
            *number = report.charter_number.max(*number);
        }
    }
    let number = numbers.values().copied().max().unwrap_or(0);
    let behind: Vec<CharterReport> = numbers
        .into_iter()
        .filter(|it| it.1 < number)
        .map(|(host, charter_number)| CharterReport { host: host.clone(), charter_number })
        .collect();
    let n_in_force = hosts.len() - behind.len();
    CharterStatus { number, n_hosts: hosts.len(), n_in_force, behind, silent: Vec::new() }
}

async fn reports_of(node: &Node, record: &MemberRecord) -> Result<Vec<CharterReport>, HostId> {
    let call = node.peers.call(
        record.peer_address,
        LinkClass::Control,
        REPORTS_TIMEOUT,
        |peer, ctx| async move { peer.charter_reports(ctx).await },
    );
    call.await.map_err(|_| record.host.clone())
}
