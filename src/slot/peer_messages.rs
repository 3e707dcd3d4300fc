//! Receives datagrams from other slot processes.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use crate::{
    fleet::{ManifestCopy, MessageReceiver, PeerMessage, PiecesHeld},
    slot::{
        engine_driver::N_KEPT_VERSIONS,
        slot_state::{Claim, SlotState},
        PieceHolder,
    },
};

/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// The maximum number of forwarded manifests that are kept until this process fetches their
/// version.
const MAX_MANIFEST_COPIES: usize = 3;

/// Receives and applies datagrams until the task is dropped.
pub(crate) async fn receive(slot: Rc<SlotState>) {
    let mut receiver = MessageReceiver::new(&slot.socket, MAX_DATAGRAM_BYTES);
    loop {
        match receiver.next().await {
            (from, PeerMessage::PiecesHeld(it)) => apply_pieces_held(&slot, it, from).await,
            (_, PeerMessage::Manifest(copy)) => store_manifest_copy(&slot, copy),
            (from, _) => log::debug!("slot: ignored a message for entry hosts from={from}"),
        }
    }
}

/// Stores a forwarded manifest until the fetch of its version uses it.
fn store_manifest_copy(slot: &SlotState, copy: ManifestCopy) {
    let mut copies = slot.manifest_copies.borrow_mut();
    copies.entry(copy.version).or_insert(copy);
    while copies.len() > MAX_MANIFEST_COPIES {
        copies.pop_first();
    }
    slot.changed.notify(usize::MAX);
}

async fn apply_pieces_held(slot: &SlotState, message: PiecesHeld, from: SocketAddr) {
    slot.last_received.borrow_mut().insert(from, Instant::now());
    match message.reaches_origin {
        true => slot.origin_unreachable_at.borrow_mut().remove(&from),
        false => slot.origin_unreachable_at.borrow_mut().insert(from, Instant::now()),
    };
    let previous_zone = slot.members.borrow_mut().insert(from, message.zone.clone());
    if previous_zone.is_none() {
        slot.update_ranks();
    }
    let Some((model, target)) = slot.target() else { return };
    if message.model != model || message.version.saturating_add(N_KEPT_VERSIONS) <= target {
        return;
    }
    let fetching = message.fetching.into_iter().collect();
    let claim = Claim { fetching, received: Instant::now() };
    slot.claims.borrow_mut().insert((message.version, from), claim);
    let pieces = message.pieces.into_iter().collect();
    let has_manifest = message.has_manifest;
    let holder = PieceHolder { zone: message.zone, has_manifest, pieces };
    slot.holders.borrow_mut().entry(message.version).or_default().insert(from, holder);
    slot.changed.notify(usize::MAX);
    if message.asks {
        slot.announce(message.version, &[from], false).await;
    }
}
