//! Answers other processes' requests for manifests and chunks.

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
    weights::{ChunkShelf, Holding, LinkBudget},
};

/// Longest time that a request may wait for what is not held yet.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Shortest time for which news of chunks are gathered before they are sent.
const MIN_NEWS_DELAY: Duration = Duration::from_millis(10);
/// Longest time for which news of chunks are gathered.
const MAX_NEWS_DELAY: Duration = Duration::from_millis(500);
/// Chunk times for which news are gathered at most.
const MAX_NEWS_CHUNK_TIMES: u32 = 4;
/// Chunks that are held, or missing, for each chunk time.
const CHUNKS_PER_CHUNK_TIME: u32 = 8;

/// Gives out what this host holds, within its upload slots and its send rate.
#[derive(Debug)]
pub struct ChunkServer {
    shelf: Arc<ChunkShelf>,
    budget: Arc<LinkBudget>,
    upload_slots: u32,
    n_uploads: AtomicU32,
    holdings: Mutex<HashMap<Digest, Arc<Holding>>>,
    changed: Event,
}

impl Default for ChunkServer {
    /// A server that holds nothing, for entry hosts.
    fn default() -> ChunkServer {
        let budget = Arc::new(LinkBudget::new(1, 1, 100));
        ChunkServer::new(Arc::new(ChunkShelf::new(0)), budget, 0)
    }
}

impl ChunkServer {
    /// Serves the chunks on `shelf`, at most `upload_slots` at a time.
    pub fn new(shelf: Arc<ChunkShelf>, budget: Arc<LinkBudget>, upload_slots: u32) -> ChunkServer {
        ChunkServer {
            shelf,
            budget,
            upload_slots,
            n_uploads: AtomicU32::new(0),
            holdings: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// Makes a manifest known to other hosts.
    pub(crate) fn add(&self, holding: Arc<Holding>) {
        self.holdings.lock().unwrap().insert(*holding.digest(), holding);
        self.changed.notify(usize::MAX);
    }

    /// Forgets all manifests that `is_wanted` refuses.
    pub(crate) fn retain(&self, is_wanted: impl Fn(&Digest) -> bool) {
        self.holdings.lock().unwrap().retain(|digest, _| is_wanted(digest));
    }

    /// What is held of a manifest, if it is known.
    pub(crate) fn holding(&self, digest: &Digest) -> Option<Arc<Holding>> {
        self.holdings.lock().unwrap().get(digest).cloned()
    }

    /// The bytes of a manifest, if held or if it comes in time.
    pub async fn manifest(&self, request: ManifestRequest) -> Option<ByteBuf> {
        let wait = wait_of(request.wait_ms);
        let holding = self.wait_for_holding(&request.manifest_digest, wait).await?;
        self.budget.send(holding.json().len() as u64).await;
        Some(ByteBuf::from(holding.json()))
    }

    /// The chunks held of a manifest, if it is known or becomes known in time.
    ///
    /// With a wait, the answer comes once there are chunks that the other host does not know.
    pub async fn have(&self, request: HaveRequest) -> Option<HaveResponse> {
        let wait = wait_of(request.wait_ms);
        let holding = self.wait_for_holding(&request.manifest_digest, wait).await?;
        if wait.is_zero() {
            return Some(holding.since(request.known));
        }
        let news = async {
            loop {
                let listener = holding.listen();
                if holding.n_held() != request.known {
                    return;
                }
                listener.await;
            }
        };
        if runtime::timeout(wait, news).await.is_ok() && !holding.is_complete() {
            runtime::sleep(self.news_delay(&holding)).await;
        }
        Some(holding.since(request.known))
    }

    /// One chunk, sent within the link budget.
    pub async fn chunk(&self, request: ChunkRequest) -> ChunkResponse {
        let wait = wait_of(request.wait_ms);
        let Some(bytes) = self.shelf.wait_for(&request.chunk_digest, wait).await else {
            return ChunkResponse::Missing;
        };
        let upload = Upload::new(&self.n_uploads);
        let is_first_copy = !wait.is_zero();
        if upload.n_before >= self.upload_slots && !is_first_copy {
            return ChunkResponse::Busy;
        }
        self.budget.send(bytes.len() as u64).await;
        drop(upload);
        ChunkResponse::Chunk { bytes, queued: self.n_uploads.load(Ordering::Relaxed) }
    }

    async fn wait_for_holding(&self, digest: &Digest, wait: Duration) -> Option<Arc<Holding>> {
        let known = async {
            loop {
                let listener = self.changed.listen();
                if let Some(holding) = self.holding(digest) {
                    return holding;
                }
                listener.await;
            }
        };
        if wait.is_zero() {
            return self.holding(digest);
        }
        runtime::timeout(wait, known).await.ok()
    }

    /// News are most wanted at the beginning and at the end, where few chunks can be asked for.
    fn news_delay(&self, holding: &Holding) -> Duration {
        let manifest = holding.manifest();
        let n_held = holding.n_held();
        let n_near_end = n_held.min(manifest.n_chunks() - n_held);
        let n_times = (n_near_end / CHUNKS_PER_CHUNK_TIME).clamp(1, MAX_NEWS_CHUNK_TIMES);
        let chunk_time = self.budget.receive_time(u64::from(manifest.chunk_bytes));
        (chunk_time * n_times).clamp(MIN_NEWS_DELAY, MAX_NEWS_DELAY)
    }
}

/// Counts one upload for as long as it lives.
struct Upload<'a> {
    n_uploads: &'a AtomicU32,
    n_before: u32,
}

impl Upload<'_> {
    fn new(n_uploads: &AtomicU32) -> Upload<'_> {
        let n_before = n_uploads.fetch_add(1, Ordering::Relaxed);
        Upload { n_uploads, n_before }
    }
}

impl Drop for Upload<'_> {
    fn drop(&mut self) {
        self.n_uploads.fetch_sub(1, Ordering::Relaxed);
    }
}

fn wait_of(wait_ms: u32) -> Duration {
    Duration::from_millis(u64::from(wait_ms)).min(MAX_WAIT)
}
