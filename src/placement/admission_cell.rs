//! Admits requests to the engines of one cell, whose load its owner knows exactly.
//!
//! Load pattern: sustained overload with many entry hosts. If every entry host chose engines by
//! load reports, all would send to the engines that were free when the reports left, and queue
//! there. Instead one entry host, the owner, admits all requests to an engine. Requests wait here,
//! in the order of `WaitingQueue`, rather than at engines, where they delay the streams that already run.
//!
//! Callers come back after a refusal, too late for their latency objective. If they waited like
//! others, each refusal would cause another one: most places would go to late requests, and most
//! first attempts would be refused. So a returning request gets what no waiting one can use.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{
        choose_engine,
        grant_limits::GrantLimits,
        refused_requests::RefusedRequests,
        reservations::{EndedReservation, Reservations},
        usable_engines::UsableEngines,
        waiting_queue::WaitingQueue,
        waiting_request::WaitingRequest,
        Admission, AdmissionCounts, Candidate, CellEngine, Demand, HeldReservation, Load,
        PartDigest, RankCounts, RefusalCause, ReservationId,
    },
};

/// Time after a refusal within which an equal request is that of another caller; callers are told to come
/// back later. Where requests are ranked, any equal request counts as a return.
const UNRELATED_REQUEST_TIME: Duration = Duration::from_millis(200);
/// Maximum number of waiting requests of a service for each slot of its engines.
const MAX_WAITING_PER_SLOT: usize = 2;
/// Time after a start with a suspected part failed until the next one begins. Reports of one crash
/// arrive up to 0.1 s apart, so a start that fails sooner shows nothing new.
const START_PAUSE: Duration = Duration::from_millis(150);
/// Maximum share of the engines that are kept free for long prompts that wait.
const MAX_HELD_SHARE: f64 = 0.25;

/// The reservations and the waiting requests of one cell.
#[derive(Clone, Debug, Default)]
pub struct AdmissionCell {
    reservations: Reservations,
    refused: RefusedRequests,
    counts: AdmissionCounts,
    /// Time at which the last start with a part ended without a response.
    failed_starts: BTreeMap<PartDigest, Instant>,
    waiting: WaitingQueue,
    /// Decisions on waiting requests that were made when another one arrived.
    decided: Vec<(ReservationId, Admission)>,
    grant_limits: GrantLimits,
}

impl AdmissionCell {
    /// Decides on a request; returns `None` if it waits, in which case `decide_waiting` returns the
    /// decision later. A repeated message gets the same engine again.
    ///
    /// The call may also decide on other waiting requests: if `has_decided` returns `true` afterwards, call
    /// `decide_waiting`. `engines` returns the usable engines of the cell for a demand.
    pub fn request(
        &mut self,
        id: ReservationId,
        demand: Demand,
        engines: &dyn Fn(&Demand) -> Vec<CellEngine>,
        now: Instant,
    ) -> Option<Admission> {
        if let Some(engine) = self.reservations.engine(&id).cloned() {
            let load = self.load(&engine);
            return Some(Admission::Granted { engine, load });
        }
        if self.waiting.iter().any(|it| it.id == id) {
            return None;
        }
        let usable = engines(&demand);
        if usable.is_empty() {
            return Some(Admission::NoEngine);
        }
        if let Some(left) = self.time_until_due(&usable, now) {
            if left > demand.longest_wait() {
                self.grant_limits.count_limit_held_back();
                return Some(Admission::Limited(left));
            }
        }
        let n_slots: u32 = usable.iter().map(|it| it.slots).sum();
        let service = demand.service.clone();
        let is_ranked = demand.class.is_ranked;
        let min_return_time = if is_ranked { Duration::ZERO } else { UNRELATED_REQUEST_TIME };
        let attempt = demand.attempt;
        let found = attempt.and_then(|it| self.refused.find_return(it, min_return_time, now));
        self.waiting.add(id, demand, found, now);
        let mut decisions = self.place_waiting(engines, now);
        let own = decisions.iter().position(|it| it.0 == id);
        let own = own.map(|it| decisions.remove(it).1);
        self.decided.extend(decisions);
        if own.is_some() {
            return own;
        }
        self.grant_limits.count_held_back();
        let own = self.waiting.expected_waits().find(|it| it.0.id == id);
        let wait = own.and_then(|it| it.1).unwrap_or_default();
        let max_waiting = MAX_WAITING_PER_SLOT * n_slots as usize;
        let last = self.waiting.last_beyond(&service, max_waiting);
        let cause = |it: &WaitingRequest| match it {
            it if Some(it.id) == last => Some(RefusalCause::QueueFull),
            it if it.id != id => None,
            it if it.deadline <= now => Some(it.cause_at_deadline()),
            it => (it.time_left(now) <= wait).then_some(RefusalCause::ExpectedWait),
        };
        let mut refused = self.refuse(now, cause);
        let own = refused.iter().position(|it| it.0 == id);
        let own = own.map(|it| refused.remove(it).1);
        self.decided.extend(refused);
        own
    }

    /// Decides on the waiting requests after a change of load or engines, or at a deadline.
    pub fn decide_waiting(
        &mut self,
        engines: &dyn Fn(&Demand) -> Vec<CellEngine>,
        now: Instant,
    ) -> Vec<(ReservationId, Admission)> {
        let mut decisions = std::mem::take(&mut self.decided);
        decisions.extend(self.place_waiting(engines, now));
        let late = self.waiting.late_by_estimate(now);
        let cause = |it: &WaitingRequest| match it {
            it if it.deadline <= now => Some(it.cause_at_deadline()),
            it => late.contains(&it.id).then_some(RefusalCause::ExpectedWait),
        };
        decisions.extend(self.refuse(now, cause));
        decisions
    }

    /// Ends the wait of requests without a place and remembers their refusal, unless it may be for want of
    /// a turn.
    fn refuse(
        &mut self,
        now: Instant,
        cause_of: impl Fn(&WaitingRequest) -> Option<RefusalCause>,
    ) -> Vec<(ReservationId, Admission)> {
        let mut decisions = Vec::new();
        for request in self.waiting.take_ended(|it| cause_of(it).is_some()) {
            self.counts.of(request.is_return).n_refused += 1;
            self.waiting.record_decision(&request, false, now);
            let has_turn = request.demand.in_turn_parts.is_empty();
            if let Some(attempt) = request.demand.attempt.filter(|_| has_turn) {
                self.refused.record(attempt, request.first_asked, now);
            }
            let refusal = cause_of(&request).and_then(|it| self.waiting.refusal(&request, it, now));
            decisions.push((request.id, refusal.map_or(Admission::Full, Admission::Refused)));
        }
        decisions
    }

    /// Returns `true` if waiting requests were decided on when another one arrived.
    pub fn has_decided(&self) -> bool {
        !self.decided.is_empty()
    }

    /// Returns the earliest time at which a waiting request has to be decided on without a change of the
    /// load: its deadline, the end of the pause after a failed start, or the time at which an engine takes
    /// a request by its rate limit.
    pub fn next_deadline(&self) -> Option<Instant> {
        let deadlines = self.waiting.iter().map(|it| it.deadline);
        let in_turn = self.waiting.iter().flat_map(|it| &it.demand.in_turn_parts);
        let failed_starts = in_turn.filter_map(|it| self.failed_starts.get(it));
        let next_due = self.grant_limits.next_due().filter(|_| self.waiting.len() > 0);
        deadlines.chain(failed_starts.map(|it| *it + START_PAUSE)).chain(next_due).min()
    }

    /// Records that the first event of a response has arrived, so its prompt has been read.
    pub fn record_first_event(&mut self, id: &ReservationId) {
        self.reservations.record_first_event(id);
    }

    /// Ends a reservation, or the wait for one; returns the engine of the reservation.
    pub fn release(&mut self, id: &ReservationId, now: Instant) -> Option<BackendId> {
        let ended = self.remove(id)?;
        self.failed_starts.extend(ended.starting_parts.into_iter().map(|it| (it, now)));
        Some(ended.engine)
    }

    /// Ends a reservation whose engine did not get the request, or the wait for one; returns the engine.
    /// No start has failed.
    pub fn cancel(&mut self, id: &ReservationId) -> Option<BackendId> {
        let ended = self.remove(id)?;
        self.grant_limits.take_back(&ended.engine, ended.granted);
        Some(ended.engine)
    }

    /// Applies a holder's report of all reservations that it holds at engines of this cell.
    pub fn apply_report(
        &mut self,
        holder: SocketAddr,
        reservations: Vec<HeldReservation>,
        now: Instant,
    ) {
        for id in self.reservations.unlisted(holder, &reservations, now) {
            self.release(&id, now);
        }
        for held in reservations {
            self.reservations.renew(ReservationId { holder, number: held.number }, held, now);
        }
    }

    /// Ends the reservations whose leases have lapsed; returns their number.
    pub fn expire(&mut self, now: Instant) -> usize {
        self.grant_limits.forget_old(now);
        let expired = self.reservations.expired(now);
        for id in &expired {
            self.release(id, now);
        }
        expired.len()
    }

    /// Returns the load of an engine.
    pub fn load(&self, engine: &str) -> Load {
        self.reservations.load(engine)
    }

    /// Returns the number of reservations.
    pub fn n_reservations(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the numbers of decisions since the start.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Returns the number of requests that did not get a place at once, while an engine with room was held
    /// back by its rate limit.
    pub fn n_held_back(&self) -> u64 {
        self.grant_limits.n_cold_held_back()
    }

    /// Returns the number of requests that did not get a place at once, while an engine with room was held
    /// back by the limit that it named.
    pub fn n_limit_held_back(&self) -> u64 {
        self.grant_limits.n_limit_held_back()
    }

    /// Returns `true` if there is nothing to decide on.
    pub fn is_idle(&self) -> bool {
        self.waiting.len() == 0 && self.decided.is_empty()
    }

    /// Returns the numbers of decisions on first attempts by rank.
    pub fn rank_counts(&self) -> BTreeMap<u32, RankCounts> {
        self.waiting.rank_counts()
    }

    /// Returns the number of waiting requests.
    pub fn n_waiting(&self) -> usize {
        self.waiting.len()
    }

    fn remove(&mut self, id: &ReservationId) -> Option<EndedReservation> {
        self.waiting.take_ended(|it| it.id == *id);
        self.decided.retain(|it| it.0 != *id);
        self.reservations.remove(id)
    }

    /// Places the waiting requests in their order.
    ///
    /// A prompt that no engine can take yet because of its length keeps the engine with the fewest
    /// unread tokens from later requests. Otherwise shorter prompts would always be placed first
    /// and long ones never.
    fn place_waiting(
        &mut self,
        engines: &dyn Fn(&Demand) -> Vec<CellEngine>,
        now: Instant,
    ) -> Vec<(ReservationId, Admission)> {
        self.failed_starts.retain(|_, it| now.duration_since(*it) < START_PAUSE);
        self.grant_limits.begin_round(now);
        let mut decisions = Vec::new();
        let mut held: BTreeSet<BackendId> = BTreeSet::new();
        let mut all_usable = UsableEngines::default();
        for request in self.waiting.take_ordered(now) {
            if !self.can_start(&request.demand.in_turn_parts) {
                self.waiting.put_back(request);
                continue;
            }
            let demand = &request.demand;
            let usable = all_usable.of(demand, engines, |it| self.candidate(it, now));
            let max_held = (usable.engines.len() as f64 * MAX_HELD_SHARE) as usize;
            let is_free = |idx: usize| !held.contains(&usable.engines[idx].id);
            let candidates = &usable.candidates;
            match choose_engine(candidates, demand.prompt_tokens, demand.is_resumed, is_free) {
                Some(idx) => {
                    let engine = usable.engines[idx].clone();
                    let load = candidates[idx].load;
                    self.grant(&request, &engine, now);
                    decisions.push((request.id, Admission::Granted { engine: engine.id, load }));
                    all_usable.clear();
                }
                None => {
                    let with_slot = (0..candidates.len()).filter(|it| candidates[*it].has_slot());
                    let next_free = with_slot
                        .filter(|it| is_free(*it))
                        .min_by_key(|it| candidates[*it].load.unread_tokens);
                    if let Some(idx) = next_free.filter(|_| held.len() < max_held) {
                        held.insert(usable.engines[idx].id.clone());
                    }
                    self.waiting.put_back(request);
                }
            }
        }
        decisions
    }

    /// Grants an engine to a request; all grants are made here.
    fn grant(&mut self, request: &WaitingRequest, engine: &CellEngine, now: Instant) {
        self.counts.of(request.is_return).n_admitted += 1;
        self.waiting.record_decision(request, true, now);
        self.grant_limits.record(engine, now);
        self.reservations.grant(request.id, engine.id.clone(), &request.demand, now);
    }

    fn candidate(&mut self, engine: &CellEngine, now: Instant) -> Candidate {
        let candidate = self.candidate_by_load(engine);
        match candidate.has_slot() && !self.grant_limits.is_due(engine, now) {
            true => Candidate { slots: 0, ..candidate },
            false => candidate,
        }
    }

    fn candidate_by_load(&self, engine: &CellEngine) -> Candidate {
        let load = self.load(&engine.id);
        let slots = match engine.is_on_probation && load.n_requests > 0 {
            true => 0,
            false => engine.slots,
        };
        Candidate { slots, load }
    }

    /// Returns the time until the first engine takes a request, if all have room and are held back by the
    /// limits that they named.
    fn time_until_due(&self, engines: &[CellEngine], now: Instant) -> Option<Duration> {
        // Mostly the first engine has no limit, so that no load is looked up.
        let due = |it: &CellEngine| self.grant_limits.next_limit_due(it, now);
        let all_due: Option<Vec<Instant>> = engines.iter().map(due).collect();
        let first = all_due?.into_iter().min()?;
        let have_room = engines.iter().all(|it| self.candidate_by_load(it).has_slot());
        have_room.then(|| first.saturating_duration_since(now))
    }

    /// Returns `false` if an engine that may crash on one of the parts has yet to begin its response, or
    /// ended without one just now.
    fn can_start(&self, parts: &[PartDigest]) -> bool {
        !parts
            .iter()
            .any(|it| self.reservations.is_starting(it) || self.failed_starts.contains_key(it))
    }
}
