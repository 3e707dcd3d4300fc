//! Tells all entry hosts at once that this host takes no new work.

use std::time::Duration;

use futures_util::future::join_all;

use crate::{
    membership::{HostRole, HostState},
    node::Node,
    peer::LinkClass,
};

/// Time limit of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Marks the own host as leaving and tells all entry hosts; gossip tells the others.
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
    log::info!("gossip: leaving announced told={n_notified} asked={}", results.len());
}
