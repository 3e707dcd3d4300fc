//! Serves manifests and chunks to other processes.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use event_listener::Event;
use serde_bytes::ByteBuf;

use crate::{
    digest::Digest,
    peer::{ChunkRequest, ChunkResponse, HaveRequest, HaveResponse, ManifestRequest},
    runtime,
    weights::{ChunkInventory, ChunkStore, LinkBudget},
};

/// Longest wait of a request for a manifest or chunk that this host does not have yet.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Shortest time for which new chunks are collected before they are reported together.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Longest time for which new chunks are collected before they are reported together.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Longest batch delay in chunk times; a chunk time is the time to receive one chunk.
const MAX_BATCH_CHUNK_TIMES: u32 = 4;
/// Number of stored chunks (of missing ones, if fewer) that add one chunk time to the batch delay.
const CHUNKS_PER_CHUNK_TIME: u32 = 8;

/// Serves the manifests and chunks that this host has, within its upload slots and send rate.
///
/// Beyond `upload_slots` concurrent uploads, chunk requests without a wait are refused as busy, so
/// that many hosts that fetch at once do not overload one sender.
#[derive(Debug)]
pub struct ChunkServer {
    chunk_store: Arc<ChunkStore>,
    budget: Arc<LinkBudget>,
    upload_slots: u32,
    n_uploads: AtomicU32,
    inventories: Mutex<HashMap<Digest, Arc<ChunkInventory>>>,
    changed: Event,
}

impl Default for ChunkServer {
    /// Returns a server without manifests or chunks, for entry hosts.
    fn default() -> ChunkServer {
        let budget = Arc::new(LinkBudget::new(1, 1, 100));
        ChunkServer::new(Arc::new(ChunkStore::new(0)), budget, 0)
    }
}

impl ChunkServer {
    /// Creates a server of the chunks in `chunk_store` with `upload_slots` concurrent uploads.
    pub fn new(
        chunk_store: Arc<ChunkStore>,
        budget: Arc<LinkBudget>,
        upload_slots: u32,
    ) -> ChunkServer {
        ChunkServer {
            chunk_store,
            budget,
            upload_slots,
            n_uploads: AtomicU32::new(0),
            inventories: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// Starts to serve a manifest and the list of its stored chunks.
    pub(crate) fn add(&self, inventory: Arc<ChunkInventory>) {
        self.inventories.lock().unwrap().insert(*inventory.digest(), inventory);
        self.changed.notify(usize::MAX);
    }

    /// Removes all manifests for which `is_wanted` returns `false`.
    pub(crate) fn retain(&self, is_wanted: impl Fn(&Digest) -> bool) {
        self.inventories.lock().unwrap().retain(|digest, _| is_wanted(digest));
    }

    /// Returns the chunk inventory of a manifest, or `None` if the manifest is not known.
    pub(crate) fn inventory(&self, digest: &Digest) -> Option<Arc<ChunkInventory>> {
        self.inventories.lock().unwrap().get(digest).cloned()
    }

    /// Returns the JSON text of a manifest, or `None` if it does not arrive within the wait.
    pub async fn manifest(&self, request: ManifestRequest) -> Option<ByteBuf> {
        let wait = wait_duration(request.wait_ms);
        let inventory = self.wait_for_inventory(&request.manifest_digest, wait).await?;
        self.budget.send(inventory.json().len() as u64).await;
        Some(ByteBuf::from(inventory.json()))
    }

    /// Returns the stored chunks of a manifest, or `None` if it does not arrive within the wait.
    ///
    /// With a wait, the response is delayed until there are chunks that the caller does not know,
    /// and then for the batch delay, unless all chunks are stored.
    pub async fn availability(&self, request: HaveRequest) -> Option<HaveResponse> {
        let wait = wait_duration(request.wait_ms);
        let inventory = self.wait_for_inventory(&request.manifest_digest, wait).await?;
        if wait.is_zero() {
            return Some(inventory.received_since(request.known));
        }
        let new_chunks = async {
            loop {
                let listener = inventory.listen();
                if inventory.n_stored() != request.known {
                    return;
                }
                listener.await;
            }
        };
        if runtime::timeout(wait, new_chunks).await.is_ok() && !inventory.is_complete() {
            runtime::sleep(self.batch_delay(&inventory)).await;
        }
        Some(inventory.received_since(request.known))
    }

    /// Returns one chunk once the link budget allows it.
    ///
    /// A request with a wait is for the first copy in a region; it needs no free upload slot.
    pub async fn chunk(&self, request: ChunkRequest) -> ChunkResponse {
        let wait = wait_duration(request.wait_ms);
        let Some(bytes) = self.chunk_store.wait_for(&request.chunk_digest, wait).await else {
            return ChunkResponse::Missing;
        };
        let upload = Upload::new(&self.n_uploads);
        let is_first_copy = !wait.is_zero();
        if upload.n_others >= self.upload_slots && !is_first_copy {
            return ChunkResponse::Busy;
        }
        self.budget.send(bytes.len() as u64).await;
        drop(upload);
        ChunkResponse::Chunk { bytes, queued: self.n_uploads.load(Ordering::Relaxed) }
    }

    async fn wait_for_inventory(
        &self,
        digest: &Digest,
        wait: Duration,
    ) -> Option<Arc<ChunkInventory>> {
        let inventory_added = async {
            loop {
                let listener = self.changed.listen();
                if let Some(inventory) = self.inventory(digest) {
                    return inventory;
                }
                listener.await;
            }
        };
        if wait.is_zero() {
            return self.inventory(digest);
        }
        runtime::timeout(wait, inventory_added).await.ok()
    }

    /// Returns the time for which new chunks are collected before they are reported.
    ///
    /// The delay is shorter at the beginning and at the end of a fetch, when few chunks can be
    /// requested and reports of new ones are needed soonest.
    fn batch_delay(&self, inventory: &ChunkInventory) -> Duration {
        let manifest = inventory.manifest();
        let n_stored = inventory.n_stored();
        let n_near_end = n_stored.min(manifest.n_chunks() - n_stored);
        let n_chunk_times = (n_near_end / CHUNKS_PER_CHUNK_TIME).clamp(1, MAX_BATCH_CHUNK_TIMES);
        let chunk_time = self.budget.receive_time(u64::from(manifest.chunk_bytes));
        (chunk_time * n_chunk_times).clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
    }
}

/// Counts one upload while it exists.
struct Upload<'a> {
    n_uploads: &'a AtomicU32,
    n_others: u32,
}

impl Upload<'_> {
    fn new(n_uploads: &AtomicU32) -> Upload<'_> {
        let n_others = n_uploads.fetch_add(1, Ordering::Relaxed);
        Upload { n_uploads, n_others }
    }
}

impl Drop for Upload<'_> {
    fn drop(&mut self) {
        self.n_uploads.fetch_sub(1, Ordering::Relaxed);
    }
}

fn wait_duration(wait_ms: u32) -> Duration {
    Duration::from_millis(u64::from(wait_ms)).min(MAX_WAIT)
}
