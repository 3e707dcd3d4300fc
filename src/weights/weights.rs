//! Weights of one version on their way into a model engine.

use std::sync::Arc;

use http_types::Body;
use quick_error::quick_error;

use crate::{
    digest::Digest,
    weights::{chunk_reader::ChunkReader, ChunkBytes, ChunkShelf, Holding, Manifest},
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
        ContentDigest(wanted: Digest, got: Digest) {
            display("the engine loaded weights with digest {got}, not {wanted}; order the load again")
        }
    }
}

/// Weights in the state `S`.
#[derive(Clone, Debug)]
pub struct Weights<S> {
    holding: Arc<Holding>,
    state: S,
}

impl<S> Weights<S> {
    /// The manifest.
    pub fn manifest(&self) -> &Manifest {
        self.holding.manifest()
    }

    /// Digest of the manifest.
    pub fn manifest_digest(&self) -> &Digest {
        self.holding.digest()
    }
}

impl Weights<Fetching> {
    /// Begins to fetch.
    pub fn new(holding: Arc<Holding>) -> Weights<Fetching> {
        Weights { holding, state: Fetching {} }
    }

    /// Progress of the chunks.
    pub fn holding(&self) -> &Arc<Holding> {
        &self.holding
    }

    /// Goes on to `Verified` once every chunk is on the shelf, which takes only verified chunks.
    pub fn verify(self, shelf: &ChunkShelf) -> Result<Weights<Verified>, Weights<Fetching>> {
        let chunks: Option<Arc<[ChunkBytes]>> =
            self.manifest().chunks.iter().map(|it| shelf.get(it)).collect();
        match chunks {
            Some(chunks) => Ok(Weights { holding: self.holding, state: Verified { chunks } }),
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
    pub fn loaded(self, engine_digest: Digest) -> Result<Weights<Loaded>, LoadError> {
        let wanted = self.manifest().content_digest;
        if engine_digest != wanted {
            return Err(LoadError::ContentDigest(wanted, engine_digest));
        }
        Ok(Weights { holding: self.holding, state: Loaded {} })
    }
}
