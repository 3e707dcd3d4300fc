//! Tells every entry host what has changed on this host.
//!
//! Only entry hosts use the status of other hosts' weights and the charter numbers in force, so
//! these go to them and not through gossip, which would bring each change to every host.

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
        member_record::{HostRole, MemberRecord},
        report_table::HostReport,
    },
    peer::LinkClass,
    runtime,
};

/// Pause between two looks while nothing changes, after which a lost report is sent again.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest pause between two looks, so that changes close together make one report.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Reports of one process to all entry hosts.
#[derive(Clone, Debug)]
pub(crate) struct Reporter {
    gossip: Arc<Gossip>,
    told: Arc<Mutex<BTreeMap<HostId, Told>>>,
}

/// What an entry host was told last.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Told {
    entry_incarnation: Incarnation,
    incarnation: Incarnation,
    sequence: u64,
    weights_sequence: u64,
    charter_number: DocumentNumber,
}

impl Reporter {
    pub(crate) fn new(gossip: Arc<Gossip>) -> Reporter {
        Reporter { gossip, told: Arc::default() }
    }

    /// Reports until the task is dropped.
    pub(crate) async fn run(self) {
        loop {
            let members = self.gossip.membership.listen();
            let documents = self.gossip.documents.listen();
            self.report_changes();
            let look = runtime::sleep(LOOK_INTERVAL);
            members.or(documents).or(look).await;
            runtime::sleep(MIN_PAUSE).await;
        }
    }

    fn report_changes(&self) {
        let own = self.gossip.membership.own();
        let charter_number = self.gossip.documents.charter_number();
        let records = self.gossip.membership.records();
        if own.role == HostRole::Entry {
            self.note_own(charter_number, &records);
        }
        let is_asked = |it: &&Arc<MemberRecord>| it.role == HostRole::Entry && it.host != own.host;
        let entry_hosts: Vec<&Arc<MemberRecord>> = records.iter().filter(is_asked).collect();
        self.told.lock().unwrap().retain(|host, _| entry_hosts.iter().any(|it| it.host == *host));
        for entry_host in entry_hosts {
            let told = Told {
                entry_incarnation: entry_host.incarnation,
                incarnation: own.incarnation,
                sequence: own.sequence,
                weights_sequence: own.weights.sequence,
                charter_number,
            };
            let known = self.told.lock().unwrap().insert(entry_host.host.clone(), told.clone());
            if known.as_ref() != Some(&told) {
                let report = HostReport { record: (*own).clone(), charter_number };
                runtime::spawn(self.clone().report(entry_host.clone(), report, told)).detach();
            }
        }
    }

    fn note_own(&self, charter_number: DocumentNumber, records: &[Arc<MemberRecord>]) {
        let reports = self.gossip.membership.reports();
        if reports.n_hosts() > records.len() {
            let present: HashSet<&str> = records.iter().map(|it| it.host.as_str()).collect();
            reports.retain(|host| present.contains(host));
        }
        reports.take(&self.gossip.membership.own().host, charter_number);
    }

    async fn report(self, entry_host: Arc<MemberRecord>, report: HostReport, told: Told) {
        let call = self.gossip.peers.call(
            entry_host.peer_address,
            LinkClass::Control,
            CALL_TIMEOUT,
            |peer, ctx| async move { peer.report(ctx, report).await },
        );
        let Err(err) = call.await else { return };
        log::debug!("gossip: status not reported host={} error=\"{err}\"", entry_host.host);
        let mut all_told = self.told.lock().unwrap();
        if all_told.get(&entry_host.host) == Some(&told) {
            all_told.remove(&entry_host.host);
        }
    }
}
