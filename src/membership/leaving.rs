//! Announces to all entry hosts that this host accepts no new work.

use std::time::Duration;

use futures_util::future::join_all;

use crate::{
    membership::{HostRole, HostState},
    node::Node,
    peer::LinkClass,
};

/// The timeout of the announcement to one entry host.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Marks this host as leaving and announces it to all other entry hosts in parallel.
///
/// Gossip spreads the state to all further hosts.
pub async fn announce_leaving(node: &Node) {
    node.membership.update_own(|it| it.state = HostState::Leaving);
    let own = node.membership.own();
    let records = node.membership.records();
    let entry_hosts = records.iter().filter(|it| {
        it.role == HostRole::Entry && it.host != own.host && it.state != HostState::Gone
    });
    let announcements = entry_hosts.map(|it| {
        let record = (*own).clone();
        node.peers.call(
            it.peer_address,
            LinkClass::Control,
            ANNOUNCE_TIMEOUT,
            |peer, ctx| async move { peer.announce(ctx, record).await },
        )
    });
    let results = join_all(announcements).await;
    let n_notified = results.iter().filter(|it| it.is_ok()).count();
    log::info!(
        "gossip: announced to entry hosts that this host is leaving told={n_notified} asked={}",
        results.len()
    );
}
