//! How far one target has come.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{RegionId, VersionId},
};

/// Progress of one target, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsProgress {
    /// Name of the version.
    pub version: VersionId,
    /// Digest of the manifest.
    pub manifest_digest: Digest,
    /// Length of the weights; 0 until the manifest is known.
    pub size_bytes: u64,
    /// Chunks held.
    pub chunks_held: u32,
    /// Chunks in all; 0 until the manifest is known.
    pub chunks_total: u32,
    /// Whether all chunks are held and verified.
    pub is_verified: bool,
    /// When the target was set, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// When the last chunk was verified, in milliseconds since 1970.
    pub verified_unix_ms: Option<u64>,
    /// What keeps the target from coming on, if anything.
    pub problem: Option<String>,
    /// What the fetch did.
    #[serde(flatten)]
    pub counts: FetchCounts,
}

/// What the fetch of one target did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchCounts {
    /// Bytes of chunks received from the origin.
    pub origin_bytes: u64,
    /// Bytes of chunks received from other hosts.
    pub peer_bytes: u64,
    /// Bytes of chunks received from other regions, by region.
    pub cross_region_bytes: BTreeMap<RegionId, u64>,
    /// Chunks that came although they were held already.
    pub duplicate_chunks: u64,
    /// Chunks whose bytes did not match their digest.
    pub bad_chunks: u64,
    /// Second requests for a chunk that was late.
    pub hedged_requests: u64,
    /// Requests given up because a neighbour did not answer them.
    pub stalled_requests: u64,
    /// Requests that a neighbour refused because its upload slots were taken.
    pub busy_answers: u64,
}
