//! Fetches the chunks of one manifest from neighbours, other regions and the origin.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use event_listener::EventListener;

use crate::{
    ids::HostId,
    membership::{HostRole, HostState, MemberRecord},
    peer::HaveResponse,
    runtime,
    weights::{
        endgame::Endgame,
        fetch_context::{ChunkSource, FetchContext, FetchFailure, FetchedChunk},
        fetch_job::{FetchJob, JobId, JobKind},
        fetch_plan::{FetchPlan, PlanHost},
        neighbour::Neighbour,
        neighbour_set,
    },
};

/// Shortest interval between two updates of the neighbour set.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before a failed first copy is retried; a random part of up to the same length is added.
const FIRST_COPY_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before requests resume after the chunk store had no memory for a chunk.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a neighbour gets no request after a failed call.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// An event that a task of a fetch reports.
#[derive(Debug)]
pub(crate) enum FetchEvent {
    /// A neighbour reported its chunks; `None` if the call failed or it lacks the manifest.
    Availability { host: HostId, response: Option<HaveResponse> },
    /// A job ended.
    Done { id: JobId, chunk: u32, res: Result<FetchedChunk, FetchFailure>, elapsed: Duration },
}

/// The state of one fetch; dropping it cancels all of its requests.
///
/// A chunk enters a region as a first copy, from the origin or from another region, and spreads
/// there between neighbours. Deadlines by rank decide which host requests the first copy.
#[derive(Debug)]
pub(crate) struct Fetcher {
    pub(crate) context: FetchContext,
    pub(crate) plan: Option<FetchPlan>,
    pub(crate) neighbours: BTreeMap<HostId, Neighbour>,
    pub(crate) members: BTreeMap<HostId, Arc<MemberRecord>>,
    /// Whether this host has each chunk.
    pub(crate) is_stored: Vec<bool>,
    /// Whether this host or a neighbour that is not ejected has each chunk.
    pub(crate) is_chunk_available: Vec<bool>,
    pub(crate) n_available: u32,
    /// The instant from which the takeover delays of each chunk count; reset when the origin or a
    /// neighbour fails to send the chunk.
    pub(crate) takeover_from: Vec<Option<Instant>>,
    /// The earliest instant at which the first copy of each chunk is requested again.
    pub(crate) retry_at: Vec<Option<Instant>>,
    pub(crate) jobs: Vec<FetchJob>,
    pub(crate) next_job: JobId,
    pub(crate) endgame: Endgame,
    pub(crate) random: fastrand::Rng,
    pub(crate) started: Instant,
    /// The last instant at which a chunk became available that was not available before.
    pub(crate) last_progress: Instant,
    /// Whether the neighbours had chunks already when the fetch started.
    pub(crate) is_late_joiner: bool,
    membership_read_at: Option<Instant>,
    /// The instant until which no requests are sent because memory is short.
    pub(crate) paused_until: Option<Instant>,
    events: Receiver<FetchEvent>,
    pub(crate) events_sender: Sender<FetchEvent>,
}

impl Fetcher {
    pub(crate) fn new(context: FetchContext) -> Fetcher {
        let is_stored = context.inventory.stored_chunks();
        let n_chunks = is_stored.len();
        let n_available = is_stored.iter().filter(|it| **it).count() as u32;
        let (events_sender, events) = async_channel::unbounded();
        Fetcher {
            plan: None,
            neighbours: BTreeMap::new(),
            members: BTreeMap::new(),
            is_chunk_available: is_stored.clone(),
            is_stored,
            n_available,
            takeover_from: vec![None; n_chunks],
            retry_at: vec![None; n_chunks],
            jobs: Vec::new(),
            next_job: 0,
            endgame: Endgame::default(),
            random: fastrand::Rng::new(),
            started: Instant::now(),
            last_progress: Instant::now(),
            is_late_joiner: false,
            membership_read_at: None,
            paused_until: None,
            events,
            events_sender,
            context,
        }
    }

    /// Runs until all chunks are stored.
    pub(crate) async fn run(mut self) {
        let node = self.context.node.clone();
        let mut membership = node.membership.listen();
        self.read_membership();
        let mut is_stale = false;
        while !self.context.inventory.is_complete() {
            let pause = self.schedule();
            is_stale |= self.wait(pause, &mut membership).await;
            let is_interval_over =
                self.membership_read_at.is_none_or(|it| it.elapsed() >= MEMBERSHIP_INTERVAL);
            if is_stale && is_interval_over {
                self.read_membership();
                is_stale = false;
            }
        }
    }

    /// Waits for an event, at most for `pause`; returns `true` if the membership changed.
    async fn wait(&mut self, pause: Duration, membership: &mut EventListener) -> bool {
        use futures_lite::FutureExt;

        enum Woken {
            Event(Option<FetchEvent>),
            Membership,
        }
        let events = self.events.clone();
        let event = async { Woken::Event(events.recv().await.ok()) };
        let changed = async {
            (&mut *membership).await;
            Woken::Membership
        };
        let woken = runtime::timeout(pause, event.or(changed)).await;
        let mut is_membership = false;
        match woken {
            Ok(Woken::Event(Some(event))) => self.handle_event(event),
            Ok(Woken::Membership) => {
                *membership = self.context.node.membership.listen();
                is_membership = true;
            }
            _ => {}
        }
        while let Ok(event) = self.events.try_recv() {
            self.handle_event(event);
        }
        is_membership
    }

    fn read_membership(&mut self) {
        self.membership_read_at = Some(Instant::now());
        let own = self.context.node.membership.own();
        let records = self.context.node.membership.records();
        let is_participant = |it: &&Arc<MemberRecord>| {
            it.host == own.host || (it.role == own.role && is_reachable(it))
        };
        let members: Vec<_> = records.iter().filter(is_participant).cloned().collect();
        let hosts: Vec<PlanHost> = members
            .iter()
            .map(|it| PlanHost { host: it.host.clone(), region: it.region.clone() })
            .collect();
        self.members = members.into_iter().map(|it| (it.host.clone(), it)).collect();
        if self.plan.as_ref().is_some_and(|it| it.hosts() == hosts) {
            return;
        }
        let region: Vec<HostId> =
            hosts.iter().filter(|it| it.region == own.region).map(|it| it.host.clone()).collect();
        self.plan = FetchPlan::new(self.context.inventory.manifest(), &own.host, hosts);
        let n_neighbours = self.context.node.settings.weights.neighbours as usize;
        let chosen = neighbour_set::choose_neighbours(&own.host, &region, n_neighbours);
        self.set_neighbours(&chosen);
    }

    fn set_neighbours(&mut self, chosen: &[HostId]) {
        let members = &self.members;
        self.neighbours.retain(|host, it| {
            let record = members.get(host);
            let is_same = record.is_some_and(|rec| rec.incarnation == it.record.incarnation);
            is_same && chosen.contains(host)
        });
        for host in chosen {
            if self.neighbours.contains_key(host) {
                continue;
            }
            let record = self.members[host].clone();
            let neighbour = Neighbour::new(record, &self.context, self.events_sender.clone());
            self.neighbours.insert(host.clone(), neighbour);
        }
        self.recount_available();
    }

    fn handle_event(&mut self, event: FetchEvent) {
        match event {
            FetchEvent::Availability { host, response } => self.update_holder(&host, response),
            FetchEvent::Done { id, chunk, res, elapsed } => self.end_job(id, chunk, res, elapsed),
        }
    }

    fn update_holder(&mut self, host: &HostId, response: Option<HaveResponse>) {
        let Some(neighbour) = self.neighbours.get_mut(host) else { return };
        let is_first = !std::mem::replace(&mut neighbour.has_responded, true);
        let Some(response) = response else {
            neighbour.forget_chunks();
            return self.recount_available();
        };
        neighbour.add_chunks(&response);
        let has_begun = self.takeover_from.iter().any(Option::is_some);
        self.is_late_joiner |= is_first && !has_begun && response.total > 0;
        if self.context.peer_ejection.lock().unwrap().is_ejected(host, Instant::now()) {
            return;
        }
        for idx in response.since {
            self.mark_available(idx);
        }
    }

    /// Recomputes which chunks this host or a neighbour that is not ejected has.
    fn recount_available(&mut self) {
        let now = Instant::now();
        let peer_ejection = self.context.peer_ejection.lock().unwrap();
        let trusted: Vec<&Neighbour> = self
            .neighbours
            .values()
            .filter(|it| !peer_ejection.is_ejected(it.host(), now))
            .collect();
        for idx in 0..self.is_stored.len() {
            self.is_chunk_available[idx] =
                self.is_stored[idx] || trusted.iter().any(|it| it.has_chunk[idx]);
        }
        self.n_available = self.is_chunk_available.iter().filter(|it| **it).count() as u32;
    }

    /// Records that a neighbour did not send a chunk that it had reported.
    pub(crate) fn remove_holder(&mut self, host: &HostId, chunk: u32) {
        if let Some(neighbour) = self.neighbours.get_mut(host) {
            neighbour.has_chunk[chunk as usize] = false;
        }
        self.takeover_from[chunk as usize] = None;
        self.recount_available();
    }

    fn mark_available(&mut self, idx: u32) {
        let Some(is_available) = self.is_chunk_available.get_mut(idx as usize) else { return };
        if !std::mem::replace(is_available, true) {
            self.n_available += 1;
            self.last_progress = Instant::now();
        }
    }

    fn end_job(
        &mut self,
        id: JobId,
        chunk: u32,
        res: Result<FetchedChunk, FetchFailure>,
        elapsed: Duration,
    ) {
        let job = self.jobs.iter().position(|it| it.id == id).map(|it| self.jobs.swap_remove(it));
        let kind = job.map(|it| it.kind);
        if let Some(JobKind::Neighbour(host)) = &kind {
            self.record_response(host, &res, elapsed);
            if matches!(res, Err(FetchFailure::Missing | FetchFailure::Corrupt)) {
                self.remove_holder(host, chunk);
            }
        }
        let is_neighbour = matches!(kind, Some(JobKind::Neighbour(_)));
        match res {
            Ok(fetched) => {
                if !is_neighbour {
                    self.context.budget.charge_received(fetched.chunk.bytes().len() as u64);
                }
                self.store_chunk(fetched);
            }
            Err(_) if is_neighbour => self.refund(chunk),
            Err(_) => self.record_first_copy_failure(chunk, kind),
        }
    }

    fn record_first_copy_failure(&mut self, chunk: u32, kind: Option<JobKind>) {
        let pause = FIRST_COPY_RETRY_DELAY.mul_f64(1.0 + self.random.f64());
        let retry_at = Instant::now() + pause;
        self.retry_at[chunk as usize] = Some(retry_at);
        if kind == Some(JobKind::Origin) {
            // Takeover delays restart, so that hosts of better rank try first.
            self.takeover_from[chunk as usize] = Some(retry_at);
        }
    }

    fn record_response(
        &mut self,
        host: &HostId,
        res: &Result<FetchedChunk, FetchFailure>,
        elapsed: Duration,
    ) {
        let now = Instant::now();
        let chunk_time = self.chunk_time();
        let Some(neighbour) = self.neighbours.get_mut(host) else { return };
        neighbour.n_requests = neighbour.n_requests.saturating_sub(1);
        match res {
            Ok(fetched) => neighbour.record_response(elapsed, fetched.queued),
            Err(FetchFailure::Busy) => {
                self.context.status.update_counts(|it| it.busy_answers += 1);
                neighbour.back_off_until(now + chunk_time.mul_f64(0.5 + self.random.f64()));
            }
            Err(_) => neighbour.back_off_until(now + FAILURE_BACKOFF),
        }
    }

    fn store_chunk(&mut self, fetched: FetchedChunk) {
        let FetchedChunk { chunk, source, .. } = fetched;
        let inventory = self.context.inventory.clone();
        if self.context.chunk_store.contains(chunk.digest()) {
            self.context.status.update_counts(|it| it.duplicate_chunks += 1);
        } else if !self.context.chunk_store.insert(chunk.clone()) {
            let problem =
                "memory limit reached, chunk not stored; raise memory_limit_bytes".to_owned();
            log::error!("weights: {problem}");
            self.context.status.set_problem(Some(problem));
            self.paused_until = Some(Instant::now() + MEMORY_RETRY_DELAY);
            return;
        }
        self.context.status.set_problem(None);
        if source == ChunkSource::Origin {
            log::debug!("weights: chunk received from the origin digest={}", chunk.digest());
        }
        for idx in inventory.record_stored(chunk.digest()) {
            self.is_stored[*idx as usize] = true;
            self.mark_available(*idx);
            self.cancel_jobs(*idx);
        }
    }

    /// Cancels the remaining requests for a chunk that is now stored.
    fn cancel_jobs(&mut self, chunk: u32) {
        let jobs = std::mem::take(&mut self.jobs);
        let (ended, others) =
            jobs.into_iter().partition::<Vec<FetchJob>, _>(|it| it.chunk == chunk);
        self.jobs = others;
        for job in ended {
            self.release(&job);
        }
    }

    /// Releases the link budget and the request count of a cancelled request to a neighbour.
    pub(crate) fn release(&mut self, job: &FetchJob) {
        let JobKind::Neighbour(host) = &job.kind else { return };
        self.refund(job.chunk);
        if let Some(neighbour) = self.neighbours.get_mut(host) {
            neighbour.n_requests = neighbour.n_requests.saturating_sub(1);
        }
    }

    fn refund(&self, chunk: u32) {
        self.context.budget.refund_receive(self.chunk_len(chunk));
    }

    pub(crate) fn chunk_len(&self, chunk: u32) -> u64 {
        let bytes = self.context.inventory.manifest().byte_range(chunk);
        bytes.end - bytes.start
    }

    pub(crate) fn chunk_time(&self) -> Duration {
        self.context.budget.receive_time(u64::from(self.context.inventory.manifest().chunk_bytes))
    }
}

fn is_reachable(record: &MemberRecord) -> bool {
    matches!(record.state, HostState::Joining | HostState::Live)
        && matches!(record.role, HostRole::Engine(_))
}
