//! Reads the manifest of a version from a slot that has it, or from the origin.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_lite::FutureExt;

use crate::{
    http1::{Call, Client},
    ids::WeightsVersion,
    platform::origin_api::{decode_manifest, OriginApi},
    runtime,
    slot::{piece_server::manifest_path, slot_state::SlotState, Manifest},
};

/// Timeout of a request to another slot.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before the holders of the manifest are queried again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Mean additional delay after a failed call of the origin.
const ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest encoded manifest.
const MAX_MANIFEST_BYTES: usize = 4 << 20;
/// The number of slots queried before the origin.
const MAX_QUERIED_SLOTS: usize = 2;

/// A manifest and its source.
pub(crate) struct FoundManifest {
    pub(crate) manifest: Manifest,
    /// Whether this slot read it from the origin.
    pub(crate) is_from_origin: bool,
}

/// A reader of the manifest of one version, from other slots or the origin.
pub(crate) struct ManifestSource {
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    client: Client,
    origin: OriginApi,
}

impl ManifestSource {
    /// Creates a source for one version.
    pub(crate) fn new(slot: Rc<SlotState>, model: &str, version: WeightsVersion) -> ManifestSource {
        ManifestSource {
            slot,
            model: model.to_owned(),
            version,
            client: Client::default(),
            origin: OriginApi::default(),
        }
    }

    /// Tries once to read the manifest, from the origin only if `may_use_origin`.
    ///
    /// Returns `None` if no source has a valid one.
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
                log::info!("weights: read the manifest from={holder} version={}", self.version);
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

    /// Reads the manifest again after pieces did not match it. Tries the origin first, as other
    /// slots may have copied the same wrong manifest.
    pub(crate) async fn reread(&self) -> Option<Manifest> {
        match self.read_from_origin().await {
            Some(manifest) => Some(manifest),
            None => self.read(false).await.map(|it| it.manifest),
        }
    }

    /// Waits for a manifest that another slot forwards; it is used once, as it may be wrong.
    async fn receive_forwarded(&self) -> Option<FoundManifest> {
        loop {
            let listener = self.slot.changed.listen();
            let copy = self.slot.manifest_copies.borrow_mut().remove(&self.version);
            let copy = copy.filter(|it| it.model == self.model);
            let manifest = copy.map(|it| Manifest { digests: it.digests });
            if let Some(manifest) = manifest.filter(|it| self.has_all_pieces(it)) {
                log::info!("weights: received a forwarded manifest version={}", self.version);
                return Some(FoundManifest { manifest, is_from_origin: false });
            }
            listener.await;
        }
    }

    /// Decodes a manifest; returns `None` unless it is valid and has all pieces.
    fn decode(&self, text: &[u8]) -> Option<Manifest> {
        decode_manifest(self.version, text).filter(|it| self.has_all_pieces(it))
    }

    /// Returns `true` if a manifest has as many pieces as the pool states. With a shorter one, an
    /// engine would load weights that lack pieces.
    fn has_all_pieces(&self, manifest: &Manifest) -> bool {
        let pool = self.slot.pool.borrow();
        let n_pieces = pool.as_ref().map_or(0, |it| it.engine_spec.n_pieces);
        manifest.n_pieces() > 0 && (n_pieces == 0 || manifest.n_pieces() == n_pieces)
    }

    async fn read_from_slot(&self, holder: SocketAddr) -> Option<Manifest> {
        let path = manifest_path(&self.model, self.version);
        let call = Call::get(&path, PEER_TIMEOUT, MAX_MANIFEST_BYTES);
        match self.client.call(holder, &call).await {
            Ok(response) if response.head.status == 200 => self.decode(&response.body),
            Ok(_) => None,
            Err(err) => {
                log::info!("weights: failed to read the manifest from={holder} error=\"{err}\"");
                None
            }
        }
    }

    async fn read_from_origin(&self) -> Option<Manifest> {
        let origin = self.slot.pool.borrow().as_ref().and_then(|it| it.origin.clone())?;
        match self.origin.read_manifest(&origin, &self.model, self.version).await {
            Ok(text) => {
                let manifest = self.decode(&text);
                match manifest {
                    Some(_) => log::info!(
                        "weights: read the manifest from=origin version={}",
                        self.version
                    ),
                    None => log::warn!(
                        "weights: invalid manifest from the origin version={}",
                        self.version
                    ),
                }
                manifest
            }
            Err(err) => {
                log::warn!("weights: failed to read the manifest from the origin error=\"{err}\"");
                None
            }
        }
    }
}
