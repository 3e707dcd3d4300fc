//! Answers the other entry hosts' requests for capacity at the engines that this host owns.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use event_listener::Event;
use futures_lite::FutureExt;

use crate::{
    clock,
    entry::{
        eligible_servers::{eligible_servers, version_served},
        entry_host::EntryHost,
        refusal_log,
    },
    fleet::{AdmissionMessage, RefusalReason, ServiceOutcome},
    ids::BackendId,
    placement::{
        Admission, AdmissionCell, AdmissionCounts, CellEngine, Demand, RankCounts, ReservationId,
    },
    runtime,
};

/// Time after this host became the owner of an engine until it admits requests to all of its slots.
/// By then the other hosts have reported what runs there.
const LEARNING_TIME: Duration = Duration::from_millis(400);
/// Time without a turn of this process after which it may have been suspended.
const MAX_TURN_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval at which expired reservations are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// The cell of engines that this entry host owns.
#[derive(Default)]
pub(crate) struct CellOwner {
    cell: RefCell<AdmissionCell>,
    /// Time at which this host became the owner of each engine.
    owned_since: RefCell<BTreeMap<BackendId, Instant>>,
    /// Notified when a request begins to wait, or has to be decided on earlier than expected.
    has_waiting: Event,
    /// Time at which the waiting requests are decided on next.
    next_wake: Cell<Option<Instant>>,
    /// Time of the latest turn of this process, by `clock::now`.
    last_turn: Cell<Option<Instant>>,
}

impl CellOwner {
    /// Applies a change of the engines that this host owns; returns those that it did not own before.
    pub(crate) fn update_engines(&self, engines: Vec<BackendId>, now: Instant) -> Vec<BackendId> {
        let mut owned_since = self.owned_since.borrow_mut();
        owned_since.retain(|it, _| engines.contains(it));
        let is_new = |it: &BackendId| !owned_since.contains_key(it);
        let new: Vec<BackendId> = engines.into_iter().filter(is_new).collect();
        owned_since.extend(new.iter().map(|it| (it.clone(), now)));
        new
    }

    /// Returns the numbers of decisions on requests for capacity since the start.
    pub(crate) fn counts(&self) -> AdmissionCounts {
        self.cell.borrow().counts()
    }

    /// Returns the numbers of decisions on first attempts by rank.
    pub(crate) fn rank_counts(&self) -> BTreeMap<u32, RankCounts> {
        self.cell.borrow().rank_counts()
    }

    /// Returns the number of requests that waited or were refused as engines are cold.
    pub(crate) fn n_held_back(&self) -> u64 {
        self.cell.borrow().n_held_back()
    }

    /// Returns the number of requests that waited or were refused as engines named limits.
    pub(crate) fn n_limit_held_back(&self) -> u64 {
        self.cell.borrow().n_limit_held_back()
    }

    /// Records a turn of this process; if it may have been suspended since the last one, begins to learn
    /// again what runs at the engines, as it may have missed reports.
    fn record_turn(&self, host: &EntryHost, now: Instant) {
        let last_turn = self.last_turn.replace(Some(clock::now()));
        if last_turn.is_none_or(|it| clock::elapsed(it) <= MAX_TURN_INTERVAL) {
            return;
        }
        log::info!("cell: the process was suspended, learning the loads again");
        host.cold_servers.borrow_mut().note_suspended(now);
        self.owned_since.borrow_mut().values_mut().for_each(|it| *it = now);
    }

    /// Handles a message of an entry host that holds, or asks for, reservations.
    pub(crate) fn handle(&self, host: &EntryHost, from: SocketAddr, message: AdmissionMessage) {
        let now = Instant::now();
        // A message may be read before the task that waits for the next turn runs.
        self.record_turn(host, now);
        match message {
            AdmissionMessage::Request { number, demand } => {
                let id = ReservationId { holder: from, number };
                let usable = |it: &Demand| self.usable_engines(host, it, now);
                let decision = self.cell.borrow_mut().request(id, *demand, &usable, now);
                match decision {
                    Some(decision) => send_decision(host, id, decision),
                    None => drop(self.has_waiting.notify(usize::MAX)),
                }
                if self.cell.borrow().has_decided() {
                    self.decide_waiting(host);
                }
            }
            AdmissionMessage::FirstEvent { number } => {
                let id = ReservationId { holder: from, number };
                self.cell.borrow_mut().record_first_event(&id);
                self.decide_waiting(host);
            }
            AdmissionMessage::Released { number, outcome } => {
                let id = ReservationId { holder: from, number };
                let engine = match outcome.is_sent() {
                    true => self.cell.borrow_mut().release(&id, now),
                    false => self.cell.borrow_mut().cancel(&id),
                };
                if let Some(engine) = engine {
                    record_outcome(host, &engine, outcome);
                }
                self.decide_waiting(host);
            }
            AdmissionMessage::Report { reservations } => {
                self.cell.borrow_mut().apply_report(from, reservations, now);
                self.decide_waiting(host);
            }
            AdmissionMessage::Granted { .. } | AdmissionMessage::Refused { .. } => {}
        }
    }

    /// Decides on the waiting requests after a change of load or engines.
    pub(crate) fn decide_waiting(&self, host: &EntryHost) {
        if self.cell.borrow().is_idle() {
            return;
        }
        let now = Instant::now();
        let usable = |it: &Demand| self.usable_engines(host, it, now);
        let decisions = self.cell.borrow_mut().decide_waiting(&usable, now);
        for (id, decision) in decisions {
            send_decision(host, id, decision);
        }
        // A release may let an engine take a request by its rate limit before the next wake-up.
        let next_deadline = self.cell.borrow().next_deadline();
        let is_earlier = |it: Instant| self.next_wake.get().is_some_and(|wake| it < wake);
        if next_deadline.is_some_and(is_earlier) {
            self.has_waiting.notify(usize::MAX);
        }
    }

    /// Returns the engines of the cell that a request may use now.
    fn usable_engines(&self, host: &EntryHost, demand: &Demand, now: Instant) -> Vec<CellEngine> {
        let owned_since = self.owned_since.borrow();
        let health = host.health.borrow();
        let mut cold_servers = host.cold_servers.borrow_mut();
        let servers = host.backends.borrow();
        let model = demand.model.as_deref();
        let eligible = eligible_servers(host, &servers, &demand.service, model, &demand.regions);
        eligible
            .into_iter()
            .filter(|it| !demand.excluded.contains(&it.id) && health.is_usable(&it.id, 0, now))
            .filter_map(|it| {
                let is_learning = now < *owned_since.get(&it.id)? + LEARNING_TIME;
                let is_on_probation = !health.is_usable(&it.id, 1, now);
                cold_servers.note_probations(&[it], &health, now);
                Some(CellEngine {
                    id: it.id.clone(),
                    slots: if is_learning { it.slots.div_ceil(2) } else { it.slots },
                    is_on_probation,
                    rate_limit: cold_servers.owner_limit(&it.id, now),
                    request_limit: host.limited_servers.limit(it, now),
                })
            })
            .collect()
    }
}

/// Refuses requests whose wait has ended and removes expired reservations, until the task is
/// dropped.
pub(crate) async fn run(host: Rc<EntryHost>) {
    let owner = &host.cell_owner;
    let mut next_expiry = Instant::now() + EXPIRE_INTERVAL;
    loop {
        let listener = owner.has_waiting.listen();
        let next_deadline = owner.cell.borrow().next_deadline();
        let wake = next_deadline.map_or(next_expiry, |it| it.min(next_expiry));
        owner.next_wake.set(Some(wake));
        listener.or(runtime::sleep_until(wake)).await;
        let now = Instant::now();
        owner.record_turn(&host, now);
        if now >= next_expiry {
            next_expiry = now + EXPIRE_INTERVAL;
            let n_expired = owner.cell.borrow_mut().expire(now);
            if n_expired > 0 {
                log::info!("cell: reservations lapsed n={n_expired}");
            }
        }
        owner.decide_waiting(&host);
    }
}

fn record_outcome(host: &EntryHost, engine: &BackendId, outcome: ServiceOutcome) {
    match outcome {
        ServiceOutcome::Succeeded => host.health.borrow_mut().record_success(engine),
        // An engine that switches to other weights aborts its running requests; that is no failure.
        ServiceOutcome::Failed | ServiceOutcome::Unreachable
            if !host.backends.borrow().is_switching(engine) =>
        {
            if host.health.borrow_mut().record_failure(engine, Instant::now()) {
                log::info!("health: ejected an engine of the own cell backend={engine}");
            }
        }
        ServiceOutcome::Failed
        | ServiceOutcome::Unreachable
        | ServiceOutcome::Unknown
        | ServiceOutcome::Unsent => {}
    }
}

fn send_decision(host: &EntryHost, id: ReservationId, decision: Admission) {
    let number = id.number;
    let refused = |reason: RefusalReason| AdmissionMessage::Refused { number, reason };
    let message = match decision {
        Admission::Granted { engine, load } => AdmissionMessage::Granted {
            number,
            version: version_served(host, &engine),
            engine,
            n_requests: load.n_requests,
            unread_tokens: load.unread_tokens,
        },
        Admission::Full => refused(RefusalReason::Full),
        Admission::Refused(refusal) => {
            refusal_log::log_refusal(&refusal);
            refused(RefusalReason::Ranked(refusal))
        }
        Admission::Limited(left) => refused(RefusalReason::Limited(left)),
        Admission::NoEngine if host.cell_owner.owned_since.borrow().is_empty() => {
            refused(RefusalReason::NotOwner)
        }
        Admission::NoEngine => refused(RefusalReason::NoUsableEngine),
    };
    host.send_admission(id.holder, message);
}
