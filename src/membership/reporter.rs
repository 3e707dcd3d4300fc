//! Reports changes of this host to every entry host.
//!
//! Only entry hosts use the status of other hosts' weights, so it is sent to them directly; gossip
//! would spread each change to every host. A new charter number triggers a report only to the two
//! entry hosts that rank first for this host; `charter_status` combines the reports of all entry
//! hosts.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_lite::FutureExt;

use crate::{
    ids::{DocumentNumber, HostId, Incarnation},
    membership::{
        gossip::{Gossip, CALL_TIMEOUT},
        member_record::{HostRole, HostState, MemberRecord},
        rank::rank,
        report_table::HostReport,
    },
    peer::LinkClass,
    runtime,
};

/// The interval between two checks while nothing changes, after which a failed report is resent.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The minimum pause between two checks, which combines changes close together into one report.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// The maximum number of entry hosts to which one host reports each new charter number.
const MAX_CHARTER_TARGETS: usize = 2;

/// A task that reports the changes of one process to all entry hosts.
#[derive(Clone, Debug)]
pub(crate) struct Reporter {
    gossip: Arc<Gossip>,
    last_reports: Arc<Mutex<BTreeMap<HostId, ReportedState>>>,
}

/// The state of this host and of the entry host at the time of the last report to it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportedState {
    entry_incarnation: Incarnation,
    incarnation: Incarnation,
    sequence: u64,
    weights_sequence: u64,
    /// 0 for an entry host to which this host does not report new charter numbers.
    charter_number: DocumentNumber,
}

impl Reporter {
    pub(crate) fn new(gossip: Arc<Gossip>) -> Reporter {
        Reporter { gossip, last_reports: Arc::default() }
    }

    /// Sends reports until the task is dropped.
    pub(crate) async fn run(self) {
        loop {
            let members = self.gossip.membership.listen();
            let documents = self.gossip.documents.listen();
            self.report_changes();
            let timer = runtime::sleep(CHECK_INTERVAL);
            members.or(documents).or(timer).await;
            runtime::sleep(MIN_PAUSE).await;
        }
    }

    fn report_changes(&self) {
        let own = self.gossip.membership.own();
        let charter_number = self.gossip.documents.charter_number();
        let records = self.gossip.membership.records();
        if own.role == HostRole::Entry {
            self.record_own_charter(charter_number, &records);
        }
        let is_other_entry_host =
            |it: &&Arc<MemberRecord>| it.role == HostRole::Entry && it.host != own.host;
        let entry_hosts: Vec<&Arc<MemberRecord>> =
            records.iter().filter(is_other_entry_host).collect();
        let charter_targets = charter_report_targets(&own.host, &records);
        self.last_reports
            .lock()
            .unwrap()
            .retain(|host, _| entry_hosts.iter().any(|it| it.host == *host));
        for entry_host in entry_hosts {
            let reported = ReportedState {
                entry_incarnation: entry_host.incarnation,
                incarnation: own.incarnation,
                sequence: own.sequence,
                weights_sequence: own.weights.sequence,
                charter_number: if charter_targets.contains(&entry_host.host) {
                    charter_number
                } else {
                    0
                },
            };
            let previous =
                self.last_reports.lock().unwrap().insert(entry_host.host.clone(), reported.clone());
            if previous.as_ref() != Some(&reported) {
                let report = HostReport { record: (*own).clone(), charter_number };
                runtime::spawn(self.clone().report(entry_host.clone(), report, reported)).detach();
            }
        }
    }

    fn record_own_charter(&self, charter_number: DocumentNumber, records: &[Arc<MemberRecord>]) {
        let reports = self.gossip.membership.reports();
        if reports.n_hosts() > records.len() {
            let present: HashSet<&str> = records.iter().map(|it| it.host.as_str()).collect();
            reports.retain(|host| present.contains(host));
        }
        reports.update(&self.gossip.membership.own().host, charter_number);
    }

    async fn report(
        self,
        entry_host: Arc<MemberRecord>,
        report: HostReport,
        reported: ReportedState,
    ) {
        let call = self.gossip.peers.call(
            entry_host.peer_address,
            LinkClass::Control,
            CALL_TIMEOUT,
            |peer, ctx| async move { peer.report(ctx, report).await },
        );
        let Err(err) = call.await else { return };
        log::debug!(
            "gossip: failed to send a status report host={} error=\"{err}\"",
            entry_host.host
        );
        let mut last_reports = self.last_reports.lock().unwrap();
        if last_reports.get(&entry_host.host) == Some(&reported) {
            last_reports.remove(&entry_host.host);
        }
    }
}

/// Returns the entry hosts to which the host `own` reports each new charter number.
fn charter_report_targets(own: &str, records: &[Arc<MemberRecord>]) -> Vec<HostId> {
    let entry_hosts = records.iter().filter(|it| {
        it.role == HostRole::Entry && matches!(it.state, HostState::Joining | HostState::Live)
    });
    let ids: Vec<HostId> = entry_hosts.map(|it| it.host.clone()).collect();
    let mut ranked = rank(&format!("report/{own}"), &ids);
    ranked.truncate(MAX_CHARTER_TARGETS);
    ranked
}
