//! Obtains the manifest of one version and forwards it to other slots.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    fleet::{ManifestCopy, PeerMessage},
    ids::WeightsVersion,
    runtime,
    slot::{manifest_source::ManifestSource, slot_state::SlotState, PieceDigest, PieceStore},
};

/// Minimum time for other slots to respond before a manifest is requested from the origin.
const PEER_RESPONSE_TIME: Duration = Duration::from_millis(25);
/// Share of the pieces that another slot must have for this slot to count as a late joiner.
const LATE_JOIN_SHARE: f64 = 0.15;
/// Longest manifest, in bytes of its digests, that is forwarded in a datagram.
const MAX_MANIFEST_DATAGRAM_BYTES: usize = 7 << 10;

/// Obtains the manifest of one version for this slot and forwards it to slots of its own and other
/// zones.
///
/// Most slots therefore need not request it from the origin.
pub(crate) struct ManifestDistributor {
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    started: Instant,
    source: ManifestSource,
}

impl ManifestDistributor {
    /// Creates the distributor of one version.
    pub(crate) fn new(
        slot: Rc<SlotState>,
        model: &str,
        version: WeightsVersion,
    ) -> ManifestDistributor {
        ManifestDistributor {
            source: ManifestSource::new(slot.clone(), model, version),
            slot,
            model: model.to_owned(),
            version,
            started: Instant::now(),
        }
    }

    /// Reads the manifest from another slot or the origin, creates the piece store and forwards the
    /// manifest.
    ///
    /// Returns `true` if this slot joined so late that its scheduled origin fetches are over.
    pub(crate) async fn obtain(&self) -> bool {
        runtime::sleep(PEER_RESPONSE_TIME).await;
        loop {
            let delay = self.slot.manifest_delay();
            let may_use_origin = self.started.elapsed() >= PEER_RESPONSE_TIME + delay;
            if let Some(found) = self.source.read(may_use_origin).await {
                let piece_store = PieceStore::new(&self.model, self.version, found.manifest);
                self.slot.piece_stores.borrow_mut().insert(self.version, piece_store);
                let has_joined_late = self.is_late_join();
                self.forward(found.is_from_origin).await;
                return has_joined_late;
            }
        }
    }

    /// Returns `true` if another slot already has more than `LATE_JOIN_SHARE` of the pieces.
    fn is_late_join(&self) -> bool {
        let n_pieces = self.slot.pool.borrow().as_ref().map_or(0, |it| it.engine_spec.n_pieces);
        let holders = self.slot.holders.borrow();
        let mut holders = holders.get(&self.version).into_iter().flat_map(|it| it.values());
        holders.any(|it| it.pieces.len() as f64 > LATE_JOIN_SHARE * f64::from(n_pieces))
    }

    /// Forwards the manifest to other slots and announces to its neighbours that this slot has it.
    ///
    /// A slot that got it from the origin sends it to the first-ranked slot of each other zone and
    /// to all slots of its own zone; a first-ranked slot sends it to all slots of its zone.
    async fn forward(&self, is_from_origin: bool) {
        let own = self.slot.settings.peers;
        let zone = &self.slot.settings.host.zone;
        let digests = {
            let piece_stores = self.slot.piece_stores.borrow();
            piece_stores
                .get(&self.version)
                .map(|it| it.manifest.digests.clone())
                .unwrap_or_default()
        };
        let is_first_in_zone = self.slot.ranks.borrow().zone_rank(0, zone, own) == 0;
        let mut targets = Vec::new();
        if is_from_origin {
            targets.extend(self.slot.ranks.borrow().zone_fetchers(0, zone));
        }
        if is_from_origin || is_first_in_zone {
            targets.extend(self.slot.same_zone_members());
        }
        let fits_datagram = digests.len() * size_of::<PieceDigest>() <= MAX_MANIFEST_DATAGRAM_BYTES;
        if fits_datagram && !targets.is_empty() {
            let copy = ManifestCopy { model: self.model.clone(), version: self.version, digests };
            self.slot.send(&targets, &PeerMessage::Manifest(copy)).await;
        }
        let neighbours = self.slot.neighbours.borrow().clone();
        self.slot.announce(self.version, &neighbours, false).await;
    }

    /// Reads the manifest again and replaces it if it differs, as mismatches may be due to a wrong
    /// manifest. Keeps the pieces that match the new one.
    pub(crate) async fn refresh(&self) {
        let Some(manifest) = self.source.reread().await else { return };
        let mut piece_stores = self.slot.piece_stores.borrow_mut();
        let Some(piece_store) = piece_stores.get_mut(&self.version) else { return };
        if piece_store.manifest != manifest {
            log::warn!("weights: replaced a wrong manifest version={}", self.version);
            let mut replacement = PieceStore::new(&self.model, self.version, manifest);
            for number in 0..replacement.manifest.n_pieces() {
                piece_store.get(number).map(|it| replacement.put(number, it.to_vec()));
            }
            *piece_store = replacement;
        }
    }
}
