//! Which chunks of one manifest this host holds, in the order in which they came.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use event_listener::{Event, EventListener};

use crate::{
    digest::Digest,
    peer::HaveResponse,
    weights::{ChunkShelf, Manifest},
};

/// Progress of one manifest, shared by the fetcher and the chunk server.
#[derive(Debug)]
pub struct Holding {
    digest: Digest,
    json: Vec<u8>,
    manifest: Arc<Manifest>,
    indexes: HashMap<Digest, Vec<u32>>,
    got: Mutex<Got>,
    changed: Event,
}

#[derive(Debug)]
struct Got {
    order: Vec<u32>,
    is_held: Vec<bool>,
}

impl Holding {
    /// Starts with the chunks that `shelf` holds already; `json` is the text of `manifest`.
    pub fn new(digest: Digest, json: Vec<u8>, manifest: Manifest, shelf: &ChunkShelf) -> Holding {
        let mut indexes: HashMap<Digest, Vec<u32>> = HashMap::new();
        for (idx, digest) in (0u32..).zip(&manifest.chunks) {
            indexes.entry(*digest).or_default().push(idx);
        }
        let is_held: Vec<bool> = manifest.chunks.iter().map(|it| shelf.contains(it)).collect();
        let order = (0..manifest.n_chunks()).filter(|it| is_held[*it as usize]).collect();
        let got = Mutex::new(Got { order, is_held });
        let manifest = Arc::new(manifest);
        Holding { digest, json, manifest, indexes, got, changed: Event::new() }
    }

    /// Digest of the manifest.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// JSON text of the manifest.
    pub fn json(&self) -> &[u8] {
        &self.json
    }

    /// The manifest.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Notes that the chunk with `digest` is on the shelf; gives the indexes that it fills.
    pub fn add(&self, digest: &Digest) -> &[u32] {
        let Some(indexes) = self.indexes.get(digest) else { return &[] };
        let mut got = self.got.lock().unwrap();
        for idx in indexes {
            if !got.is_held[*idx as usize] {
                got.is_held[*idx as usize] = true;
                got.order.push(*idx);
            }
        }
        drop(got);
        self.changed.notify(usize::MAX);
        indexes
    }

    /// Number of chunks held.
    pub fn n_held(&self) -> u32 {
        self.got.lock().unwrap().order.len() as u32
    }

    /// Bytes of the chunks that are not held; equal chunks count once.
    pub fn missing_bytes(&self) -> u64 {
        let got = self.got.lock().unwrap();
        let firsts = self.indexes.values().filter_map(|it| it.first());
        let missing = firsts.filter(|it| !got.is_held[**it as usize]);
        missing.map(|it| self.manifest.byte_range(*it)).map(|it| it.end - it.start).sum()
    }

    /// Whether each chunk is held.
    pub fn held(&self) -> Vec<bool> {
        self.got.lock().unwrap().is_held.clone()
    }

    /// Whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.n_held() == self.manifest.n_chunks()
    }

    /// The chunks that came after the first `known`.
    pub fn since(&self, known: u32) -> HaveResponse {
        let got = self.got.lock().unwrap();
        let since = got.order.get(known as usize..).unwrap_or(&got.order);
        HaveResponse { total: got.order.len() as u32, since: since.to_vec() }
    }

    /// Listens for the next chunk; call before reading, then wait.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}
