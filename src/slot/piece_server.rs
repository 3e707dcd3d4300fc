//! Serves manifests and verified pieces to other slot processes.

use std::rc::Rc;

use crate::{
    http1::{Responder, SmallAnswer},
    platform::origin_api::encode_manifest,
    slot::{slot_state::SlotState, Shelf},
};

/// Starts to serve.
pub(crate) fn listen(slot: &Rc<SlotState>) -> std::io::Result<Responder> {
    let address = slot.settings.peers;
    let slot = slot.clone();
    Responder::listen(address, move |head| answer(&slot, &head.target))
}

/// The path of a manifest.
pub(crate) fn manifest_path(model: &str, version: u64) -> String {
    format!("/manifest/{model}/{version}")
}

/// The path of a piece.
pub(crate) fn piece_path(model: &str, version: u64, number: u32) -> String {
    format!("/piece/{model}/{version}/{number}")
}

fn answer(slot: &SlotState, target: &str) -> SmallAnswer {
    let shelf = slot.shelf.borrow();
    let Some(shelf) = shelf.as_ref() else { return SmallAnswer::status(404) };
    match held_bytes(shelf, target) {
        Some(body) => SmallAnswer { status: 200, content_type: "application/octet-stream", body },
        None => SmallAnswer::status(404),
    }
}

fn held_bytes(shelf: &Shelf, target: &str) -> Option<Vec<u8>> {
    if target == manifest_path(&shelf.model, shelf.version) {
        return Some(encode_manifest(shelf.version, &shelf.manifest));
    }
    let (_, number) = target.rsplit_once('/')?;
    let number = number.parse().ok()?;
    if target != piece_path(&shelf.model, shelf.version, number) {
        return None;
    }
    shelf.get(number).map(|it| it.to_vec())
}
