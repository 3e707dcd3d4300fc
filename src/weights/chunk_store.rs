//! Stores verified chunks in memory, up to a limit.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use event_listener::Event;

use crate::{
    digest::Digest,
    runtime,
    weights::{ChunkBytes, VerifiedChunk},
};

/// Maximum number of digests that are waited for at the same time.
const MAX_AWAITED: usize = 4096;

/// A store of verified chunks by digest, with a memory limit.
///
/// Versions that share a chunk share its memory.
#[derive(Debug)]
pub struct ChunkStore {
    limit_bytes: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    chunks: HashMap<Digest, ChunkBytes>,
    stored_bytes: u64,
    awaited: HashMap<Digest, Arc<Event>>,
}

impl ChunkStore {
    /// Creates an empty store of at most `limit_bytes`.
    pub fn new(limit_bytes: u64) -> ChunkStore {
        ChunkStore { limit_bytes, inner: Mutex::default() }
    }

    /// Returns the memory limit in bytes.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Returns the number of bytes stored.
    pub fn stored_bytes(&self) -> u64 {
        self.inner.lock().unwrap().stored_bytes
    }

    /// Stores a chunk; returns `false` if the limit would be exceeded.
    pub fn insert(&self, chunk: VerifiedChunk) -> bool {
        let mut inner = self.inner.lock().unwrap();
        if inner.chunks.contains_key(chunk.digest()) {
            return true;
        }
        let n_bytes = chunk.bytes().len() as u64;
        if inner.stored_bytes + n_bytes > self.limit_bytes {
            return false;
        }
        inner.stored_bytes += n_bytes;
        inner.chunks.insert(*chunk.digest(), chunk.bytes().clone());
        let event = inner.awaited.remove(chunk.digest());
        drop(inner);
        if let Some(event) = event {
            event.notify(usize::MAX);
        }
        true
    }

    /// Returns the bytes of a chunk, or `None` if it is not stored.
    pub fn get(&self, digest: &Digest) -> Option<ChunkBytes> {
        self.inner.lock().unwrap().chunks.get(digest).cloned()
    }

    /// Returns `true` if a chunk is stored.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.inner.lock().unwrap().chunks.contains_key(digest)
    }

    /// Returns the bytes of a chunk, or `None` if it is not stored within `timeout`.
    ///
    /// Returns `None` at once if `MAX_AWAITED` digests are already waited for.
    pub async fn wait_for(&self, digest: &Digest, timeout: Duration) -> Option<ChunkBytes> {
        let listener = {
            let mut inner = self.inner.lock().unwrap();
            if let Some(bytes) = inner.chunks.get(digest) {
                return Some(bytes.clone());
            }
            if inner.awaited.len() >= MAX_AWAITED || timeout.is_zero() {
                return None;
            }
            inner.awaited.entry(*digest).or_default().listen()
        };
        let _ = runtime::timeout(timeout, listener).await;
        let res = self.get(digest);
        if res.is_none() {
            self.remove_unawaited(digest);
        }
        res
    }

    /// Removes all chunks except those in `wanted`.
    pub fn retain(&self, wanted: &HashSet<Digest>) {
        let mut inner = self.inner.lock().unwrap();
        inner.chunks.retain(|digest, _| wanted.contains(digest));
        inner.stored_bytes = inner.chunks.values().map(|it| it.len() as u64).sum();
    }

    fn remove_unawaited(&self, digest: &Digest) {
        let mut inner = self.inner.lock().unwrap();
        if inner.awaited.get(digest).is_some_and(|it| it.total_listeners() == 0) {
            inner.awaited.remove(digest);
        }
    }
}
