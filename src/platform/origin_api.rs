//! The origin of weights: manifests and pieces.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    http1::{Call, Client},
    ids::WeightsVersion,
    platform::engine_api::{check_status, EngineError},
    routing::Origin,
    slot::Manifest,
};

/// Time limit for a manifest.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for a piece, while many ask at once.
const PIECE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Longest manifest or piece.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The manifest as the origin and our own processes send it.
#[derive(Debug, Serialize, Deserialize)]
struct WireManifest {
    version: WeightsVersion,
    /// SHA-256 of each piece in hexadecimal digits.
    digests: Vec<String>,
}

/// A client of the origin; it keeps no connection, as the origin accepts few from all slots.
#[derive(Clone, Debug)]
pub struct OriginApi {
    client: Rc<Client>,
}

impl Default for OriginApi {
    fn default() -> OriginApi {
        OriginApi { client: Rc::new(Client::closing()) }
    }
}

impl OriginApi {
    /// Reads the manifest of a version.
    pub async fn read_manifest(
        &self,
        origin: &Origin,
        model: &str,
        version: WeightsVersion,
    ) -> Result<Vec<u8>, EngineError> {
        let target = format!("/v1/manifest/{model}?version={version}");
        let call = Call::get(&target, MANIFEST_TIMEOUT, MAX_RESPONSE_BYTES);
        Ok(check_status(self.client.call(origin.address, &call).await?)?.body)
    }

    /// Reads a piece; nothing has checked it.
    pub async fn read_piece(
        &self,
        origin: &Origin,
        model: &str,
        version: WeightsVersion,
        number: u32,
    ) -> Result<Vec<u8>, EngineError> {
        let target = format!("/v1/piece/{model}?num={number}&version={version}");
        let call = Call::get(&target, PIECE_TIMEOUT, MAX_RESPONSE_BYTES);
        Ok(check_status(self.client.call(origin.address, &call).await?)?.body)
    }
}

/// Reads the text of a manifest; `None` unless it is of `version` and every digest is whole.
pub fn decode_manifest(version: WeightsVersion, text: &[u8]) -> Option<Manifest> {
    let wire: WireManifest = serde_json::from_slice(text).ok()?;
    if wire.version != version {
        return None;
    }
    let decode_digest = |it: &String| hex::decode(it).ok()?.try_into().ok();
    let digests: Option<Vec<[u8; 32]>> = wire.digests.iter().map(decode_digest).collect();
    digests.filter(|it| !it.is_empty()).map(|digests| Manifest { digests })
}

/// Writes the text of a manifest.
pub fn encode_manifest(version: WeightsVersion, manifest: &Manifest) -> Vec<u8> {
    let digests = manifest.digests.iter().map(hex::encode).collect();
    serde_json::to_vec(&WireManifest { version, digests }).unwrap_or_default()
}
