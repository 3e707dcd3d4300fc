//! Reads the manifest of a version from a slot that holds it, or from the origin.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_lite::FutureExt;

use crate::{
    http1::{Call, Client},
    ids::WeightsVersion,
    platform::origin_api::{decode_manifest, OriginApi},
    runtime,
    slot::{piece_server::manifest_path, slot_state::SlotState, Manifest},
};

/// Time limit of another slot's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after which holders are looked for again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Mean further pause after a failed call of the origin.
const ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest manifest.
const MAX_MANIFEST_BYTES: usize = 4 << 20;
/// Slots that are asked before the origin.
const MAX_QUERIED_SLOTS: usize = 2;

/// A manifest and where it was found.
pub(crate) struct FoundManifest {
    pub(crate) manifest: Manifest,
    /// Whether the origin itself gave it.
    pub(crate) is_from_origin: bool,
}

/// Where the manifest of one version may be had.
pub(crate) struct ManifestSource {
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    client: Client,
    origin: OriginApi,
}

impl ManifestSource {
    /// Makes a source for one version.
    pub(crate) fn new(slot: Rc<SlotState>, model: &str, version: WeightsVersion) -> ManifestSource {
        ManifestSource {
            slot,
            model: model.to_owned(),
            version,
            client: Client::default(),
            origin: OriginApi::default(),
        }
    }

    /// Reads the manifest once, from the origin only if `may_use_origin`; `None` when nobody gives
    /// a whole one.
    pub(crate) async fn read(&self, may_use_origin: bool) -> Option<FoundManifest> {
        self.fetch(may_use_origin).or(self.receive_forwarded()).await
    }

    async fn fetch(&self, may_use_origin: bool) -> Option<FoundManifest> {
        let known_holders =
            self.slot.holders.borrow().get(&self.version).cloned().unwrap_or_default();
        let mut holders: Vec<SocketAddr> =
            known_holders.into_iter().filter(|it| it.1.has_manifest).map(|it| it.0).collect();
        fastrand::shuffle(&mut holders);
        for holder in holders.into_iter().take(MAX_QUERIED_SLOTS) {
            if let Some(manifest) = self.read_from_slot(holder).await {
                log::info!("weights: manifest from={holder} version={}", self.version);
                return Some(FoundManifest { manifest, is_from_origin: false });
            }
        }
        if may_use_origin {
            if let Some(manifest) = self.read_from_origin().await {
                return Some(FoundManifest { manifest, is_from_origin: true });
            }
            runtime::sleep(ORIGIN_RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
        }
        runtime::sleep(RETRY_DELAY).await;
        None
    }

    /// Reads the manifest again when pieces don't match it; other slots may have copied the same
    /// wrong one, so the origin is asked first.
    pub(crate) async fn reread(&self) -> Option<Manifest> {
        match self.read_from_origin().await {
            Some(manifest) => Some(manifest),
            None => self.read(false).await.map(|it| it.manifest),
        }
    }

    /// Waits for a manifest that another slot passes on; it is used once, as it may be wrong.
    async fn receive_forwarded(&self) -> Option<FoundManifest> {
        loop {
            let listener = self.slot.changed.listen();
            let copy = self.slot.manifest_copies.borrow_mut().remove(&self.version);
            if let Some(copy) = copy.filter(|it| it.model == self.model && !it.digests.is_empty()) {
                log::info!("weights: manifest passed on version={}", self.version);
                let manifest = Manifest { digests: copy.digests };
                return Some(FoundManifest { manifest, is_from_origin: false });
            }
            listener.await;
        }
    }

    async fn read_from_slot(&self, holder: SocketAddr) -> Option<Manifest> {
        let path = manifest_path(&self.model, self.version);
        let call = Call::get(&path, PEER_TIMEOUT, MAX_MANIFEST_BYTES);
        match self.client.call(holder, &call).await {
            Ok(response) if response.head.status == 200 => {
                decode_manifest(self.version, &response.body)
            }
            Ok(_) => None,
            Err(err) => {
                log::info!("weights: no manifest from={holder} error=\"{err}\"");
                None
            }
        }
    }

    async fn read_from_origin(&self) -> Option<Manifest> {
        let origin = self.slot.pool.borrow().as_ref().and_then(|it| it.origin.clone())?;
        match self.origin.manifest(&origin, &self.model, self.version).await {
            Ok(text) => {
                let manifest = decode_manifest(self.version, &text);
                match manifest {
                    Some(_) => log::info!("weights: manifest from=origin version={}", self.version),
                    None => log::warn!("weights: manifest not readable version={}", self.version),
                }
                manifest
            }
            Err(err) => {
                log::warn!("weights: no manifest from the origin error=\"{err}\"");
                None
            }
        }
    }
}
