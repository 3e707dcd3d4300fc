//! The state of one target and the task that fetches it.

use std::{
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

use async_executor::Task;

use crate::{
    rollout::WeightsTarget,
    weights::{
        fetch_status::FetchStatus, weights::Verified, ChunkInventory, Weights, WeightsProgress,
    },
};

/// The state of one target on this host: its chunks, counters and verified weights.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) target: WeightsTarget,
    pub(crate) status: Arc<FetchStatus>,
    started_unix_ms: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    inventory: Option<Arc<ChunkInventory>>,
    verified: Option<Weights<Verified>>,
    verified_unix_ms: Option<u64>,
}

/// A target and its fetch task; dropping the entry cancels the fetch.
#[derive(Debug)]
pub(crate) struct TargetEntry {
    pub(crate) state: Arc<TargetState>,
    pub(crate) _task: Task<()>,
}

impl TargetState {
    pub(crate) fn new(target: WeightsTarget) -> TargetState {
        TargetState {
            target,
            status: Arc::default(),
            started_unix_ms: unix_ms(),
            inner: Mutex::default(),
        }
    }

    pub(crate) fn set_inventory(&self, inventory: Arc<ChunkInventory>) {
        self.inner.lock().unwrap().inventory = Some(inventory);
    }

    pub(crate) fn set_verified(&self, weights: Weights<Verified>) {
        let mut inner = self.inner.lock().unwrap();
        inner.verified = Some(weights);
        inner.verified_unix_ms = Some(unix_ms());
    }

    pub(crate) fn inventory(&self) -> Option<Arc<ChunkInventory>> {
        self.inner.lock().unwrap().inventory.clone()
    }

    pub(crate) fn verified(&self) -> Option<Weights<Verified>> {
        self.inner.lock().unwrap().verified.clone()
    }

    pub(crate) fn progress(&self) -> WeightsProgress {
        let inner = self.inner.lock().unwrap();
        let inventory = inner.inventory.as_ref();
        WeightsProgress {
            version: self.target.version.clone(),
            manifest_digest: self.target.manifest_digest,
            size_bytes: inventory.map_or(0, |it| it.manifest().size_bytes),
            chunks_held: inventory.map_or(0, |it| it.n_stored()),
            chunks_total: inventory.map_or(0, |it| it.manifest().n_chunks()),
            is_verified: inner.verified.is_some(),
            started_unix_ms: self.started_unix_ms,
            verified_unix_ms: inner.verified_unix_ms,
            problem: self.status.problem(),
            counts: self.status.counts(),
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
