//! Manifests and chunks of weights, and their way from the origin into memory.

mod chunk_server;
mod manifest;

pub use crate::weights::{chunk_server::ChunkServer, manifest::Manifest};
