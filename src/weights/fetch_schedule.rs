//! Decides which chunks a fetch requests next, and from where.

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
        endgame::EndgameLimits,
        fetch_job::{FetchJob, JobHosts, JobKind},
        fetcher::Fetcher,
        origin_window,
    },
};

/// Maximum number of requests to neighbours in flight.
const MAX_NEIGHBOUR_REQUESTS: usize = 6;
/// Maximum number of requests to the origin in flight.
const MAX_ORIGIN_REQUESTS: usize = 2;
/// Maximum number of requests to hosts of other regions that are in flight or wait there.
const MAX_RELAY_REQUESTS: usize = 24;
/// Number of hosts, the first by origin rank, that a relay job sends requests to.
const RELAY_SOURCES: usize = 3;
/// Maximum number of likely holders that a job queries before the origin or another region.
const MAX_LIKELY_HOLDERS: usize = 4;
/// Number of further hosts, this one included, that a late joiner queries besides those of better
/// rank.
const LATE_JOINER_EXTRA_HOLDERS: usize = 2;
/// Longest pause between two checks of the deadlines.
const MAX_SCHEDULE_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the first reports of all neighbours before first copies are requested.
const FIRST_AVAILABILITY_WAIT: Duration = Duration::from_secs(1);

impl Fetcher {
    /// Starts all requests that are possible now; returns the time until the next check.
    pub(crate) fn schedule(&mut self) -> Duration {
        let now = Instant::now();
        if let Some(until) = self.paused_until.filter(|it| *it > now) {
            return until - now;
        }
        self.cancel_overtaken(now);
        self.cancel_stalled(now);
        self.start_first_copies(now);
        self.start_hedges(now);
        let pause = self.start_neighbour_requests(now);
        pause.min(MAX_SCHEDULE_PAUSE)
    }

    /// Cancels late requests for first copies of chunks that a neighbour has by now.
    fn cancel_overtaken(&mut self, now: Instant) {
        let limit = self.takeover_base();
        let is_chunk_available = &self.is_chunk_available;
        self.jobs.retain(|it| {
            let is_first_copy = matches!(it.kind, JobKind::Origin | JobKind::Relay);
            let is_late = now.saturating_duration_since(it.started) > limit;
            !(is_first_copy && is_late && is_chunk_available[it.chunk as usize])
        });
    }

    /// Cancels neighbour requests that timed out, so that the chunk is requested from elsewhere.
    fn cancel_stalled(&mut self, now: Instant) {
        let limit = self.takeover_base();
        let is_stalled = |it: &FetchJob| {
            matches!(it.kind, JobKind::Neighbour(_))
                && now.saturating_duration_since(it.started) > limit
        };
        if !self.jobs.iter().any(is_stalled) {
            return;
        }
        let jobs = std::mem::take(&mut self.jobs);
        let (stalled, others) = jobs.into_iter().partition::<Vec<FetchJob>, _>(is_stalled);
        self.jobs = others;
        for job in stalled {
            self.release(&job);
            let JobKind::Neighbour(host) = &job.kind else { continue };
            log::debug!("weights: request to neighbour timed out host={host} chunk={}", job.chunk);
            if let Some(neighbour) = self.neighbours.get_mut(host) {
                neighbour.back_off_until(now + limit);
            }
            self.context.status.update_counts(|it| it.stalled_requests += 1);
            self.remove_holder(host, job.chunk);
        }
    }

    /// Requests the first copies that this host's ranks allow, from the origin or another region.
    fn start_first_copies(&mut self, now: Instant) {
        let has_availability = self.neighbours.values().all(|it| it.has_responded);
        if !has_availability
            && now.saturating_duration_since(self.started) < FIRST_AVAILABILITY_WAIT
        {
            return;
        }
        let mut n_origin = self.count_jobs(|it| matches!(it, JobKind::Origin | JobKind::Endgame));
        let mut n_relay = self.count_jobs(|it| *it == JobKind::Relay);
        let allows_origin_request = self.context.origin.allows_request();
        let window_size = origin_window::window_size(self.n_available);
        for chunk in self.missing_in_window(window_size) {
            let Some(kind) = self.scheduled_kind(chunk, now) else { continue };
            let is_requested = |it: &FetchJob| it.chunk == chunk && it.kind != JobKind::Relay;
            let is_relayed = |it: &FetchJob| it.chunk == chunk && it.kind == JobKind::Relay;
            if self.jobs.iter().any(is_requested) {
                continue;
            }
            if kind == JobKind::Relay && self.jobs.iter().any(is_relayed) {
                continue;
            }
            match kind {
                JobKind::Relay if n_relay < MAX_RELAY_REQUESTS => n_relay += 1,
                JobKind::Origin if n_origin < MAX_ORIGIN_REQUESTS && allows_origin_request => {
                    self.jobs.retain(|it| !is_relayed(it));
                    n_origin += 1;
                }
                _ => continue,
            }
            self.start_first_copy(chunk, kind);
        }
    }

    /// Returns the chunks in the origin window that neither this host nor a neighbour has.
    fn missing_in_window(&self, window_size: u32) -> Vec<u32> {
        let Some(plan) = &self.plan else { return Vec::new() };
        let in_window = plan.origin_order().iter().take(window_size as usize);
        in_window.filter(|it| !self.is_chunk_available[**it as usize]).copied().collect()
    }

    /// Returns the kind of job to start for the first copy of a chunk, or `None` while a host of
    /// better rank has time to fetch it or a retry is delayed.
    fn scheduled_kind(&mut self, chunk: u32, now: Instant) -> Option<JobKind> {
        let role = self.plan.as_ref()?.role(chunk);
        let takeover_from = *self.takeover_from[chunk as usize].get_or_insert(now);
        if self.retry_at[chunk as usize].is_some_and(|it| it > now) {
            return None;
        }
        let waited = now.saturating_duration_since(takeover_from);
        let base = self.takeover_base();
        if waited >= deadlines::takeover_delay(base, role.origin_rank) {
            return Some(JobKind::Origin);
        }
        // In the region of origin rank 0, a relay from another region is needed only if that host
        // fails.
        let relay_rank = role.relay_rank + u32::from(role.is_origin_host_in_region);
        let is_relay_allowed = waited >= deadlines::takeover_delay(base, relay_rank);
        is_relay_allowed.then_some(JobKind::Relay)
    }

    /// Returns the takeover delay of rank 1, from the rate at which chunks became available so far.
    fn takeover_base(&self) -> Duration {
        let n_chunks = self.is_stored.len() as u32;
        let n_waiting = origin_window::window_size(self.n_available)
            .min(n_chunks)
            .saturating_sub(self.n_available);
        let elapsed = self.last_progress.saturating_duration_since(self.started);
        let origin_time = elapsed * n_waiting / self.n_available.max(1);
        deadlines::takeover_base(self.chunk_time(), origin_time)
    }

    fn start_first_copy(&mut self, chunk: u32, kind: JobKind) {
        let Some(plan) = &self.plan else { return };
        let role = plan.role(chunk);
        let wait = self.takeover_base();
        // Before this host joined, hosts of lower rank may have taken the chunk over.
        let n_extra = if self.is_late_joiner { LATE_JOINER_EXTRA_HOLDERS } else { 0 };
        let id = self.next_job_id();
        let Some(plan) = &self.plan else { return };
        let (context, events) = (self.context.clone(), self.events_sender.clone());
        let job = if kind == JobKind::Relay {
            let n_holders = (role.relay_rank as usize + n_extra).min(MAX_LIKELY_HOLDERS);
            let likely_holders = self.records(&plan.relay_hosts(chunk, n_holders));
            let mut sources = self.records(&plan.origin_hosts(chunk, RELAY_SOURCES));
            sources.extend(self.random_remote_host());
            FetchJob::relay(id, chunk, JobHosts { likely_holders, sources, wait }, context, events)
        } else {
            let n_holders = (role.origin_rank as usize + n_extra).min(MAX_LIKELY_HOLDERS);
            let likely_holders = self.records(&plan.origin_hosts(chunk, n_holders));
            let hosts = JobHosts { likely_holders, sources: Vec::new(), wait };
            FetchJob::origin(id, chunk, kind, hosts, context, events)
        };
        self.jobs.push(job);
    }

    /// Hedges late requests: sends a second one to another neighbour; the first response wins.
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
                neighbour.record_late_response(elapsed, now);
            }
            let mut is_wanted = vec![false; self.is_stored.len()];
            is_wanted[chunk as usize] = true;
            if self.start_neighbour_request(&is_wanted, now) {
                self.context.status.update_counts(|it| it.hedged_requests += 1);
                self.jobs[idx].is_hedged = true;
                let last = self.jobs.len() - 1;
                self.jobs[last].is_hedged = true;
            }
        }
    }

    /// Sends requests to neighbours up to the limit in flight; returns the time until the next try.
    fn start_neighbour_requests(&mut self, now: Instant) -> Duration {
        let mut is_wanted: Vec<bool> = self.is_stored.iter().map(|it| !it).collect();
        for job in &self.jobs {
            is_wanted[job.chunk as usize] = false;
        }
        let chunk_bytes = u64::from(self.context.inventory.manifest().chunk_bytes);
        while self.count_jobs(|it| matches!(it, JobKind::Neighbour(_))) < MAX_NEIGHBOUR_REQUESTS {
            if let Err(wait) = self.context.budget.try_receive(0) {
                return wait;
            }
            if !self.start_neighbour_request(&is_wanted, now) {
                self.try_endgame(&is_wanted);
                return self.context.budget.receive_time(chunk_bytes);
            }
            if let Some(job) = self.jobs.last() {
                is_wanted[job.chunk as usize] = false;
            }
        }
        MAX_SCHEDULE_PAUSE
    }

    /// Requests one of the wanted chunks from an available neighbour; returns `false` if none has
    /// any.
    fn start_neighbour_request(&mut self, is_wanted: &[bool], now: Instant) -> bool {
        let pick = {
            let peer_ejection = self.context.peer_ejection.lock().unwrap();
            let views: Vec<PeerView<'_>> = self
                .neighbours
                .values()
                .map(|it| {
                    let mut view = it.view(now);
                    view.is_available &= !peer_ejection.is_ejected(it.host(), now);
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
        self.jobs.push(FetchJob::neighbour(id, pick.chunk, record, context, events));
        true
    }

    /// Requests one more copy of a chunk from the origin if the rollout mode allows it.
    fn try_endgame(&mut self, is_wanted: &[bool]) {
        let n_chunks = self.is_stored.len() as u32;
        let n_origin = self.count_jobs(|it| matches!(it, JobKind::Origin | JobKind::Endgame));
        if self.n_available < n_chunks || n_origin > 0 || !self.context.origin.allows_request() {
            return;
        }
        let limits = self.endgame_limits(n_chunks);
        if !self.endgame.allows_copy(&limits) {
            return;
        }
        let wanted = (0..n_chunks).filter(|it| is_wanted[*it as usize]);
        let Some(chunk) = self.random.choice(wanted.collect::<Vec<_>>()) else { return };
        self.endgame.record_copy();
        self.start_endgame_copy(chunk);
    }

    fn start_endgame_copy(&mut self, chunk: u32) {
        let id = self.next_job_id();
        let (context, events) = (self.context.clone(), self.events_sender.clone());
        let hosts = JobHosts::default();
        self.jobs.push(FetchJob::origin(id, chunk, JobKind::Endgame, hosts, context, events));
    }

    fn endgame_limits(&self, n_chunks: u32) -> EndgameLimits {
        let charter = self.context.node.documents.charter();
        let rollout = charter.map_or_else(RolloutSpec::default, |it| it.rollout.clone());
        EndgameLimits {
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

    /// Returns a random host of another region; it may have a chunk that the ranked hosts lack.
    fn random_remote_host(&mut self) -> Option<Arc<MemberRecord>> {
        let own = &self.context.node.settings.host.region;
        let remote = self.members.values().filter(|it| it.region != *own);
        self.random.choice(remote.collect::<Vec<_>>()).cloned()
    }

    fn count_jobs(&self, is_counted: impl Fn(&JobKind) -> bool) -> usize {
        self.jobs.iter().filter(|it| is_counted(&it.kind)).count()
    }

    fn next_job_id(&mut self) -> u64 {
        self.next_job += 1;
        self.next_job
    }
}
