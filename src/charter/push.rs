//! Sends a new document to many processes at once, so that they need not read it from the platform.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;

use crate::{
    membership::{HostRole, HostState, MemberRecord},
    node::Node,
    peer::{Document, LinkClass},
};

/// Maximum number of entry hosts that a document is pushed to; the others receive it by gossip.
const MAX_PUSHED_ENTRY_HOSTS: usize = 24;
/// Maximum number of slots that a document is pushed to; the others receive it by gossip.
const MAX_PUSHED_SLOTS: usize = 8;
/// Timeout of one offer of a document.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Offers `document` to random entry hosts and slots and waits until all responded or timed out.
///
/// All entry hosts get the offer if there are at most `MAX_PUSHED_ENTRY_HOSTS`.
pub async fn push_document(node: &Node, document: Document) {
    let own = node.membership.own();
    let mut records = node.membership.records();
    records.retain(|it| it.state != HostState::Gone && it.host != own.host);
    let targets = choose_targets(records);
    let offers = targets.iter().map(|it| offer(node, it, document.clone()));
    let n_accepted = join_all(offers).await.into_iter().filter(|it| *it).count();
    let (name, number) = (&document.name, document.number);
    log::info!(
        "charter: pushed a document name={name} number={number} taken={n_accepted} asked={}",
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
            log::debug!("charter: failed to push a document host={} error=\"{err}\"", record.host);
            false
        }
    }
}
