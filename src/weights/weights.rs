//! Weights of one version on their way into a model engine.

use std::sync::Arc;

use http_types::Body;
use quick_error::quick_error;

use crate::{
    digest::Digest,
    weights::{chunk_reader::ChunkReader, ChunkBytes, ChunkInventory, ChunkStore, Manifest},
};

/// Chunks are still missing; nothing can be handed to an engine.
#[derive(Debug)]
pub struct Fetching {}

/// All chunks are in memory and match their digests.
#[derive(Clone, Debug)]
pub struct Verified {
    chunks: Arc<[ChunkBytes]>,
}

/// The engine reported the digest of exactly these weights.
#[derive(Clone, Debug)]
pub struct Loaded {}

quick_error! {
    /// The engine holds other weights than it was told to load.
    #[derive(Debug, PartialEq, Eq)]
    pub enum LoadError {
        /// Digests differ.
        ContentDigest(expected: Digest, actual: Digest) {
            display("the engine loaded weights with digest {actual}, not {expected}; order the load again")
        }
    }
}

/// Weights in the state `S`.
#[derive(Clone, Debug)]
pub struct Weights<S> {
    inventory: Arc<ChunkInventory>,
    state: S,
}

impl<S> Weights<S> {
    /// The manifest.
    pub fn manifest(&self) -> &Manifest {
        self.inventory.manifest()
    }

    /// Digest of the manifest.
    pub fn manifest_digest(&self) -> &Digest {
        self.inventory.digest()
    }
}

impl Weights<Fetching> {
    /// Begins to fetch.
    pub fn new(inventory: Arc<ChunkInventory>) -> Weights<Fetching> {
        Weights { inventory, state: Fetching {} }
    }

    /// Progress of the chunks.
    pub fn inventory(&self) -> &Arc<ChunkInventory> {
        &self.inventory
    }

    /// Goes on to `Verified` once every chunk is on the chunk_store, which takes only verified chunks.
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
    /// The weights as the body of an answer; it shares the chunks' memory.
    ///
    /// Its length is not announced, so that the receiver notices a body that was cut.
    pub fn body(&self) -> Body {
        Body::from_reader(ChunkReader::new(self.state.chunks.clone()), None)
    }

    /// Goes on to `Loaded` when the engine reports the digest of these weights.
    pub fn confirm_loaded(self, engine_digest: Digest) -> Result<Weights<Loaded>, LoadError> {
        let expected = self.manifest().content_digest;
        if engine_digest != expected {
            return Err(LoadError::ContentDigest(expected, engine_digest));
        }
        Ok(Weights { inventory: self.inventory, state: Loaded {} })
    }
}
