//! Watches the documents that the platform stores, on behalf of all processes.
//!
//! Only the hosts that rank first for an object by rendezvous hash watch it, so that the number of
//! calls to the platform does not grow with the fleet. Gossip distributes the documents to all
//! other hosts.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Task;
use serde::Deserialize;
use serde_bytes::ByteBuf;

use crate::{
    charter::push_document,
    ids::{HostId, Revision},
    membership::{self, HostRole, HostState, MemberRecord},
    node::Node,
    objects::{Object, PlatformError, Precondition},
    peer::{Document, DocumentName},
    runtime,
};

/// The number of hosts that watch one object.
const N_WATCHERS: usize = 3;
/// Time after which a watch without a change ends and is sent again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the objects to watch are chosen again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after an empty response that arrived before half of the wait had passed.
const EARLY_RESPONSE_PAUSE: Duration = Duration::from_secs(2);
/// Delay before the first retry of a failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay between retries of a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Number of watches without a change after which the object is read, whatever its revision, as the
/// service may have come back from an older copy without an error.
const MAX_EMPTY_WATCHES: u32 = 3;
/// Mean delay before a charter that the service has lost is written again.
const WRITE_AGAIN_DELAY: Duration = Duration::from_secs(1);
/// Time after its start from which a process without a charter watches the charter itself, whatever
/// its rank; a random factor of 1 to 2 spreads the processes.
const CHARTER_READ_DELAY: Duration = Duration::from_secs(4);

/// Minimum interval between reads of the platform's list of hosts by a process that has found no
/// other host.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of addresses from the list of hosts that are tried.
const MAX_LISTED_ADDRESSES: usize = 16;

/// The watches of one process.
///
/// A process watches the documents for which its host ranks first. A process that still has no
/// charter after `CHARTER_READ_DELAY` also watches the charter, and one that has found no other
/// host also reads the platform's list of hosts, so that it can join.
#[derive(Debug)]
pub struct DocumentWatch {
    node: Arc<Node>,
    watches: BTreeMap<DocumentName, Task<()>>,
    host_list_read_at: Option<Instant>,
}

impl DocumentWatch {
    /// Runs the watches until the task is dropped.
    pub async fn run(node: Arc<Node>) {
        let mut watch = DocumentWatch { node, watches: BTreeMap::new(), host_list_read_at: None };
        let started = Instant::now();
        let charter_read_delay = CHARTER_READ_DELAY.mul_f64(1.0 + fastrand::f64());
        loop {
            let is_late = started.elapsed() > charter_read_delay;
            let has_charter = watch.node.documents.charter_number() > 0;
            // While the own host is the only known member, it would rank first for every object, so
            // that every starting process would watch all of them.
            if is_late || watch.node.membership.has_joined() {
                watch.update(is_late && !has_charter);
            }
            if is_late && watch.node.membership.records().len() == 1 {
                watch.read_host_list().await;
            }
            runtime::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Reads the platform's list of hosts as further seed addresses, because no address in the
    /// settings responds.
    async fn read_host_list(&mut self) {
        if self.host_list_read_at.is_some_and(|it| it.elapsed() < HOST_LIST_INTERVAL) {
            return;
        }
        self.host_list_read_at = Some(Instant::now());
        match self.node.platform.hosts().await {
            Ok(hosts) => {
                let mut addresses: Vec<_> = hosts.into_iter().map(|it| it.peer_address).collect();
                fastrand::shuffle(&mut addresses);
                addresses.truncate(MAX_LISTED_ADDRESSES);
                log::info!("platform: read the list of hosts hosts={}", addresses.len());
                self.node.membership.set_platform_addresses(addresses);
            }
            Err(err) => log::warn!("platform: failed to read the list of hosts error=\"{err}\""),
        }
    }

    fn update(&mut self, must_watch_charter: bool) {
        let wanted = self.documents_to_watch(must_watch_charter);
        self.watches.retain(|name, _| wanted.contains(name));
        for name in wanted {
            let node = self.node.clone();
            let watched_name = name.clone();
            self.watches
                .entry(name)
                .or_insert_with(|| runtime::spawn(watch_document(node, watched_name)));
        }
    }

    fn documents_to_watch(&self, must_watch_charter: bool) -> Vec<DocumentName> {
        let charter = self.node.documents.charter();
        let pools = charter.iter().flat_map(|it| it.pools.keys().cloned());
        let mut names = vec![DocumentName::Charter, DocumentName::Quarantine];
        names.extend(pools.map(DocumentName::Pool));
        let own = &self.node.settings.host.id;
        let records = self.node.membership.records();
        names.retain(|it| choose_watchers(&it.to_string(), &records).contains(own));
        if must_watch_charter && !names.contains(&DocumentName::Charter) {
            names.push(DocumentName::Charter);
        }
        names
    }
}

/// Returns the hosts that watch `object`: entry hosts, and backend server hosts only if fewer than
/// `N_WATCHERS` entry hosts are joining or live.
pub fn choose_watchers(object: &str, records: &[Arc<MemberRecord>]) -> Vec<HostId> {
    let is_up = |it: &&Arc<MemberRecord>| matches!(it.state, HostState::Joining | HostState::Live);
    let (entry_hosts, slots): (Vec<_>, Vec<_>) =
        records.iter().filter(is_up).partition(|it| it.role == HostRole::Entry);
    let ids = |records: Vec<&Arc<MemberRecord>>| -> Vec<HostId> {
        records.into_iter().map(|it| it.host.clone()).collect()
    };
    let decision = format!("watch/{object}");
    let mut watchers = membership::rank(&decision, &ids(entry_hosts));
    if watchers.len() < N_WATCHERS {
        watchers.extend(membership::rank(&decision, &ids(slots)));
    }
    watchers.truncate(N_WATCHERS);
    watchers
}

async fn watch_document(node: Arc<Node>, name: DocumentName) {
    let object_name = name.to_string();
    let mut known_revision: Option<Revision> = None;
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut n_empty_watches = 0;
    loop {
        let sent_at = Instant::now();
        match read_or_watch(&node, &object_name, known_revision).await {
            Ok(Some(object)) => {
                retry_delay = FIRST_RETRY_DELAY;
                n_empty_watches = 0;
                // A read may have a lower revision than before.
                known_revision = Some(known_revision.unwrap_or(0).max(object.revision));
                apply_object(&node, &name, object).await;
            }
            Ok(None) => {
                retry_delay = FIRST_RETRY_DELAY;
                let is_early = known_revision.is_some() && sent_at.elapsed() < WATCH_TIMEOUT / 2;
                n_empty_watches += 1;
                let is_due = n_empty_watches % MAX_EMPTY_WATCHES == 0;
                known_revision = Some(known_revision.unwrap_or(0)).filter(|_| !is_due);
                if is_early {
                    runtime::sleep(EARLY_RESPONSE_PAUSE).await;
                }
            }
            Err(err) => {
                // The service may come back from an older copy, whose revisions are lower.
                known_revision = None;
                log::warn!("platform: failed to read an object name={object_name} error=\"{err}\"");
                runtime::sleep(retry_delay.mul_f64(0.5 + fastrand::f64())).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

async fn read_or_watch(
    node: &Node,
    object: &str,
    known_revision: Option<Revision>,
) -> Result<Option<Object>, PlatformError> {
    match known_revision {
        None => node.platform.get(object).await,
        Some(revision) => node.platform.watch(object, revision, WATCH_TIMEOUT).await,
    }
}

async fn apply_object(node: &Node, name: &DocumentName, object: Object) {
    let Ok(header) = serde_json::from_slice::<DocumentHeader>(&object.value) else {
        log::error!(
            "platform: skipped an invalid object without a document number name={name} revision={}",
            object.revision
        );
        return;
    };
    let number = header.number;
    if *name == DocumentName::Charter && number < node.documents.charter_number() {
        write_charter_again(node).await;
        return;
    }
    let document = Document { name: name.clone(), number, json: ByteBuf::from(object.value) };
    let res = node.documents.offer(document.clone());
    if *name == DocumentName::Charter {
        node.documents.end_join();
    }
    match res {
        Ok(true) => {
            log::info!("platform: applied a document name={name} number={number}");
            push_document(node, document).await;
        }
        Ok(false) => {}
        Err(err) => {
            log::error!("platform: failed to apply a document error=\"{err}\"");
        }
    }
}

/// Writes the newest charter that this process knows, if the service still has an older one after a
/// delay. The condition prevents that an outdated read or another writer's newer charter is replaced.
async fn write_charter_again(node: &Node) {
    runtime::sleep(WRITE_AGAIN_DELAY.mul_f64(0.5 + fastrand::f64())).await;
    let name = DocumentName::Charter.to_string();
    let Some(newest) = node.documents.document(&DocumentName::Charter) else { return };
    let Ok(Some(stored)) = node.platform.get(&name).await else { return };
    let header = serde_json::from_slice::<DocumentHeader>(&stored.value);
    if header.is_ok_and(|it| it.number < newest.number) {
        let condition = Precondition::Revision(stored.revision);
        let res = node.platform.put(&name, &newest.json, condition).await;
        log::warn!(
            "platform: wrote a charter again that was lost number={} res={res:?}",
            newest.number
        );
    }
}

/// The field that documents of every release have.
#[derive(Deserialize)]
struct DocumentHeader {
    number: u64,
}
