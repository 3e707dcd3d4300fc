//! The fetch progress of one target.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{RegionId, VersionId},
};

/// The fetch progress of one target, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsProgress {
    /// Name of the version.
    pub version: VersionId,
    /// Digest of the manifest.
    pub manifest_digest: Digest,
    /// Length of the weights in bytes; 0 until the manifest is known.
    pub size_bytes: u64,
    /// Number of stored chunks.
    pub chunks_held: u32,
    /// Number of chunks of the weights; 0 until the manifest is known.
    pub chunks_total: u32,
    /// Whether all chunks are stored and verified.
    pub is_verified: bool,
    /// Time at which the target was set, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Time at which the last chunk was verified, in milliseconds since 1970.
    pub verified_unix_ms: Option<u64>,
    /// Problem that blocks the fetch, if any.
    pub problem: Option<String>,
    /// Counters of the fetch.
    #[serde(flatten)]
    pub counts: FetchCounts,
}

/// The counters of the fetch of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchCounts {
    /// Number of chunk bytes received from the origin.
    pub origin_bytes: u64,
    /// Number of chunk bytes received from other hosts.
    pub peer_bytes: u64,
    /// Number of chunk bytes received from each other region.
    pub cross_region_bytes: BTreeMap<RegionId, u64>,
    /// Number of received chunks that were already stored.
    pub duplicate_chunks: u64,
    /// Number of received chunks that did not match their digest.
    pub bad_chunks: u64,
    /// Number of hedged requests: second requests for a chunk that was late.
    pub hedged_requests: u64,
    /// Number of requests cancelled because a neighbour did not respond.
    pub stalled_requests: u64,
    /// Number of requests refused because all upload slots of the neighbour were in use.
    pub busy_answers: u64,
}
