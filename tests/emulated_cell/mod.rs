//! An emulated cell of engines, to whose owners the requests of a load arrive.

mod engine;
mod load;
mod outcome;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    Admission, AdmissionCell, CellEngine, Demand, Refusal, RequestAttempt, RequestClass,
    ReservationId,
};
use fastrand::Rng;

use engine::{Engine, Progress, READ_TOKENS_PER_MS, SLOTS, STEPS_PER_EVENT, STEP_MS};
use load::{Arrival, BURST_MS};
pub(crate) use load::{Burst, Load};
pub(crate) use outcome::Outcome;

const N_ENGINES: usize = 13;
const NETWORK_MS: f64 = 1.0;
const DEADLINE_MS: f64 = 6000.0;
/// `Retry-After` of a request that found no capacity in time.
const RETRY_AFTER_MS: f64 = 300.0;

/// How the cells order waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// By arrival, whatever they are.
    Arrival,
    /// By arrival, with the bound for the largest of a kind, as where requests don't differ.
    ArrivalAndSize,
    /// By what each request needs.
    Need,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A request asks its n-th owner.
    Asks {
        request: usize,
        attempt: u32,
        turn: usize,
    },
    WaitEnds {
        owner: usize,
    },
    Reaches {
        request: usize,
        engine: usize,
    },
    PassEnds {
        engine: usize,
    },
    FirstEventKnown {
        request: usize,
    },
    EndKnown {
        request: usize,
    },
    EnginesLost,
    EnginesBack,
    OwnerLost,
}

/// What happened to a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fate {
    reservation: Option<(usize, ReservationId)>,
    pub(crate) granted_ms: Option<f64>,
    pub(crate) first_event_ms: Option<f64>,
    pub(crate) n_refused: u32,
    /// Longest time from an ask to its refusal.
    pub(crate) max_held_ms: f64,
    asked_ms: f64,
}

/// A run of a load.
struct Run<'a> {
    load: &'a Load,
    order: Order,
    random: Rng,
    start: Instant,
    now_ms: f64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    scheduled: Vec<Event>,
    owners: Vec<AdmissionCell>,
    engines: Vec<Engine>,
    arrivals: Vec<Arrival>,
    fates: Vec<Fate>,
    /// Request, attempt and turn of each ask.
    asks: Vec<(usize, u32, usize)>,
    /// Time at which each owner is woken next.
    wakes: Vec<Option<u64>>,
}

/// Plays a load and returns what became of its requests.
pub(crate) fn play(load: &Load, order: Order, seed: u64) -> Outcome {
    let arrivals = load.arrivals(STEPS_PER_EVENT, seed);
    let mut run = Run {
        load,
        order,
        random: Rng::with_seed(seed),
        start: Instant::now(),
        now_ms: 0.0,
        events: BinaryHeap::new(),
        scheduled: Vec::new(),
        owners: (0..load.n_owners).map(|_| AdmissionCell::default()).collect(),
        engines: vec![Engine::default(); N_ENGINES],
        fates: vec![Fate::default(); arrivals.len()],
        asks: Vec::new(),
        wakes: vec![None; load.n_owners],
        arrivals,
    };
    run.play();
    Outcome::new(load, &run.arrivals, &run.fates)
}

impl Run<'_> {
    fn play(&mut self) {
        for request in 0..self.arrivals.len() {
            let at_ms = self.arrivals[request].at_ms;
            self.schedule(at_ms, Event::Asks { request, attempt: 0, turn: 0 });
        }
        if self.load.n_lost > 0 {
            self.schedule(BURST_MS.start as f64, Event::EnginesLost);
            self.schedule(BURST_MS.end as f64, Event::EnginesBack);
        }
        if self.load.loses_owner {
            self.schedule((BURST_MS.start + BURST_MS.end) as f64 / 2.0, Event::OwnerLost);
        }
        while let Some(Reverse((at_us, idx))) = self.events.pop() {
            self.now_ms = at_us as f64 / 1000.0;
            self.handle(self.scheduled[idx]);
        }
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        self.events.push(Reverse(((at_ms * 1000.0) as u64, self.scheduled.len())));
        self.scheduled.push(event);
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now_ms / 1000.0)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Asks { request, attempt, turn } => self.ask(request, attempt, turn),
            Event::WaitEnds { owner } => {
                self.wakes[owner] = None;
                self.decide_waiting(owner);
            }
            Event::Reaches { request, engine } => {
                if self.engines[engine].is_lost {
                    return self.schedule(self.now_ms, Event::EndKnown { request });
                }
                let Arrival { prompt_tokens, n_events, .. } = self.arrivals[request];
                self.engines[engine].add(request, prompt_tokens, n_events);
                self.begin_pass(engine);
            }
            Event::PassEnds { engine } => self.end_pass(engine),
            Event::FirstEventKnown { request } => {
                let Some((owner, id)) = self.fates[request].reservation else { return };
                self.owners[owner].record_first_event(&id);
                self.decide_waiting(owner);
            }
            Event::EndKnown { request } => {
                let Some((owner, id)) = self.fates[request].reservation.take() else { return };
                let now = self.now();
                self.owners[owner].release(&id, now);
                self.decide_waiting(owner);
            }
            Event::EnginesLost => {
                for engine in 0..self.load.n_lost {
                    self.engines[engine] = Engine::default();
                    self.engines[engine].is_lost = true;
                }
            }
            Event::EnginesBack => self.engines.iter_mut().for_each(|it| it.is_lost = false),
            Event::OwnerLost => self.lose_owner(),
        }
    }

    fn lose_owner(&mut self) {
        self.owners[0] = AdmissionCell::default();
    }

    fn begin_pass(&mut self, engine: usize) {
        if self.engines[engine].is_in_pass {
            return;
        }
        if let Some(took_ms) = self.engines[engine].begin_pass() {
            self.schedule(self.now_ms + took_ms, Event::PassEnds { engine });
        }
    }

    fn end_pass(&mut self, engine: usize) {
        if self.engines[engine].is_lost || !self.engines[engine].is_in_pass {
            return;
        }
        for progress in self.engines[engine].end_pass() {
            let known_ms = self.now_ms + 2.0 * NETWORK_MS;
            match progress {
                Progress::FirstEvent(request) => {
                    self.fates[request].first_event_ms = Some(known_ms);
                    self.schedule(known_ms, Event::FirstEventKnown { request });
                }
                Progress::Ended(request) => self.schedule(known_ms, Event::EndKnown { request }),
            }
        }
        self.begin_pass(engine);
    }

    fn usable(&self, owner: usize) -> Vec<CellEngine> {
        let own = (0..N_ENGINES).filter(|it| it % self.load.n_owners == owner);
        let own = own.filter(|it| !self.engines[*it].is_lost);
        own.map(|it| CellEngine {
            id: format!("i-{it:02}"),
            slots: SLOTS,
            is_on_probation: false,
            rate_limit: None,
            request_limit: None,
        })
        .collect()
    }

    /// Asks owners one after the other, then waits at the first, as an entry host does.
    fn ask(&mut self, request: usize, attempt: u32, turn: usize) {
        let n_owners = self.load.n_owners;
        let owner = (request + turn) % n_owners;
        let is_last = turn == n_owners || n_owners == 1;
        let demand = self.demand(request, attempt, is_last);
        let id = ReservationId {
            holder: SocketAddr::from(([10, 1, 0, 1], 80)),
            number: self.asks.len() as u64,
        };
        self.asks.push((request, attempt, turn));
        if turn == 0 {
            self.fates[request].asked_ms = self.now_ms;
        }
        let usable = self.usable(owner);
        let engines = |_: &Demand| usable.clone();
        let now = self.now();
        match self.owners[owner].request(id, demand, &engines, now) {
            Some(admission) => self.apply(owner, id, admission),
            None => self.schedule_wake(owner),
        }
        if self.owners[owner].has_decided() {
            self.decide_waiting(owner);
        }
    }

    fn schedule_wake(&mut self, owner: usize) {
        let Some(at) = self.owners[owner].next_deadline() else { return };
        let at_us = at.duration_since(self.start).as_micros() as u64 + 2;
        if self.wakes[owner].is_none_or(|it| at_us < it) {
            self.wakes[owner] = Some(at_us);
            self.schedule(at_us as f64 / 1000.0, Event::WaitEnds { owner });
        }
    }

    fn demand(&self, request: usize, attempt: u32, may_wait: bool) -> Demand {
        let arrival = &self.arrivals[request];
        let kind = &self.load.kinds[arrival.kind];
        let age_ms = self.now_ms - arrival.at_ms;
        let left = |ms: f64| Duration::from_secs_f64((ms - age_ms).max(0.0) / 1000.0);
        let wait_ms = if may_wait { kind.objective_ms / 8 } else { 0 };
        Demand {
            service: "pool".to_owned(),
            attempt: Some(RequestAttempt { request: request as u64, number: u64::from(attempt) }),
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            rank: if self.order == Order::Need { kind.rank } else { 0 },
            class: RequestClass {
                kind: if self.order == Order::Arrival { request } else { arrival.kind } as u32,
                customer: arrival.customer,
                is_ranked: self.order == Order::Need,
            },
            time_to_first_event: time_to_first_event(arrival.prompt_tokens),
            max_wait: Duration::from_millis(if may_wait { kind.objective_ms / 2 } else { 0 }),
            time_to_objective: left(kind.objective_ms as f64),
            time_to_deadline: left(DEADLINE_MS),
            wait: Duration::from_millis(wait_ms),
            ..Demand::default()
        }
    }

    fn decide_waiting(&mut self, owner: usize) {
        let usable = self.usable(owner);
        let engines = |_: &Demand| usable.clone();
        let now = self.now();
        for (id, admission) in self.owners[owner].decide_waiting(&engines, now) {
            self.apply(owner, id, admission);
        }
        self.schedule_wake(owner);
    }

    fn apply(&mut self, owner: usize, id: ReservationId, admission: Admission) {
        let (request, attempt, turn) = self.asks[id.number as usize];
        let n_owners = self.load.n_owners;
        match admission {
            Admission::Granted { engine, .. } => {
                let engine = engine[2..].parse().unwrap();
                let fate = &mut self.fates[request];
                fate.reservation = Some((owner, id));
                fate.granted_ms = Some(self.now_ms);
                let at_ms = self.now_ms + 2.0 * NETWORK_MS;
                self.schedule(at_ms, Event::Reaches { request, engine });
            }
            _ if n_owners > 1 && turn < n_owners => {
                let at_ms = self.now_ms + 2.0 * NETWORK_MS;
                self.schedule(at_ms, Event::Asks { request, attempt, turn: turn + 1 });
            }
            Admission::Refused(Refusal { room_in, .. }) => {
                let spread = 0.75 + 0.5 * self.random.f64();
                self.refuse(request, attempt, room_in.as_secs_f64() * 1000.0 * spread);
            }
            _ => self.refuse(request, attempt, RETRY_AFTER_MS),
        }
    }

    fn refuse(&mut self, request: usize, attempt: u32, retry_after_ms: f64) {
        let now_ms = self.now_ms;
        let fate = &mut self.fates[request];
        fate.n_refused += 1;
        fate.max_held_ms = fate.max_held_ms.max(now_ms - fate.asked_ms);
        let left_ms = DEADLINE_MS - (now_ms - self.arrivals[request].at_ms);
        let is_hasty = self.arrivals[request].customer == 0;
        let n_hasty = if is_hasty { self.load.n_hasty_returns } else { 0 };
        let pause_ms = match attempt < n_hasty {
            true => 5.0,
            false => retry_after_ms.min(left_ms / 3.0) + self.random.f64() * 20.0,
        };
        if attempt <= n_hasty {
            let event = Event::Asks { request, attempt: attempt + 1, turn: 0 };
            self.schedule(now_ms + pause_ms, event);
        }
    }
}

fn time_to_first_event(prompt_tokens: u32) -> Duration {
    let first_event_ms = f64::from(STEPS_PER_EVENT) * STEP_MS;
    let ms = f64::from(prompt_tokens) / READ_TOKENS_PER_MS + first_event_ms;
    Duration::from_secs_f64(ms / 1000.0)
}

/// Returns the mean of a value over the items.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (n, sum) = values.fold((0.0, 0.0), |it, value| (it.0 + 1.0, it.1 + value));
    if n == 0.0 {
        0.0
    } else {
        sum / n
    }
}

/// Returns the served shares of the customers.
pub(crate) fn by_customer(arrivals: &[Arrival], fates: &[Fate]) -> BTreeMap<u32, f64> {
    let customers: std::collections::BTreeSet<u32> =
        arrivals.iter().map(|it| it.customer).collect();
    let share = |customer: u32| {
        let own = arrivals.iter().zip(fates).filter(|it| it.0.customer == customer);
        mean(own.map(|it| f64::from(u8::from(it.1.first_event_ms.is_some()))))
    };
    customers.into_iter().map(|it| (it, share(it))).collect()
}
