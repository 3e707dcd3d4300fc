//! Fetches the chunks of one manifest.

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
    peer::HaveAnswer,
    runtime,
    weights::{
        endgame::Endgame,
        fetch_context::{ChunkSource, FetchContext, FetchFailure, Fetched},
        fetch_job::{Job, JobId, JobKind},
        fetch_plan::{FetchPlan, PlanHost},
        neighbour::Neighbour,
        neighbour_set,
    },
};

/// Shortest pause between two changes of the neighbour set.
const MEMBERSHIP_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a first copy could not be had; a random part of it is added.
const DUTY_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Pause of a fetch that found no memory for a chunk.
const MEMORY_PAUSE: Duration = Duration::from_secs(1);
/// Pause of a neighbour after a failed call.
const FAILURE_REST: Duration = Duration::from_secs(1);

/// What the tasks of a fetch report.
#[derive(Debug)]
pub(crate) enum FetchEvent {
    /// A neighbour told what it holds, or could not.
    News { host: HostId, answer: Option<HaveAnswer> },
    /// A job ended.
    Done { id: JobId, chunk: u32, res: Result<Fetched, FetchFailure>, elapsed: Duration },
}

/// One fetch; dropping it cancels everything that it asked for.
#[derive(Debug)]
pub(crate) struct Fetcher {
    pub(crate) context: FetchContext,
    pub(crate) plan: Option<FetchPlan>,
    pub(crate) neighbours: BTreeMap<HostId, Neighbour>,
    pub(crate) members: BTreeMap<HostId, Arc<MemberRecord>>,
    pub(crate) is_held: Vec<bool>,
    pub(crate) is_seen: Vec<bool>,
    pub(crate) n_seen: u32,
    /// When the turn of each chunk came; an origin that fails lets it begin anew.
    pub(crate) turn_came: Vec<Option<Instant>>,
    /// Before when the first copy of a chunk is not asked for again.
    pub(crate) retry_at: Vec<Option<Instant>>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) next_job: JobId,
    pub(crate) endgame: Endgame,
    pub(crate) random: fastrand::Rng,
    pub(crate) started: Instant,
    /// When a chunk became known that was not known before.
    pub(crate) last_seen: Instant,
    /// Whether the neighbours held chunks when the fetch began.
    pub(crate) is_late_joiner: bool,
    membership_read: Option<Instant>,
    /// Until when nothing is asked for, for want of memory.
    pub(crate) paused_until: Option<Instant>,
    events: Receiver<FetchEvent>,
    pub(crate) events_sender: Sender<FetchEvent>,
}

impl Fetcher {
    pub(crate) fn new(context: FetchContext) -> Fetcher {
        let is_held = context.holding.held();
        let n_chunks = is_held.len();
        let n_seen = is_held.iter().filter(|it| **it).count() as u32;
        let (events_sender, events) = async_channel::unbounded();
        Fetcher {
            plan: None,
            neighbours: BTreeMap::new(),
            members: BTreeMap::new(),
            is_seen: is_held.clone(),
            is_held,
            n_seen,
            turn_came: vec![None; n_chunks],
            retry_at: vec![None; n_chunks],
            jobs: Vec::new(),
            next_job: 0,
            endgame: Endgame::default(),
            random: fastrand::Rng::new(),
            started: Instant::now(),
            last_seen: Instant::now(),
            is_late_joiner: false,
            membership_read: None,
            paused_until: None,
            events,
            events_sender,
            context,
        }
    }

    /// Runs until all chunks are held.
    pub(crate) async fn run(mut self) {
        let node = self.context.node.clone();
        let mut membership = node.membership.listen();
        self.read_membership();
        let mut is_stale = false;
        while !self.context.holding.is_complete() {
            let pause = self.schedule();
            is_stale |= self.wait(pause, &mut membership).await;
            let is_due = self.membership_read.is_none_or(|it| it.elapsed() >= MEMBERSHIP_PAUSE);
            if is_stale && is_due {
                self.read_membership();
                is_stale = false;
            }
        }
    }

    /// Waits for an event or `pause`; `true` when the membership changed.
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
            Ok(Woken::Event(Some(event))) => self.take(event),
            Ok(Woken::Membership) => {
                *membership = self.context.node.membership.listen();
                is_membership = true;
            }
            _ => {}
        }
        while let Ok(event) = self.events.try_recv() {
            self.take(event);
        }
        is_membership
    }

    fn read_membership(&mut self) {
        self.membership_read = Some(Instant::now());
        let own = self.context.node.membership.own();
        let records = self.context.node.membership.records();
        let takes_part = |it: &&Arc<MemberRecord>| {
            it.host == own.host || (it.role == own.role && is_reachable(it))
        };
        let members: Vec<_> = records.iter().filter(takes_part).cloned().collect();
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
        self.plan = FetchPlan::new(self.context.holding.manifest(), &own.host, hosts);
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
        self.recount_seen();
    }

    fn take(&mut self, event: FetchEvent) {
        match event {
            FetchEvent::News { host, answer } => self.take_news(&host, answer),
            FetchEvent::Done { id, chunk, res, elapsed } => self.take_done(id, chunk, res, elapsed),
        }
    }

    fn take_news(&mut self, host: &HostId, answer: Option<HaveAnswer>) {
        let Some(neighbour) = self.neighbours.get_mut(host) else { return };
        let is_first = !std::mem::replace(&mut neighbour.has_answered, true);
        let Some(answer) = answer else {
            neighbour.forget_chunks();
            return self.recount_seen();
        };
        neighbour.learn(&answer);
        let has_begun = self.turn_came.iter().any(Option::is_some);
        self.is_late_joiner |= is_first && !has_begun && answer.total > 0;
        if self.context.strikes.lock().unwrap().is_resting(host, Instant::now()) {
            return;
        }
        for idx in answer.since {
            self.see(idx);
        }
    }

    /// Works out anew which chunks are known to be held.
    fn recount_seen(&mut self) {
        let now = Instant::now();
        let strikes = self.context.strikes.lock().unwrap();
        let trusted: Vec<&Neighbour> =
            self.neighbours.values().filter(|it| !strikes.is_resting(it.host(), now)).collect();
        for idx in 0..self.is_held.len() {
            self.is_seen[idx] = self.is_held[idx] || trusted.iter().any(|it| it.holds[idx]);
        }
        self.n_seen = self.is_seen.iter().filter(|it| **it).count() as u32;
    }

    /// A neighbour did not send a chunk that it was known to hold.
    pub(crate) fn unsee(&mut self, host: &HostId, chunk: u32) {
        if let Some(neighbour) = self.neighbours.get_mut(host) {
            neighbour.holds[chunk as usize] = false;
        }
        self.turn_came[chunk as usize] = None;
        self.recount_seen();
    }

    fn see(&mut self, idx: u32) {
        let Some(is_seen) = self.is_seen.get_mut(idx as usize) else { return };
        if !std::mem::replace(is_seen, true) {
            self.n_seen += 1;
            self.last_seen = Instant::now();
        }
    }

    fn take_done(
        &mut self,
        id: JobId,
        chunk: u32,
        res: Result<Fetched, FetchFailure>,
        elapsed: Duration,
    ) {
        let job = self.jobs.iter().position(|it| it.id == id).map(|it| self.jobs.swap_remove(it));
        let kind = job.map(|it| it.kind);
        if let Some(JobKind::Neighbour(host)) = &kind {
            self.note_answer(host, &res, elapsed);
            if matches!(res, Err(FetchFailure::Missing | FetchFailure::Corrupt)) {
                self.unsee(host, chunk);
            }
        }
        let is_neighbour = matches!(kind, Some(JobKind::Neighbour(_)));
        match res {
            Ok(fetched) => {
                if !is_neighbour {
                    self.context.budget.charge_received(fetched.chunk.bytes().len() as u64);
                }
                self.keep(fetched);
            }
            Err(_) if is_neighbour => self.refund(chunk),
            Err(_) => self.note_duty_failed(chunk, kind),
        }
    }

    fn note_duty_failed(&mut self, chunk: u32, kind: Option<JobKind>) {
        let pause = DUTY_RETRY_DELAY.mul_f64(1.0 + self.random.f64());
        let retry_at = Instant::now() + pause;
        self.retry_at[chunk as usize] = Some(retry_at);
        if kind == Some(JobKind::Origin) {
            // The takeover deadline runs anew, so that hosts of better rank go first.
            self.turn_came[chunk as usize] = Some(retry_at);
        }
    }

    fn note_answer(
        &mut self,
        host: &HostId,
        res: &Result<Fetched, FetchFailure>,
        elapsed: Duration,
    ) {
        let now = Instant::now();
        let chunk_time = self.chunk_time();
        let Some(neighbour) = self.neighbours.get_mut(host) else { return };
        neighbour.n_requests = neighbour.n_requests.saturating_sub(1);
        match res {
            Ok(fetched) => neighbour.answered(elapsed, fetched.queued),
            Err(FetchFailure::Busy) => {
                self.context.log.count(|it| it.busy_answers += 1);
                neighbour.rest(now + chunk_time.mul_f64(0.5 + self.random.f64()));
            }
            Err(_) => neighbour.rest(now + FAILURE_REST),
        }
    }

    fn keep(&mut self, fetched: Fetched) {
        let Fetched { chunk, source, .. } = fetched;
        let holding = self.context.holding.clone();
        if self.context.shelf.contains(chunk.digest()) {
            self.context.log.count(|it| it.duplicate_chunks += 1);
        } else if !self.context.shelf.insert(chunk.clone()) {
            let problem = "no memory for a chunk; raise memory_limit_bytes".to_owned();
            log::error!("weights: {problem}");
            self.context.log.set_problem(Some(problem));
            self.paused_until = Some(Instant::now() + MEMORY_PAUSE);
            return;
        }
        self.context.log.set_problem(None);
        if source == ChunkSource::Origin {
            log::debug!("weights: chunk from the origin digest={}", chunk.digest());
        }
        for idx in holding.add(chunk.digest()) {
            self.is_held[*idx as usize] = true;
            self.see(*idx);
            self.end_jobs(*idx);
        }
    }

    /// Cancels the requests for a chunk that is held now.
    fn end_jobs(&mut self, chunk: u32) {
        let jobs = std::mem::take(&mut self.jobs);
        let (ended, others) = jobs.into_iter().partition::<Vec<Job>, _>(|it| it.chunk == chunk);
        self.jobs = others;
        for job in ended {
            self.release(&job);
        }
    }

    /// Gives back what a cancelled request to a neighbour took.
    pub(crate) fn release(&mut self, job: &Job) {
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
        let bytes = self.context.holding.manifest().byte_range(chunk);
        bytes.end - bytes.start
    }

    pub(crate) fn chunk_time(&self) -> Duration {
        self.context.budget.receive_time(u64::from(self.context.holding.manifest().chunk_bytes))
    }
}

fn is_reachable(record: &MemberRecord) -> bool {
    matches!(record.state, HostState::Joining | HostState::Live)
        && matches!(record.role, HostRole::Engine(_))
}
