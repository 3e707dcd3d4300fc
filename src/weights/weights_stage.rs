//! Holds and fetches the weights that a host is to have.

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
        ChunkServer, ChunkShelf, Holding, LinkBudget, ManifestError, OriginClient, Weights,
        WeightsProgress,
    },
};

/// Pause before memory is looked at again.
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The weights of one host.
#[derive(Debug)]
pub struct WeightsStage {
    own: Weak<WeightsStage>,
    node: Arc<Node>,
    shelf: Arc<ChunkShelf>,
    budget: Arc<LinkBudget>,
    origin: Arc<OriginClient>,
    server: Arc<ChunkServer>,
    peer_ejection: Arc<Mutex<PeerEjection>>,
    targets: Mutex<Vec<TargetEntry>>,
    changed: Event,
}

impl WeightsStage {
    /// Prepares the stage without targets.
    pub fn new(node: Arc<Node>) -> Arc<WeightsStage> {
        let settings = &node.settings.weights;
        let shelf = Arc::new(ChunkShelf::new(settings.memory_limit_bytes));
        let budget = node.link_budget.clone();
        let server = ChunkServer::new(shelf.clone(), budget.clone(), settings.upload_slots);
        let origin = Arc::new(OriginClient::new(settings.origin.clone(), node.http.clone()));
        Arc::new_cyclic(|own| WeightsStage {
            own: own.clone(),
            server: Arc::new(server),
            shelf,
            budget,
            origin,
            node: node.clone(),
            peer_ejection: Arc::default(),
            targets: Mutex::default(),
            changed: Event::new(),
        })
    }

    /// Answers other hosts.
    pub fn chunk_server(&self) -> Arc<ChunkServer> {
        self.server.clone()
    }

    /// Keeps the own membership record up to date until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let listener = self.changed.listen();
            self.publish_verified();
            listener.await;
        }
    }

    /// Sets what to hold and fetch; everything else is cancelled at once and dropped.
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
                entries.push(self.start(target));
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

    /// The weights of a target, once they are complete and verified.
    pub fn verified(&self, manifest: &Digest) -> Option<Weights<Verified>> {
        let entries = self.targets.lock().unwrap();
        let entry = entries.iter().find(|it| it.state.target.manifest_digest == *manifest)?;
        entry.state.verified()
    }

    /// Progress of all targets.
    pub fn progress(&self) -> Vec<WeightsProgress> {
        self.targets.lock().unwrap().iter().map(|it| it.state.progress()).collect()
    }

    /// Listens for the next change of targets or of what is verified.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn start(&self, target: WeightsTarget) -> TargetEntry {
        log::info!(
            "weights: target set version={} manifest={}",
            target.version,
            target.manifest_digest
        );
        let state = Arc::new(TargetState::new(target));
        let own = self.own.clone();
        let fetched = state.clone();
        let task = runtime::spawn(async move {
            let Some(stage) = own.upgrade() else { return };
            if let Err(err) = stage.fetch(&fetched).await {
                log::error!(
                    "weights: target refused version={} error=\"{err}\"",
                    fetched.target.version
                );
                fetched.log.set_problem(Some(err.to_string()));
            }
            stage.changed.notify(usize::MAX);
        });
        TargetEntry { state, _task: task }
    }

    async fn fetch(&self, state: &TargetState) -> Result<(), ManifestError> {
        let ManifestText { json, manifest } = self.manifest_fetch(state).run().await?;
        let digest = state.target.manifest_digest;
        let holding = Arc::new(Holding::new(digest, json, manifest, &self.shelf));
        state.set_holding(holding.clone());
        self.drop_unused_chunks();
        self.server.add(holding.clone());
        self.changed.notify(usize::MAX);
        self.wait_for_room(&holding, state).await;
        let mut weights = Weights::<Fetching>::new(holding);
        loop {
            Fetcher::new(self.context(weights.holding().clone(), state)).run().await;
            match weights.verify(&self.shelf) {
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

    /// Waits until the chunks that are missing fit beside those of the other targets.
    async fn wait_for_room(&self, holding: &Holding, state: &TargetState) {
        loop {
            let needed_bytes = holding.missing_bytes();
            let free_bytes = self.shelf.limit_bytes().saturating_sub(self.shelf.held_bytes());
            if needed_bytes <= free_bytes {
                return;
            }
            let problem = format!(
                "{needed_bytes} bytes are needed and {free_bytes} are free; raise memory_limit_bytes"
            );
            if state.log.problem().as_ref() != Some(&problem) {
                log::error!("weights: {problem} version={}", state.target.version);
            }
            state.log.set_problem(Some(problem));
            runtime::sleep(ROOM_RETRY_DELAY).await;
        }
    }

    fn manifest_fetch(&self, state: &TargetState) -> ManifestFetch {
        ManifestFetch {
            node: self.node.clone(),
            origin: self.origin.clone(),
            target: state.target.clone(),
            limit_bytes: self.shelf.limit_bytes(),
            status: state.log.clone(),
        }
    }

    fn context(&self, inventory: Arc<Holding>, state: &TargetState) -> FetchContext {
        FetchContext {
            node: self.node.clone(),
            chunk_store: self.shelf.clone(),
            budget: self.budget.clone(),
            origin: self.origin.clone(),
            peer_ejection: self.peer_ejection.clone(),
            inventory,
            status: state.log.clone(),
        }
    }

    /// Drops the chunks of no target, once the manifests of all targets are known.
    fn drop_unused_chunks(&self) {
        let entries = self.targets.lock().unwrap();
        let mut wanted = HashSet::new();
        for entry in entries.iter() {
            let Some(holding) = entry.state.holding() else { return };
            wanted.extend(holding.manifest().chunks.iter().copied());
        }
        self.shelf.retain(&wanted);
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
