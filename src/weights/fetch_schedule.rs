//! What a fetch asks for next.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    charter::RolloutSpec,
    ids::HostId,
    membership::MemberRecord,
    weights::{
        chunk_picker::{self, PeerView},
        deadlines,
        endgame::EndgameTerms,
        fetch_job::{Job, JobHosts, JobKind},
        fetcher::Fetcher,
        turns,
    },
};

/// Requests to neighbours in flight at most.
const MAX_NEIGHBOUR_REQUESTS: usize = 6;
/// Requests to the origin in flight at most.
const MAX_ORIGIN_REQUESTS: usize = 2;
/// Requests to hosts of other regions that are in flight or wait there, at most.
const MAX_RELAY_REQUESTS: usize = 24;
/// Hosts of other regions that are asked in one job.
const RELAY_SOURCES: usize = 3;
/// Hosts of better rank that are asked before a takeover.
const MAX_ASKED_BEFORE: usize = 4;
/// Hosts, itself among them, that a late joiner asks beyond those of better rank.
const ASKED_BY_LATE_JOINER: usize = 2;
/// Longest pause between two looks at deadlines.
const TICK: Duration = Duration::from_millis(100);
/// Time given to neighbours to say what they hold before the origin is asked.
const FIRST_NEWS_WAIT: Duration = Duration::from_secs(1);

impl Fetcher {
    /// Starts every request that is due; gives the time after which to look again.
    pub(crate) fn schedule(&mut self) -> Duration {
        let now = Instant::now();
        if let Some(until) = self.paused_until.filter(|it| *it > now) {
            return until - now;
        }
        self.drop_overtaken(now);
        self.drop_stalled(now);
        self.start_duties(now);
        self.start_hedges(now);
        let pause = self.start_neighbour_requests(now);
        pause.min(TICK)
    }

    /// Cancels requests for first copies that a neighbour turned out to hold meanwhile.
    fn drop_overtaken(&mut self, now: Instant) {
        let limit = self.takeover_base();
        let is_seen = &self.is_seen;
        self.jobs.retain(|it| {
            let is_first_copy = matches!(it.kind, JobKind::Origin | JobKind::Relay);
            let is_late = now.saturating_duration_since(it.started) > limit;
            !(is_first_copy && is_late && is_seen[it.chunk as usize])
        });
    }

    /// Cancels requests that a neighbour does not answer, so that the chunk can come another way.
    fn drop_stalled(&mut self, now: Instant) {
        let limit = self.takeover_base();
        let is_stalled = |it: &Job| {
            matches!(it.kind, JobKind::Neighbour(_))
                && now.saturating_duration_since(it.started) > limit
        };
        if !self.jobs.iter().any(is_stalled) {
            return;
        }
        let jobs = std::mem::take(&mut self.jobs);
        let (stalled, others) = jobs.into_iter().partition::<Vec<Job>, _>(is_stalled);
        self.jobs = others;
        for job in stalled {
            self.release(&job);
            let JobKind::Neighbour(host) = &job.kind else { continue };
            log::debug!("weights: neighbour does not answer host={host} chunk={}", job.chunk);
            if let Some(neighbour) = self.neighbours.get_mut(host) {
                neighbour.rest(now + limit);
            }
            self.context.log.count(|it| it.stalled_requests += 1);
            self.unsee(host, job.chunk);
        }
    }

    /// Asks the origin and other regions for the chunks that are this host's to take.
    fn start_duties(&mut self, now: Instant) {
        let has_news = self.neighbours.values().all(|it| it.has_answered);
        if !has_news && now.saturating_duration_since(self.started) < FIRST_NEWS_WAIT {
            return;
        }
        let mut n_origin = self.count_jobs(|it| matches!(it, JobKind::Origin | JobKind::Endgame));
        let mut n_relay = self.count_jobs(|it| *it == JobKind::Relay);
        let is_origin_open = self.context.origin.is_open();
        let n_turns = turns::n_open(self.n_seen);
        for chunk in self.open_chunks(n_turns) {
            let Some(kind) = self.due_duty(chunk, now) else { continue };
            let is_asked = |it: &Job| it.chunk == chunk && it.kind != JobKind::Relay;
            let is_relayed = |it: &Job| it.chunk == chunk && it.kind == JobKind::Relay;
            if self.jobs.iter().any(is_asked) {
                continue;
            }
            if kind == JobKind::Relay && self.jobs.iter().any(is_relayed) {
                continue;
            }
            match kind {
                JobKind::Relay if n_relay < MAX_RELAY_REQUESTS => n_relay += 1,
                JobKind::Origin if n_origin < MAX_ORIGIN_REQUESTS && is_origin_open => {
                    self.jobs.retain(|it| !is_relayed(it));
                    n_origin += 1;
                }
                _ => continue,
            }
            self.start_duty(chunk, kind);
        }
    }

    /// The chunks whose turn has come and that nobody near is known to hold.
    fn open_chunks(&self, n_turns: u32) -> Vec<u32> {
        let Some(plan) = &self.plan else { return Vec::new() };
        let open = plan.by_turn().iter().take(n_turns as usize);
        open.filter(|it| !self.is_seen[**it as usize]).copied().collect()
    }

    /// What the host does about a chunk that nobody near is known to hold.
    fn due_duty(&mut self, chunk: u32, now: Instant) -> Option<JobKind> {
        let duty = self.plan.as_ref()?.duty(chunk);
        let came = *self.turn_came[chunk as usize].get_or_insert(now);
        if self.retry_at[chunk as usize].is_some_and(|it| it > now) {
            return None;
        }
        let waited = now.saturating_duration_since(came);
        let base = self.takeover_base();
        if waited >= deadlines::takeover_delay(base, duty.origin_rank) {
            return Some(JobKind::Origin);
        }
        // In the region of origin rank 0, another region helps only when that host fails.
        let relay_rank = duty.relay_rank + u32::from(duty.is_home_region);
        let is_relay_due = waited >= deadlines::takeover_delay(base, relay_rank);
        is_relay_due.then_some(JobKind::Relay)
    }

    /// The time that rank 1 waits, from the rate at which chunks became known so far.
    fn takeover_base(&self) -> Duration {
        let n_chunks = self.is_held.len() as u32;
        let n_waiting = turns::n_open(self.n_seen).min(n_chunks).saturating_sub(self.n_seen);
        let elapsed = self.last_seen.saturating_duration_since(self.started);
        let origin_time = elapsed * n_waiting / self.n_seen.max(1);
        deadlines::takeover_base(self.chunk_time(), origin_time)
    }

    fn start_duty(&mut self, chunk: u32, kind: JobKind) {
        let Some(plan) = &self.plan else { return };
        let duty = plan.duty(chunk);
        let wait = self.takeover_base();
        // While this host was away, hosts of lower rank may have taken the chunk over.
        let n_lower = if self.is_late_joiner { ASKED_BY_LATE_JOINER } else { 0 };
        let id = self.next_job_id();
        let Some(plan) = &self.plan else { return };
        let (context, events) = (self.context.clone(), self.events_sender.clone());
        let job = if kind == JobKind::Relay {
            let n_before = (duty.relay_rank as usize + n_lower).min(MAX_ASKED_BEFORE);
            let before = self.records(&plan.relay_hosts(chunk, n_before));
            let mut sources = self.records(&plan.origin_hosts(chunk, RELAY_SOURCES));
            sources.extend(self.random_far_host());
            Job::relay(id, chunk, JobHosts { before, sources, wait }, context, events)
        } else {
            let n_before = (duty.origin_rank as usize + n_lower).min(MAX_ASKED_BEFORE);
            let before = self.records(&plan.origin_hosts(chunk, n_before));
            let hosts = JobHosts { before, sources: Vec::new(), wait };
            Job::origin(id, chunk, kind, hosts, context, events)
        };
        self.jobs.push(job);
    }

    /// Asks a second neighbour where an answer is late; the first answer counts.
    fn start_hedges(&mut self, now: Instant) {
        let chunk_time = self.chunk_time();
        for idx in 0..self.jobs.len() {
            let job = &self.jobs[idx];
            let JobKind::Neighbour(host) = &job.kind else { continue };
            let (chunk, host) = (job.chunk, host.clone());
            let elapsed = now.saturating_duration_since(job.started);
            let neighbour = self.neighbours.get_mut(&host);
            let delay = neighbour.as_ref().map_or(Duration::ZERO, |it| it.hedge_delay(chunk_time));
            if job.is_hedged || elapsed < delay {
                continue;
            }
            if let Some(neighbour) = neighbour {
                neighbour.is_late(elapsed, now);
            }
            let mut is_wanted = vec![false; self.is_held.len()];
            is_wanted[chunk as usize] = true;
            if self.start_one(&is_wanted, now) {
                self.context.log.count(|it| it.hedged_requests += 1);
                self.jobs[idx].is_hedged = true;
                let last = self.jobs.len() - 1;
                self.jobs[last].is_hedged = true;
            }
        }
    }

    /// Asks neighbours until enough requests are in flight; gives the wait for the link budget.
    fn start_neighbour_requests(&mut self, now: Instant) -> Duration {
        let mut is_wanted: Vec<bool> = self.is_held.iter().map(|it| !it).collect();
        for job in &self.jobs {
            is_wanted[job.chunk as usize] = false;
        }
        let chunk_bytes = u64::from(self.context.holding.manifest().chunk_bytes);
        while self.count_jobs(|it| matches!(it, JobKind::Neighbour(_))) < MAX_NEIGHBOUR_REQUESTS {
            if let Err(wait) = self.context.budget.try_receive(0) {
                return wait;
            }
            if !self.start_one(&is_wanted, now) {
                self.start_endgame(&is_wanted);
                return self.context.budget.receive_time(chunk_bytes);
            }
            if let Some(job) = self.jobs.last() {
                is_wanted[job.chunk as usize] = false;
            }
        }
        TICK
    }

    /// Asks a neighbour for one of the wanted chunks, if one that may be asked holds any.
    fn start_one(&mut self, is_wanted: &[bool], now: Instant) -> bool {
        let pick = {
            let strikes = self.context.strikes.lock().unwrap();
            let views: Vec<PeerView<'_>> = self
                .neighbours
                .values()
                .map(|it| {
                    let mut view = it.view(now);
                    view.is_available &= !strikes.is_resting(it.host(), now);
                    view
                })
                .collect();
            chunk_picker::next_chunk(is_wanted, &views, &mut self.random)
        };
        let Some(pick) = pick else { return false };
        let id = self.next_job_id();
        let n_bytes = self.chunk_len(pick.chunk);
        let (context, events) = (self.context.clone(), self.events_sender.clone());
        let Some(neighbour) = self.neighbours.values_mut().nth(pick.peer) else { return false };
        neighbour.n_requests += 1;
        let record = neighbour.record.clone();
        self.context.budget.charge_received(n_bytes);
        self.jobs.push(Job::neighbour(id, pick.chunk, record, context, events));
        true
    }

    /// Asks the origin for a further copy of a chunk, where the rollout mode allows it.
    fn start_endgame(&mut self, is_wanted: &[bool]) {
        let n_chunks = self.is_held.len() as u32;
        let n_origin = self.count_jobs(|it| matches!(it, JobKind::Origin | JobKind::Endgame));
        if self.n_seen < n_chunks || n_origin > 0 || !self.context.origin.is_open() {
            return;
        }
        let terms = self.endgame_terms(n_chunks);
        if !self.endgame.may_take(&terms) {
            return;
        }
        let wanted = (0..n_chunks).filter(|it| is_wanted[*it as usize]);
        let Some(chunk) = self.random.choice(wanted.collect::<Vec<_>>()) else { return };
        self.endgame.taken();
        self.start_duty_at_origin(chunk);
    }

    fn start_duty_at_origin(&mut self, chunk: u32) {
        let id = self.next_job_id();
        let (context, events) = (self.context.clone(), self.events_sender.clone());
        let hosts = JobHosts::default();
        self.jobs.push(Job::origin(id, chunk, JobKind::Endgame, hosts, context, events));
    }

    fn endgame_terms(&self, n_chunks: u32) -> EndgameTerms {
        let charter = self.context.node.documents.charter();
        let rollout = charter.map_or_else(RolloutSpec::default, |it| it.rollout.clone());
        EndgameTerms {
            mode: rollout.mode,
            origin_copies: rollout.origin_copies,
            n_chunks,
            n_hosts: self.plan.as_ref().map_or(1, |it| it.n_hosts() as u32),
        }
    }

    fn records(&self, hosts: &[HostId]) -> Vec<Arc<MemberRecord>> {
        let own = &self.context.node.settings.host.id;
        let others = hosts.iter().filter(|it| *it != own);
        others.filter_map(|it| self.members.get(it).cloned()).collect()
    }

    /// A host of another region, which may hold a chunk that the hosts by rank do not.
    fn random_far_host(&mut self) -> Option<Arc<MemberRecord>> {
        let own = &self.context.node.settings.host.region;
        let far = self.members.values().filter(|it| it.region != *own);
        self.random.choice(far.collect::<Vec<_>>()).cloned()
    }

    fn count_jobs(&self, is_counted: impl Fn(&JobKind) -> bool) -> usize {
        self.jobs.iter().filter(|it| is_counted(&it.kind)).count()
    }

    fn next_job_id(&mut self) -> u64 {
        self.next_job += 1;
        self.next_job
    }
}
