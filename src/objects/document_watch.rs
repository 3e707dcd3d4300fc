//! Watches the documents at the platform on behalf of all processes.
//!
//! Only the hosts that rank first for an object watch it, so the platform's calls do not grow with
//! the fleet; gossip brings what they read to everyone else.

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
    objects::{Object, PlatformError},
    peer::{Document, DocumentName},
    runtime,
};

/// Hosts that watch one object.
const WATCHERS: usize = 3;
/// Time after which a watch without news is asked anew.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause between two checks of which objects to watch.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after an empty answer that came before the wait was over.
const EARLY_ANSWER_PAUSE: Duration = Duration::from_secs(2);
/// First pause after a failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest pause between failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Time after its start at which a process without a charter reads the platform itself.
const START_READ_DELAY: Duration = Duration::from_secs(4);

/// Pause between two reads of the list of hosts by a process that knows nobody.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Addresses of the list that are tried.
const MAX_LISTED: usize = 16;

/// The watches of one process.
#[derive(Debug)]
pub struct DocumentWatch {
    node: Arc<Node>,
    watches: BTreeMap<DocumentName, Task<()>>,
    list_read: Option<Instant>,
}

impl DocumentWatch {
    /// Watches until the task is dropped.
    pub async fn run(node: Arc<Node>) {
        let mut watch = DocumentWatch { node, watches: BTreeMap::new(), list_read: None };
        let started = Instant::now();
        let start_delay = START_READ_DELAY.mul_f64(1.0 + fastrand::f64());
        loop {
            let is_late = started.elapsed() > start_delay;
            let has_charter = watch.node.documents.charter_number() > 0;
            // A view of only the own host would make every starting process a watcher.
            if is_late || watch.node.membership.has_joined() {
                watch.update(is_late && !has_charter);
            }
            if is_late && watch.node.membership.records().len() == 1 {
                watch.read_host_list().await;
            }
            runtime::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Looks for somebody to join by, as none of the addresses in the settings answers.
    async fn read_host_list(&mut self) {
        if self.list_read.is_some_and(|it| it.elapsed() < LIST_INTERVAL) {
            return;
        }
        self.list_read = Some(Instant::now());
        match self.node.platform.hosts().await {
            Ok(hosts) => {
                let mut addresses: Vec<_> = hosts.into_iter().map(|it| it.peer_address).collect();
                fastrand::shuffle(&mut addresses);
                addresses.truncate(MAX_LISTED);
                log::info!("platform: list of hosts read hosts={}", addresses.len());
                self.node.membership.set_platform_addresses(addresses);
            }
            Err(err) => log::warn!("platform: list of hosts not read error=\"{err}\""),
        }
    }

    fn update(&mut self, must_read_alone: bool) {
        let wanted = self.wanted(must_read_alone);
        self.watches.retain(|name, _| wanted.contains(name));
        for name in wanted {
            let node = self.node.clone();
            let watched = name.clone();
            self.watches.entry(name).or_insert_with(|| runtime::spawn(watch_one(node, watched)));
        }
    }

    fn wanted(&self, must_read_alone: bool) -> Vec<DocumentName> {
        let charter = self.node.documents.charter();
        let pools = charter.iter().flat_map(|it| it.pools.keys().cloned());
        let mut names = vec![DocumentName::Charter, DocumentName::Quarantine];
        names.extend(pools.map(DocumentName::Pool));
        let own = &self.node.settings.host.id;
        let records = self.node.membership.records();
        names.retain(|it| choose_watchers(&it.to_string(), &records).contains(own));
        if must_read_alone && !names.contains(&DocumentName::Charter) {
            names.push(DocumentName::Charter);
        }
        names
    }
}

/// The hosts that watch `object`: entry hosts first, slots only where too few entry hosts are up.
pub fn choose_watchers(object: &str, records: &[Arc<MemberRecord>]) -> Vec<HostId> {
    let is_up = |it: &&Arc<MemberRecord>| matches!(it.state, HostState::Joining | HostState::Live);
    let (entry_hosts, slots): (Vec<_>, Vec<_>) =
        records.iter().filter(is_up).partition(|it| it.role == HostRole::Entry);
    let ids = |records: Vec<&Arc<MemberRecord>>| -> Vec<HostId> {
        records.into_iter().map(|it| it.host.clone()).collect()
    };
    let decision = format!("watch/{object}");
    let mut watchers = membership::rank(&decision, &ids(entry_hosts));
    if watchers.len() < WATCHERS {
        watchers.extend(membership::rank(&decision, &ids(slots)));
    }
    watchers.truncate(WATCHERS);
    watchers
}

async fn watch_one(node: Arc<Node>, name: DocumentName) {
    let object = name.to_string();
    let mut known: Option<Revision> = None;
    let mut delay = FIRST_RETRY_DELAY;
    loop {
        let asked = Instant::now();
        match read(&node, &object, known).await {
            Ok(Some(it)) => {
                delay = FIRST_RETRY_DELAY;
                known = Some(known.unwrap_or(0).max(it.revision));
                take(&node, &name, it).await;
            }
            Ok(None) => {
                delay = FIRST_RETRY_DELAY;
                let is_early = known.is_some() && asked.elapsed() < WATCH_WAIT / 2;
                known = Some(known.unwrap_or(0));
                if is_early {
                    runtime::sleep(EARLY_ANSWER_PAUSE).await;
                }
            }
            Err(err) => {
                log::warn!("platform: object not read name={object} error=\"{err}\"");
                runtime::sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

async fn read(
    node: &Node,
    object: &str,
    known: Option<Revision>,
) -> Result<Option<Object>, PlatformError> {
    match known {
        None => node.platform.get(object).await,
        Some(revision) => node.platform.watch(object, revision, WATCH_WAIT).await,
    }
}

async fn take(node: &Node, name: &DocumentName, object: Object) {
    let Ok(numbered) = serde_json::from_slice::<Numbered>(&object.value) else {
        log::error!("platform: object without a number name={name} revision={}", object.revision);
        return;
    };
    let number = numbered.number;
    let document = Document { name: name.clone(), number, json: ByteBuf::from(object.value) };
    let res = node.documents.offer(document.clone());
    if *name == DocumentName::Charter {
        node.documents.end_join();
    }
    match res {
        Ok(true) => {
            log::info!("platform: document read name={name} number={number}");
            push_document(node, document).await;
        }
        Ok(false) => {}
        Err(err) => {
            log::error!("platform: document refused error=\"{err}\"");
        }
    }
}

#[derive(Deserialize)]
struct Numbered {
    number: u64,
}
