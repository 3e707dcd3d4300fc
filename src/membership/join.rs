//! How a starting process learns of the others and of the greatest documents.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;

use crate::{
    membership::{gossip::Gossip, member_record::HostRole},
    runtime,
};

/// Pause between two tries to join.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Hosts of each role that a starting process asks for documents.
const HOSTS_PER_ROLE: usize = 3;
/// Tries after which a process that reaches nobody acts alone.
const ATTEMPTS_BEFORE_STANDALONE: u32 = 3;

/// Takes the list of hosts from one peer and the documents from several; ends when that is done.
///
/// Documents stay hidden meanwhile, so that a replaced host does not fall back behind the charter
/// that its predecessor had in force. A process that reaches nobody is marked as joined after some
/// tries, so that it may read the platform, and goes on trying.
pub(crate) async fn join(gossip: &Arc<Gossip>) {
    gossip.documents.begin_join();
    for n_attempts in 1u32.. {
        if fetch_members(gossip).await && exchange_with_several(gossip).await {
            break;
        }
        if n_attempts >= ATTEMPTS_BEFORE_STANDALONE {
            gossip.membership.set_joined(true);
        }
        let is_platform_read = !gossip.documents.is_joining();
        if is_platform_read || gossip.join.is_empty() {
            break;
        }
        runtime::sleep(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
    }
    gossip.documents.end_join();
    gossip.membership.set_joined(true);
    let n_hosts = gossip.membership.records().len();
    let charter = gossip.documents.charter_number();
    log::info!("gossip: joined hosts={n_hosts} charter={charter}");
}

/// Takes the list from the first of the known addresses that answers.
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
            Err(err) => log::debug!("gossip: list of hosts not taken error=\"{err}\""),
        }
    }
    false
}

/// Exchanges with several hosts, entry hosts among them, as they get new documents first.
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
