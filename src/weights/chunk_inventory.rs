//! Tracks which chunks of one manifest this host has, in order of arrival.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use event_listener::{Event, EventListener};

use crate::{
    digest::Digest,
    peer::HaveResponse,
    weights::{ChunkStore, Manifest},
};

/// The chunks of one manifest that this host has, shared by the fetcher and the chunk server.
///
/// Chunks are kept in order of arrival, so that other hosts can request only those that arrived
/// since their last request.
#[derive(Debug)]
pub struct ChunkInventory {
    digest: Digest,
    json: Vec<u8>,
    manifest: Arc<Manifest>,
    indexes: HashMap<Digest, Vec<u32>>,
    received: Mutex<Received>,
    changed: Event,
}

#[derive(Debug)]
struct Received {
    arrival_order: Vec<u32>,
    is_stored: Vec<bool>,
}

impl ChunkInventory {
    /// Creates an inventory with the chunks of `manifest` that are already in `chunk_store`.
    ///
    /// `json` is the text of `manifest`.
    pub fn new(
        digest: Digest,
        json: Vec<u8>,
        manifest: Manifest,
        chunk_store: &ChunkStore,
    ) -> ChunkInventory {
        let mut indexes: HashMap<Digest, Vec<u32>> = HashMap::new();
        for (idx, digest) in (0u32..).zip(&manifest.chunks) {
            indexes.entry(*digest).or_default().push(idx);
        }
        let is_stored: Vec<bool> =
            manifest.chunks.iter().map(|it| chunk_store.contains(it)).collect();
        let arrival_order = (0..manifest.n_chunks()).filter(|it| is_stored[*it as usize]).collect();
        let received = Mutex::new(Received { arrival_order, is_stored });
        let manifest = Arc::new(manifest);
        ChunkInventory { digest, json, manifest, indexes, received, changed: Event::new() }
    }

    /// Returns the digest of the manifest.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the JSON text of the manifest.
    pub fn json(&self) -> &[u8] {
        &self.json
    }

    /// Returns the manifest.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Records that the chunk with `digest` is stored; returns its indexes in the manifest.
    pub fn record_stored(&self, digest: &Digest) -> &[u32] {
        let Some(indexes) = self.indexes.get(digest) else { return &[] };
        let mut received = self.received.lock().unwrap();
        for idx in indexes {
            if !received.is_stored[*idx as usize] {
                received.is_stored[*idx as usize] = true;
                received.arrival_order.push(*idx);
            }
        }
        drop(received);
        self.changed.notify(usize::MAX);
        indexes
    }

    /// Returns the number of stored chunks.
    pub fn n_stored(&self) -> u32 {
        self.received.lock().unwrap().arrival_order.len() as u32
    }

    /// Returns the total length of the missing chunks; equal chunks count once.
    pub fn missing_bytes(&self) -> u64 {
        let received = self.received.lock().unwrap();
        let first_indexes = self.indexes.values().filter_map(|it| it.first());
        let missing = first_indexes.filter(|it| !received.is_stored[**it as usize]);
        missing.map(|it| self.manifest.byte_range(*it)).map(|it| it.end - it.start).sum()
    }

    /// Returns for each chunk whether it is stored.
    pub fn stored_chunks(&self) -> Vec<bool> {
        self.received.lock().unwrap().is_stored.clone()
    }

    /// Returns `true` if all chunks are stored.
    pub fn is_complete(&self) -> bool {
        self.n_stored() == self.manifest.n_chunks()
    }

    /// Returns the chunks that arrived after the first `known`, or all if there are fewer.
    pub fn received_since(&self, known: u32) -> HaveResponse {
        let received = self.received.lock().unwrap();
        let since = received.arrival_order.get(known as usize..).unwrap_or(&received.arrival_order);
        HaveResponse { total: received.arrival_order.len() as u32, since: since.to_vec() }
    }

    /// Returns a listener for the next chunk.
    ///
    /// Call this before reading the state and then await the listener, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}
