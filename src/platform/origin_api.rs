//! A client for the origin of weights, which serves manifests and pieces.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    http1::{Call, Client},
    ids::WeightsVersion,
    platform::engine_api::{check_status, EngineError},
    routing::Origin,
    slot::Manifest,
};

/// Timeout for reading a manifest.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout for reading a piece; it allows for many slots that read at the same time.
const PIECE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Maximum length of a manifest or a piece.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The JSON form of a manifest, which the origin and the slot processes send.
#[derive(Debug, Serialize, Deserialize)]
struct WireManifest {
    version: WeightsVersion,
    /// The SHA-256 digest of each piece in hexadecimal digits.
    digests: Vec<String>,
}

/// A client for the origin.
///
/// It closes the connection after each call, because the origin accepts only a few connections from
/// all slots together.
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
    /// Reads the text of the manifest of a version.
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

    /// Reads a piece, without verifying its digest.
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

/// Decodes a manifest; returns `None` unless it is of `version`, has at least one digest and every
/// digest is valid.
pub fn decode_manifest(version: WeightsVersion, text: &[u8]) -> Option<Manifest> {
    let wire: WireManifest = serde_json::from_slice(text).ok()?;
    if wire.version != version {
        return None;
    }
    let decode_digest = |it: &String| hex::decode(it).ok()?.try_into().ok();
    let digests: Option<Vec<[u8; 32]>> = wire.digests.iter().map(decode_digest).collect();
    digests.filter(|it| !it.is_empty()).map(|digests| Manifest { digests })
}

/// Encodes a manifest as JSON.
pub fn encode_manifest(version: WeightsVersion, manifest: &Manifest) -> Vec<u8> {
    let digests = manifest.digests.iter().map(hex::encode).collect();
    serde_json::to_vec(&WireManifest { version, digests }).unwrap_or_default()
}
