//! Join of a starting process: obtains the list of hosts and the latest documents from peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;

use crate::{
    membership::{gossip::Gossip, member_record::HostRole},
    runtime,
};

/// The mean delay between two attempts to join.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The number of entry hosts, and of other hosts, from which a joining process pulls documents.
const HOSTS_PER_ROLE: usize = 3;
/// The number of failed attempts after which a process starts work without having reached a peer.
const ATTEMPTS_BEFORE_STANDALONE: u32 = 3;

/// Fetches the list of hosts from one peer and pulls documents from several, with retries.
///
/// Documents are hidden until the join ends, so that a replacement host does not start with an
/// older charter in force than its predecessor had. A process that reaches no peer is marked as
/// joined after `ATTEMPTS_BEFORE_STANDALONE` attempts, so that it may read the platform, and
/// continues to retry until the documents are visible. Without seed addresses in the settings it
/// does not retry.
pub(crate) async fn join(gossip: &Arc<Gossip>) {
    gossip.documents.begin_join();
    for n_attempts in 1u32.. {
        if fetch_members(gossip).await && exchange_with_several(gossip).await {
            break;
        }
        if n_attempts >= ATTEMPTS_BEFORE_STANDALONE {
            gossip.membership.set_joined(true);
        }
        let are_documents_visible = !gossip.documents.is_joining();
        if are_documents_visible || gossip.configured_addresses.is_empty() {
            break;
        }
        runtime::sleep(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
    }
    gossip.documents.end_join();
    gossip.membership.set_joined(true);
    let n_hosts = gossip.membership.records().len();
    let charter = gossip.documents.charter_number();
    log::info!("gossip: finished the join hosts={n_hosts} charter={charter}");
}

/// Fetches the list of hosts from the first address, in random order, that responds.
async fn fetch_members(gossip: &Arc<Gossip>) -> bool {
    let own = gossip.membership.own().peer_address;
    let records = gossip.membership.records();
    let mut addresses: Vec<SocketAddr> = records.iter().map(|it| it.peer_address).collect();
    addresses.extend(gossip.seed_addresses());
    addresses.retain(|it| *it != own);
    fastrand::shuffle(&mut addresses);
    for address in addresses {
        match gossip.fetch_members(address).await {
            Ok(()) => return true,
            Err(err) => log::debug!("gossip: failed to fetch the list of hosts error=\"{err}\""),
        }
    }
    false
}

/// Exchanges documents with several hosts; returns `true` if at least one responded.
///
/// Known entry hosts are always included, because they get new documents first.
async fn exchange_with_several(gossip: &Arc<Gossip>) -> bool {
    let own = gossip.membership.own().host.clone();
    let mut records = gossip.membership.records();
    records.retain(|it| it.host != own);
    fastrand::shuffle(&mut records);
    let (entry_hosts, slots): (Vec<_>, Vec<_>) =
        records.into_iter().partition(|it| it.role == HostRole::Entry);
    let queried = entry_hosts.iter().take(HOSTS_PER_ROLE).chain(slots.iter().take(HOSTS_PER_ROLE));
    let exchanges = queried.map(|it| gossip.exchange_with(it.peer_address));
    join_all(exchanges).await.contains(&true)
}
