//! Reads charters and versions from other entry hosts that know newer ones than this host.
//!
//! A store that comes back from an older copy may lack the newest documents until their writer writes
//! them again. A host that starts meanwhile learns them from the others before it is ready.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::{entry_host::EntryHost, store_sync},
    fleet::{KindUpdate, StoreSource},
    platform::{store::StoreError, wire_config, wire_server},
    runtime,
};

/// Interval at which the numbers of the other hosts are compared.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a ready host waits for its own source to tell what others know already.
const SOURCE_DELAY: Duration = Duration::from_secs(1);
/// Mean time between two reads from other hosts.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Compares this host with the others and reads from one that is ahead, until the task is dropped.
pub(crate) async fn run(host: Rc<EntryHost>) {
    let mut n_reads = 0;
    let mut ahead_since: Option<Instant> = None;
    loop {
        runtime::sleep(CHECK_INTERVAL).await;
        let Some(source) = host_ahead(&host, n_reads) else {
            ahead_since = None;
            continue;
        };
        let since = *ahead_since.get_or_insert_with(Instant::now);
        if host.has_caught_up() && since.elapsed() < SOURCE_DELAY {
            continue;
        }
        n_reads += 1;
        if let Err(err) = read(&host, source).await {
            log::warn!("store: failed to read newer documents from={source:?} error=\"{err}\"");
        }
        runtime::sleep(READ_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Returns one of the hosts that know newer documents than this host, another one after each read.
fn host_ahead(host: &EntryHost, n_reads: usize) -> Option<StoreSource> {
    let own = host.document_numbers();
    let peers = host.peers.borrow();
    let ahead: Vec<StoreSource> =
        peers.ahead_of(&own, Instant::now()).map(|it| StoreSource::Relay(it.peers)).collect();
    ahead.get(n_reads % ahead.len().max(1)).copied()
}

/// Applies the charter and the versions of another host, which the numbers in them put into force.
async fn read(host: &EntryHost, source: StoreSource) -> Result<(), StoreError> {
    let client = host.sources.client(source);
    for kind in [wire_config::CONFIG_KIND, wire_server::VERSION_KIND] {
        let objects = client.list(kind).await?.objects;
        host.cache.learn(kind, &objects);
        let update = KindUpdate::Listed { objects, restored_until: 0, max_age: None };
        match kind {
            wire_config::CONFIG_KIND => store_sync::apply_charters(host, update),
            _ => store_sync::apply_version_update(host, update),
        }
    }
    log::info!("store: read newer documents from={source:?}");
    Ok(())
}
