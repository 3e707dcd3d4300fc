//! Sends a new document to many processes at once, so that it spreads without the platform.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;

use crate::{
    membership::{HostRole, HostState, MemberRecord},
    node::Node,
    peer::{Document, LinkClass},
};

/// Entry hosts that get a new document at once; gossip brings it to further ones.
const MAX_PUSHED_ENTRY_HOSTS: usize = 24;
/// Slots that get a new document at once; gossip brings it to the others.
const MAX_PUSHED_SLOTS: usize = 8;
/// Time limit of one offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Offers `document` to all entry hosts, as far as they are few, and some random slots; ends when all answered or timed out.
pub async fn push_document(node: &Node, document: Document) {
    let own = node.membership.own();
    let mut records = node.membership.records();
    records.retain(|it| it.state != HostState::Gone && it.host != own.host);
    let targets = choose_targets(records);
    let offers = targets.iter().map(|it| offer(node, it, document.clone()));
    let n_accepted = join_all(offers).await.into_iter().filter(|it| *it).count();
    let (name, number) = (&document.name, document.number);
    log::info!(
        "charter: document pushed name={name} number={number} taken={n_accepted} asked={}",
        targets.len()
    );
}

fn choose_targets(records: Vec<Arc<MemberRecord>>) -> Vec<Arc<MemberRecord>> {
    let (mut targets, mut slots): (Vec<_>, Vec<_>) =
        records.into_iter().partition(|it| it.role == HostRole::Entry);
    fastrand::shuffle(&mut targets);
    targets.truncate(MAX_PUSHED_ENTRY_HOSTS);
    fastrand::shuffle(&mut slots);
    targets.extend(slots.into_iter().take(MAX_PUSHED_SLOTS));
    targets
}

async fn offer(node: &Node, record: &MemberRecord, document: Document) -> bool {
    let number = document.number;
    let call = node.peers.call(
        record.peer_address,
        LinkClass::Control,
        OFFER_TIMEOUT,
        |peer, ctx| async move { peer.offer(ctx, document).await },
    );
    match call.await {
        Ok(peer_number) => peer_number >= number,
        Err(err) => {
            log::debug!("charter: document not pushed host={} error=\"{err}\"", record.host);
            false
        }
    }
}
