//! Fetches and stores the weights that a host needs.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use event_listener::{Event, EventListener};

use crate::{
    digest::Digest,
    node::Node,
    rollout::WeightsTarget,
    runtime,
    weights::{
        fetch_context::FetchContext,
        fetcher::Fetcher,
        manifest_fetch::{ManifestFetch, ManifestText},
        peer_ejection::PeerEjection,
        target_state::{TargetEntry, TargetState},
        weights::{Fetching, Verified},
        ChunkInventory, ChunkServer, ChunkStore, LinkBudget, ManifestError, OriginClient, Weights,
        WeightsProgress,
    },
};

/// Interval of the checks for free memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The target versions of one host and their weights.
///
/// Each target is fetched by a task of its own; all of them share the chunk store, its memory limit
/// and the link budget.
#[derive(Debug)]
pub struct WeightsStage {
    weak_self: Weak<WeightsStage>,
    node: Arc<Node>,
    chunk_store: Arc<ChunkStore>,
    budget: Arc<LinkBudget>,
    origin: Arc<OriginClient>,
    server: Arc<ChunkServer>,
    peer_ejection: Arc<Mutex<PeerEjection>>,
    targets: Mutex<Vec<TargetEntry>>,
    changed: Event,
}

impl WeightsStage {
    /// Creates a stage without targets.
    pub fn new(node: Arc<Node>) -> Arc<WeightsStage> {
        let settings = &node.settings.weights;
        let chunk_store = Arc::new(ChunkStore::new(settings.memory_limit_bytes));
        let budget = node.link_budget.clone();
        let server = ChunkServer::new(chunk_store.clone(), budget.clone(), settings.upload_slots);
        let origin = Arc::new(OriginClient::new(settings.origin.clone(), node.http.clone()));
        Arc::new_cyclic(|weak_self| WeightsStage {
            weak_self: weak_self.clone(),
            server: Arc::new(server),
            chunk_store,
            budget,
            origin,
            node: node.clone(),
            peer_ejection: Arc::default(),
            targets: Mutex::default(),
            changed: Event::new(),
        })
    }

    /// Returns the server that sends manifests and chunks to other hosts.
    pub fn chunk_server(&self) -> Arc<ChunkServer> {
        self.server.clone()
    }

    /// Publishes the verified targets in the host's membership record until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let listener = self.changed.listen();
            self.publish_verified();
            listener.await;
        }
    }

    /// Sets the targets to fetch and keep; cancels and drops all others at once.
    ///
    /// Chunks that a new target shares with an old one are kept.
    pub fn set_targets(&self, targets: Vec<WeightsTarget>) {
        let mut entries = self.targets.lock().unwrap();
        if entries.iter().map(|it| &it.state.target).eq(targets.iter()) {
            return;
        }
        let (kept, dropped): (Vec<_>, Vec<_>) =
            entries.drain(..).partition(|it| targets.contains(&it.state.target));
        *entries = kept;
        for target in targets {
            if entries.iter().all(|it| it.state.target != target) {
                entries.push(self.start_fetch(target));
            }
        }
        let wanted: HashSet<Digest> =
            entries.iter().map(|it| it.state.target.manifest_digest).collect();
        drop(entries);
        for entry in &dropped {
            log::info!("weights: target dropped version={}", entry.state.target.version);
        }
        drop(dropped);
        self.server.retain(|it| wanted.contains(it));
        self.drop_unused_chunks();
        self.publish_verified();
        self.changed.notify(usize::MAX);
    }

    /// Returns the weights of a target, or `None` until they are complete and verified.
    pub fn verified(&self, manifest: &Digest) -> Option<Weights<Verified>> {
        let entries = self.targets.lock().unwrap();
        let entry = entries.iter().find(|it| it.state.target.manifest_digest == *manifest)?;
        entry.state.verified()
    }

    /// Returns the progress of all targets.
    pub fn progress(&self) -> Vec<WeightsProgress> {
        self.targets.lock().unwrap().iter().map(|it| it.state.progress()).collect()
    }

    /// Returns a listener for the next change of the targets or of the verified weights.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn start_fetch(&self, target: WeightsTarget) -> TargetEntry {
        log::info!(
            "weights: target set version={} manifest={}",
            target.version,
            target.manifest_digest
        );
        let state = Arc::new(TargetState::new(target));
        let weak_self = self.weak_self.clone();
        let fetch_state = state.clone();
        let task = runtime::spawn(async move {
            let Some(stage) = weak_self.upgrade() else { return };
            if let Err(err) = stage.fetch(&fetch_state).await {
                log::error!(
                    "weights: failed to fetch a target version={} error=\"{err}\"",
                    fetch_state.target.version
                );
                fetch_state.status.set_problem(Some(err.to_string()));
            }
            stage.changed.notify(usize::MAX);
        });
        TargetEntry { state, _task: task }
    }

    async fn fetch(&self, state: &TargetState) -> Result<(), ManifestError> {
        let ManifestText { json, manifest } = self.manifest_fetch(state).run().await?;
        let digest = state.target.manifest_digest;
        let inventory = Arc::new(ChunkInventory::new(digest, json, manifest, &self.chunk_store));
        state.set_inventory(inventory.clone());
        self.drop_unused_chunks();
        self.server.add(inventory.clone());
        self.changed.notify(usize::MAX);
        self.wait_for_memory(&inventory, state).await;
        let mut weights = Weights::<Fetching>::new(inventory);
        loop {
            Fetcher::new(self.fetch_context(weights.inventory().clone(), state)).run().await;
            match weights.verify(&self.chunk_store) {
                Ok(verified) => {
                    log::info!("weights: verified version={}", state.target.version);
                    state.set_verified(verified);
                    self.publish_verified();
                    return Ok(());
                }
                Err(fetching) => weights = fetching,
            }
        }
    }

    /// Waits until the missing chunks fit into memory beside those of the other targets.
    async fn wait_for_memory(&self, inventory: &ChunkInventory, state: &TargetState) {
        loop {
            let needed_bytes = inventory.missing_bytes();
            let free_bytes =
                self.chunk_store.limit_bytes().saturating_sub(self.chunk_store.stored_bytes());
            if needed_bytes <= free_bytes {
                return;
            }
            let problem = format!(
                "{needed_bytes} bytes of memory needed, {free_bytes} free; raise memory_limit_bytes"
            );
            if state.status.problem().as_ref() != Some(&problem) {
                log::error!("weights: {problem} version={}", state.target.version);
            }
            state.status.set_problem(Some(problem));
            runtime::sleep(MEMORY_RETRY_DELAY).await;
        }
    }

    fn manifest_fetch(&self, state: &TargetState) -> ManifestFetch {
        ManifestFetch {
            node: self.node.clone(),
            origin: self.origin.clone(),
            target: state.target.clone(),
            limit_bytes: self.chunk_store.limit_bytes(),
            status: state.status.clone(),
        }
    }

    fn fetch_context(&self, inventory: Arc<ChunkInventory>, state: &TargetState) -> FetchContext {
        FetchContext {
            node: self.node.clone(),
            chunk_store: self.chunk_store.clone(),
            budget: self.budget.clone(),
            origin: self.origin.clone(),
            peer_ejection: self.peer_ejection.clone(),
            inventory,
            status: state.status.clone(),
        }
    }

    /// Removes the chunks that no target needs.
    ///
    /// Does nothing until the manifests of all targets are known, since a target without a manifest
    /// may share any chunk.
    fn drop_unused_chunks(&self) {
        let entries = self.targets.lock().unwrap();
        let mut wanted = HashSet::new();
        for entry in entries.iter() {
            let Some(inventory) = entry.state.inventory() else { return };
            wanted.extend(inventory.manifest().chunks.iter().copied());
        }
        self.chunk_store.retain(&wanted);
    }

    fn publish_verified(&self) {
        let entries = self.targets.lock().unwrap();
        let is_verified = |it: &&TargetEntry| it.state.verified().is_some();
        let verified = entries.iter().filter(is_verified);
        let verified: Vec<Digest> = verified.map(|it| it.state.target.manifest_digest).collect();
        drop(entries);
        self.node.membership.update_own(|it| it.weights.verified = verified);
    }
}
