//! Takes datagrams of other slot processes.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    fleet::{ManifestCopy, PeerMessage, PiecesHeld},
    runtime,
    slot::{
        slot_state::{Claim, SlotState},
        switcher::KEPT_VERSIONS,
        Holder,
    },
};

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Manifests that are kept for versions of which this process has not heard yet.
const MAX_MANIFEST_COPIES: usize = 3;
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Takes datagrams until the task is dropped.
pub(crate) async fn receive(slot: Rc<SlotState>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n_bytes, from) = match slot.socket.recv_from(&mut bytes).await {
            Ok(it) => it,
            Err(err) => {
                log::debug!("slot: message not received error=\"{err}\"");
                runtime::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        match bincode::deserialize(&bytes[..n_bytes]) {
            Ok(PeerMessage::PiecesHeld(held)) => take(&slot, held, from).await,
            Ok(PeerMessage::Manifest(copy)) => take_manifest(&slot, copy),
            Ok(_) => log::debug!("slot: message not for slots from={from}"),
            Err(err) => log::warn!("slot: message not readable from={from} error=\"{err}\""),
        }
    }
}

/// Keeps a manifest until its version is fetched.
fn take_manifest(slot: &SlotState, copy: ManifestCopy) {
    let mut copies = slot.manifest_copies.borrow_mut();
    copies.entry(copy.version).or_insert(copy);
    while copies.len() > MAX_MANIFEST_COPIES {
        copies.pop_first();
    }
    slot.changed.notify(usize::MAX);
}

async fn take(slot: &SlotState, held: PiecesHeld, from: SocketAddr) {
    slot.heard.borrow_mut().insert(from, Instant::now());
    match held.reaches_origin {
        true => slot.without_origin.borrow_mut().remove(&from),
        false => slot.without_origin.borrow_mut().insert(from, Instant::now()),
    };
    let before = slot.members.borrow_mut().insert(from, held.zone.clone());
    if before.is_none() {
        slot.update_ranks();
    }
    let Some((model, target)) = slot.target() else { return };
    if held.model != model || held.version + KEPT_VERSIONS <= target {
        return;
    }
    let fetching = held.fetching.into_iter().collect();
    let claim = Claim { fetching, heard: Instant::now() };
    slot.claims.borrow_mut().insert((held.version, from), claim);
    let pieces = held.pieces.into_iter().collect();
    let has_manifest = held.has_manifest;
    let holder = Holder { zone: held.zone, has_manifest, pieces, is_available: true };
    slot.holders.borrow_mut().entry(held.version).or_default().insert(from, holder);
    slot.changed.notify(usize::MAX);
    if held.asks {
        slot.announce(held.version, &[from], false).await;
    }
}
