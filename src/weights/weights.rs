//! The weights of one version, with their state as a type parameter.

use std::sync::Arc;

use http_types::Body;
use quick_error::quick_error;

use crate::{
    digest::Digest,
    weights::{chunk_reader::ChunkReader, ChunkBytes, ChunkInventory, ChunkStore, Manifest},
};

/// Weights with missing chunks; they cannot be loaded into an engine.
#[derive(Debug)]
pub struct Fetching {}

/// Weights whose chunks are all in memory and match their digests.
#[derive(Clone, Debug)]
pub struct Verified {
    chunks: Arc<[ChunkBytes]>,
}

/// Weights whose digest the engine reported after loading them.
#[derive(Clone, Debug)]
pub struct Loaded {}

quick_error! {
    /// The reason why a load is not confirmed.
    #[derive(Debug, PartialEq, Eq)]
    pub enum LoadError {
        /// The digest of the loaded weights differs from the ordered one.
        ContentDigest(expected: Digest, actual: Digest) {
            display("the engine loaded weights with digest {actual}, not {expected}; load the weights again")
        }
    }
}

/// The weights of one version in the state `S`: `Fetching`, `Verified` or `Loaded`.
///
/// The type keeps partial or corrupt weights from an engine: only `Verified` has a body to send.
#[derive(Clone, Debug)]
pub struct Weights<S> {
    inventory: Arc<ChunkInventory>,
    state: S,
}

impl<S> Weights<S> {
    /// Returns the manifest.
    pub fn manifest(&self) -> &Manifest {
        self.inventory.manifest()
    }

    /// Returns the digest of the manifest.
    pub fn manifest_digest(&self) -> &Digest {
        self.inventory.digest()
    }
}

impl Weights<Fetching> {
    /// Creates weights whose chunks are recorded in `inventory`.
    pub fn new(inventory: Arc<ChunkInventory>) -> Weights<Fetching> {
        Weights { inventory, state: Fetching {} }
    }

    /// Returns the inventory of the chunks.
    pub fn inventory(&self) -> &Arc<ChunkInventory> {
        &self.inventory
    }

    /// Returns the verified weights if every chunk is in `chunk_store`, which stores only verified
    /// chunks; otherwise returns `self` as the error.
    pub fn verify(self, chunk_store: &ChunkStore) -> Result<Weights<Verified>, Weights<Fetching>> {
        let chunks: Option<Arc<[ChunkBytes]>> =
            self.manifest().chunks.iter().map(|it| chunk_store.get(it)).collect();
        match chunks {
            Some(chunks) => Ok(Weights { inventory: self.inventory, state: Verified { chunks } }),
            None => Err(self),
        }
    }
}

impl Weights<Verified> {
    /// Returns the weights as the body of an HTTP response, without copying the chunks.
    ///
    /// The body has no declared length, so that the receiver detects a truncated one.
    pub fn body(&self) -> Body {
        Body::from_reader(ChunkReader::new(self.state.chunks.clone()), None)
    }

    /// Returns the loaded weights if the engine reports their digest, else an error.
    pub fn confirm_loaded(self, engine_digest: Digest) -> Result<Weights<Loaded>, LoadError> {
        let expected = self.manifest().content_digest;
        if engine_digest != expected {
            return Err(LoadError::ContentDigest(expected, engine_digest));
        }
        Ok(Weights { inventory: self.inventory, state: Loaded {} })
    }
}
