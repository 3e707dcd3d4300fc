//! Fetches the weights of new versions from neighbours and the origin into memory.
//!
//! Load pattern: all hosts need the same weights at once, while the origin can send only a few
//! copies. A manifest lists the digests of a version's chunks; hosts pass verified chunks on to
//! each other.

mod chunk_bytes;
mod chunk_inventory;
mod chunk_reader;
mod chunk_server;
mod chunk_store;
mod fetch_context;
mod fetch_job;
mod fetch_schedule;
mod fetch_status;
mod fetcher;
mod link_budget;
mod manifest;
mod manifest_fetch;
mod neighbour;
mod origin_client;
mod resolve;
mod target_state;
mod verified_chunk;
mod weights;
mod weights_progress;
mod weights_stage;

pub mod chunk_picker;
pub mod deadlines;
pub mod endgame;
pub mod fetch_plan;
pub mod link_share;
pub mod neighbour_set;
pub mod origin_backoff;
pub mod origin_window;
pub mod peer_ejection;
pub mod rank;
pub mod token_bucket;

pub use crate::weights::{
    chunk_bytes::ChunkBytes,
    chunk_inventory::ChunkInventory,
    chunk_server::ChunkServer,
    chunk_store::ChunkStore,
    link_budget::LinkBudget,
    manifest::{Manifest, ManifestError, MAX_CHUNK_BYTES, MAX_MANIFEST_BYTES},
    origin_client::{OriginClient, OriginError},
    resolve::{resolve_target, ResolveError},
    verified_chunk::{ChunkError, VerifiedChunk},
    weights::{Fetching, LoadError, Loaded, Verified, Weights},
    weights_progress::{FetchCounts, WeightsProgress},
    weights_stage::WeightsStage,
};
