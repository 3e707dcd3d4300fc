//! Admits requests to the engines of one cell, whose load its owner knows exactly.
//!
//! Load pattern: sustained overload with many entry hosts. If every entry host chose engines by
//! load reports, all would send to the engines that were free when the reports left, and queue
//! there. Instead one entry host, the owner, admits all requests to an engine. Requests wait here,
//! in order of arrival, rather than at engines, where they delay the streams that already run.
//!
//! Callers come back after a refusal, too late for their latency objective. If they waited like
//! others, each refusal would cause another one: most places would go to late requests, and most
//! first attempts would be refused. So a returning request gets what no waiting one can use.
//!
//! A reservation is a lease. Entry hosts report the reservations that they hold at intervals, which
//! renews the leases, replaces lost messages, and tells a new owner what is running.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::BackendId,
    placement::{
        choose_engine, refused_requests::RefusedRequests, AdmissionCounts, Candidate, Demand, Load,
        PartDigest, ReservationId, ReservationNumber,
    },
};

/// Time after the last report of its holder at which a reservation lapses.
const LEASE_TIME: Duration = Duration::from_millis(1200);
/// Age up to which a reservation is kept though a report lacks it, as the report may have been sent
/// before the reservation was granted.
const REPORT_DELAY: Duration = Duration::from_millis(150);
/// Longest time for which a request may wait, whatever its entry host asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Maximum number of waiting requests for each slot of the cell.
const MAX_WAITING_PER_SLOT: usize = 2;
/// Time after a start with a suspected part failed until the next one begins. Reports of one crash
/// arrive up to 0.1 s apart, so a start that fails sooner shows nothing new.
const START_PAUSE: Duration = Duration::from_millis(150);
/// Maximum share of the engines that are kept free for long prompts that wait.
const MAX_HELD_SHARE: f64 = 0.25;

/// An engine of the cell as the owner sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct CellEngine {
    /// Its id.
    pub id: BackendId,
    /// The number of requests that it processes at once. Smaller while the owner has yet to learn
    /// what runs there.
    pub slots: u32,
    /// Whether it may have only one request in progress, which tests if it has recovered.
    pub is_on_probation: bool,
}

/// The decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Capacity is reserved at an engine, whose load was `load` before.
    Granted {
        /// The engine.
        engine: BackendId,
        /// Its load before this reservation.
        load: Load,
    },
    /// No engine had capacity in time.
    Full,
    /// The cell has no engine that the request could use.
    NoEngine,
}

/// A reservation that an entry host holds, as its report lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReservation {
    /// Its number at the entry host.
    pub number: ReservationNumber,
    /// The engine.
    pub engine: BackendId,
    /// Prompt tokens of the request if its first event has not arrived, else 0.
    pub unread_tokens: u32,
}

#[derive(Clone, Debug)]
struct Reservation {
    engine: BackendId,
    unread_tokens: u32,
    /// Parts of the prompt until the first event of the response.
    starting_parts: Vec<PartDigest>,
    granted: Instant,
    renewed: Instant,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    id: ReservationId,
    demand: Demand,
    /// Whether it came back after a refusal.
    is_return: bool,
    deadline: Instant,
}

/// The reservations and the waiting requests of one cell.
#[derive(Clone, Debug, Default)]
pub struct AdmissionCell {
    reservations: BTreeMap<ReservationId, Reservation>,
    loads: BTreeMap<BackendId, Load>,
    refused: RefusedRequests,
    counts: AdmissionCounts,
    /// Time at which the last start with a part ended without a response.
    failed_starts: BTreeMap<PartDigest, Instant>,
    waiting: Vec<WaitingRequest>,
}

impl AdmissionCell {
    /// Decides on a request; returns `None` if it waits, in which case `decide_waiting` returns the
    /// decision later. A repeated message gets the same engine again.
    ///
    /// `engines` are the usable engines of the cell for this demand.
    pub fn request(
        &mut self,
        id: ReservationId,
        demand: Demand,
        engines: &dyn Fn(&Demand) -> Vec<CellEngine>,
        now: Instant,
    ) -> Option<Admission> {
        if let Some(reservation) = self.reservations.get(&id) {
            let engine = reservation.engine.clone();
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
        let n_slots: u32 = usable.iter().map(|it| it.slots).sum();
        let is_return = demand.attempt.is_some_and(|it| self.refused.is_return(it, now));
        // A returning request is late already; waiting, it would take the place of one that is not.
        let wait = if is_return { Duration::ZERO } else { demand.wait };
        let deadline = now + wait.min(MAX_WAIT);
        self.waiting.push(WaitingRequest { id, demand, is_return, deadline });
        let has_room = self.waiting.len() <= MAX_WAITING_PER_SLOT * n_slots as usize;
        let decisions = self.place_waiting(engines, now);
        if let Some(decision) = decisions.into_iter().find(|it| it.0 == id) {
            return Some(decision.1);
        }
        if deadline <= now || !has_room {
            self.refuse(now, |it| it.id == id);
            return Some(Admission::Full);
        }
        None
    }

    /// Decides on the waiting requests after a change of load or engines, or at a deadline.
    pub fn decide_waiting(
        &mut self,
        engines: &dyn Fn(&Demand) -> Vec<CellEngine>,
        now: Instant,
    ) -> Vec<(ReservationId, Admission)> {
        let mut decisions = self.place_waiting(engines, now);
        let refused = self.refuse(now, |it| it.deadline <= now);
        decisions.extend(refused.into_iter().map(|it| (it, Admission::Full)));
        decisions
    }

    /// Ends the wait of requests without a place and remembers their refusal, unless it may be for want of
    /// a turn; returns their ids.
    fn refuse(
        &mut self,
        now: Instant,
        is_refused: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<ReservationId> {
        let (refused, waiting): (Vec<WaitingRequest>, Vec<WaitingRequest>) =
            std::mem::take(&mut self.waiting).into_iter().partition(is_refused);
        self.waiting = waiting;
        for request in &refused {
            self.counts.of(request.is_return).n_refused += 1;
            let has_turn = request.demand.in_turn_parts.is_empty();
            if let Some(attempt) = request.demand.attempt.filter(|_| has_turn) {
                self.refused.record(attempt, now);
            }
        }
        refused.into_iter().map(|it| it.id).collect()
    }

    /// Returns the earliest time at which a waiting request has to be decided on without a change of the
    /// load: its deadline, or the end of the pause after a failed start.
    pub fn next_deadline(&self) -> Option<Instant> {
        let deadlines = self.waiting.iter().map(|it| it.deadline);
        let in_turn = self.waiting.iter().flat_map(|it| &it.demand.in_turn_parts);
        let failed_starts = in_turn.filter_map(|it| self.failed_starts.get(it));
        deadlines.chain(failed_starts.map(|it| *it + START_PAUSE)).min()
    }

    /// Records that the first event of a response has arrived, so its prompt has been read.
    pub fn record_first_event(&mut self, id: &ReservationId) {
        let Some(reservation) = self.reservations.get_mut(id) else { return };
        let unread = std::mem::take(&mut reservation.unread_tokens);
        reservation.starting_parts.clear();
        let load = self.loads.entry(reservation.engine.clone()).or_default();
        load.unread_tokens = load.unread_tokens.saturating_sub(unread);
    }

    /// Ends a reservation, or the wait for one; returns the engine of the reservation.
    pub fn release(&mut self, id: &ReservationId, now: Instant) -> Option<BackendId> {
        self.waiting.retain(|it| it.id != *id);
        let reservation = self.reservations.remove(id)?;
        self.remove_load(&reservation);
        self.failed_starts.extend(reservation.starting_parts.iter().map(|it| (*it, now)));
        Some(reservation.engine)
    }

    /// Applies a holder's report of all reservations that it holds at engines of this cell.
    pub fn apply_report(
        &mut self,
        holder: SocketAddr,
        reservations: Vec<HeldReservation>,
        now: Instant,
    ) {
        let listed: BTreeSet<ReservationNumber> = reservations.iter().map(|it| it.number).collect();
        let is_ended = |it: &(&ReservationId, &Reservation)| {
            let is_unlisted = it.0.holder == holder && !listed.contains(&it.0.number);
            is_unlisted && now.duration_since(it.1.granted) > REPORT_DELAY
        };
        let ended: Vec<ReservationId> =
            self.reservations.iter().filter(is_ended).map(|it| *it.0).collect();
        for id in ended {
            self.release(&id, now);
        }
        for held in reservations {
            self.renew(ReservationId { holder, number: held.number }, held, now);
        }
    }

    fn renew(&mut self, id: ReservationId, held: HeldReservation, now: Instant) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.renewed = now;
            if held.unread_tokens == 0 {
                self.record_first_event(&id);
            }
            return;
        }
        let reservation = Reservation {
            engine: held.engine,
            unread_tokens: held.unread_tokens,
            starting_parts: Vec::new(),
            granted: now,
            renewed: now,
        };
        self.add_load(&reservation);
        self.reservations.insert(id, reservation);
    }

    /// Ends the reservations whose holders have not reported for `LEASE_TIME`; returns their number.
    pub fn expire(&mut self, now: Instant) -> usize {
        let is_expired =
            |it: &(&ReservationId, &Reservation)| now.duration_since(it.1.renewed) > LEASE_TIME;
        let expired: Vec<ReservationId> =
            self.reservations.iter().filter(is_expired).map(|it| *it.0).collect();
        for id in &expired {
            self.release(id, now);
        }
        expired.len()
    }

    /// Returns the load of an engine.
    pub fn load(&self, engine: &str) -> Load {
        self.loads.get(engine).copied().unwrap_or_default()
    }

    /// Returns the number of reservations.
    pub fn n_reservations(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the numbers of decisions since the start.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Returns the number of waiting requests.
    pub fn n_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Places the waiting requests in order of arrival.
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
        let mut decisions = Vec::new();
        let mut held: BTreeSet<BackendId> = BTreeSet::new();
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            if !self.can_start(&request.demand.in_turn_parts) {
                self.waiting.push(request);
                continue;
            }
            let usable = engines(&request.demand);
            let max_held = (usable.len() as f64 * MAX_HELD_SHARE) as usize;
            let candidates: Vec<Candidate> = usable.iter().map(|it| self.candidate(it)).collect();
            let is_free = |idx: usize| !held.contains(&usable[idx].id);
            let demand = &request.demand;
            match choose_engine(&candidates, demand.prompt_tokens, demand.is_resumed, is_free) {
                Some(idx) => {
                    let engine = usable[idx].id.clone();
                    let load = candidates[idx].load;
                    self.counts.of(request.is_return).n_admitted += 1;
                    self.grant(request.id, engine.clone(), demand, now);
                    decisions.push((request.id, Admission::Granted { engine, load }));
                }
                None => {
                    let with_slot = (0..usable.len()).filter(|it| candidates[*it].has_slot());
                    let next_free = with_slot
                        .filter(|it| is_free(*it))
                        .min_by_key(|it| candidates[*it].load.unread_tokens);
                    if let Some(idx) = next_free.filter(|_| held.len() < max_held) {
                        held.insert(usable[idx].id.clone());
                    }
                    self.waiting.push(request);
                }
            }
        }
        decisions
    }

    fn candidate(&self, engine: &CellEngine) -> Candidate {
        let load = self.load(&engine.id);
        let slots = match engine.is_on_probation && load.n_requests > 0 {
            true => 0,
            false => engine.slots,
        };
        Candidate { slots, load }
    }

    /// Returns `false` if an engine that may crash on one of the parts has yet to begin its response, or
    /// ended without one just now.
    fn can_start(&self, parts: &[PartDigest]) -> bool {
        let is_starting = |it: &PartDigest| {
            self.reservations.values().any(|reservation| reservation.starting_parts.contains(it))
        };
        !parts.iter().any(|it| is_starting(it) || self.failed_starts.contains_key(it))
    }

    fn grant(&mut self, id: ReservationId, engine: BackendId, demand: &Demand, now: Instant) {
        let reservation = Reservation {
            engine,
            unread_tokens: demand.prompt_tokens,
            starting_parts: demand.prompt_parts.clone(),
            granted: now,
            renewed: now,
        };
        self.add_load(&reservation);
        self.reservations.insert(id, reservation);
    }

    fn add_load(&mut self, reservation: &Reservation) {
        let load = self.loads.entry(reservation.engine.clone()).or_default();
        load.n_requests += 1;
        load.unread_tokens = load.unread_tokens.saturating_add(reservation.unread_tokens);
    }

    fn remove_load(&mut self, reservation: &Reservation) {
        let Some(load) = self.loads.get_mut(&reservation.engine) else { return };
        load.n_requests = load.n_requests.saturating_sub(1);
        load.unread_tokens = load.unread_tokens.saturating_sub(reservation.unread_tokens);
        if load.n_requests == 0 {
            self.loads.remove(&reservation.engine);
        }
    }
}
