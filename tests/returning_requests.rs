//! Requests that come back after a refusal, beside those that arrive for the first time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::{
    ids::HostId,
    placement::{
        Admission, AdmissionCell, CellEngine, CellMap, Demand, OwnerCandidate, RequestAttempt,
        ReservationId,
    },
};
use fastrand::Rng;

/// Engines of a single cell.
const N_ENGINES: u64 = 4;
/// Engines of a fleet with four cells.
const N_FLEET_ENGINES: u64 = 64;
const SLOTS: u32 = 4;
/// Requests beyond the slots that an engine may have.
const MAX_QUEUED: u32 = 1;
const SERVICE_MS: u64 = 1000;
/// An eighth of a latency objective of half a second.
const WAIT_MS: u64 = 62;
const RETRY_AFTER_MS: u64 = 300;
const N_SEEDS: u64 = 10;
const N_FLEET_SEEDS: u64 = 2;
const ZONE: &str = "zone-1";

fn cell_engine(id: String) -> CellEngine {
    CellEngine { id, slots: SLOTS, is_on_probation: false, rate_limit: None, request_limit: None }
}

fn engines(_: &Demand) -> Vec<CellEngine> {
    (0..N_ENGINES).map(|it| cell_engine(format!("i-{it}"))).collect()
}

/// Returns the demand of a request, if no engine has got it yet, in the caller's attempt `number`.
fn demand(request: Option<u64>, number: u64, wait_ms: u64) -> Demand {
    Demand {
        service: "pool".to_owned(),
        model: None,
        attempt: request.map(|request| RequestAttempt { request, number }),
        prompt_tokens: 10,
        is_resumed: false,
        excluded: Vec::new(),
        prompt_parts: Vec::new(),
        in_turn_parts: Vec::new(),
        wait: Duration::from_millis(wait_ms),
        ..Demand::default()
    }
}

fn id(number: u64) -> ReservationId {
    ReservationId { holder: SocketAddr::from(([10, 1, 0, 1], 80)), number }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    Asks { request: u64, is_return: bool },
    WaitEnds(ReservationId),
    Ends(ReservationId),
}

/// One ask of an attempt for capacity.
#[derive(Clone)]
struct Ask {
    request: u64,
    is_return: bool,
    owner: HostId,
}

/// A cell and its engines.
struct Cell {
    admission: AdmissionCell,
    engines: Vec<CellEngine>,
}

/// A fleet of one availability zone under a constant rate of requests, whose callers come back once
/// after a refusal.
struct Overload {
    random: Rng,
    start: Instant,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    n_events: u64,
    map: CellMap,
    cells: BTreeMap<HostId, Cell>,
    /// The ask of each reservation number.
    asks: Vec<Ask>,
    n_requests: u64,
    n_admitted_first: u64,
    n_admitted: u64,
}

impl Overload {
    /// Plays requests that ask for `1 / served_share` of what the engines can serve.
    fn play(n_engines: u64, served_share: f64, duration_ms: u64, seed: u64) -> Overload {
        let capacity_per_ms =
            (n_engines * u64::from(SLOTS + MAX_QUEUED)) as f64 / SERVICE_MS as f64;
        let gap_ms = served_share / capacity_per_ms;
        let ids: BTreeMap<String, String> =
            (0..n_engines).map(|it| (format!("i-{it}"), ZONE.to_owned())).collect();
        let candidate = |it| OwnerCandidate {
            host: format!("entry-{it}"),
            zone: ZONE.to_owned(),
            processor_permille: 250,
        };
        let map = CellMap::new(&ids, &(0..8).map(candidate).collect::<Vec<OwnerCandidate>>());
        let mut overload = Overload {
            random: Rng::with_seed(seed),
            start: Instant::now(),
            now_ms: 0,
            events: BinaryHeap::new(),
            n_events: 0,
            map,
            cells: BTreeMap::new(),
            asks: Vec::new(),
            n_requests: 0,
            n_admitted_first: 0,
            n_admitted: 0,
        };
        for id in ids.into_keys() {
            let owner = overload.map.owner(&id).unwrap().clone();
            let cell = Cell { admission: AdmissionCell::default(), engines: Vec::new() };
            overload.cells.entry(owner).or_insert(cell).engines.push(cell_engine(id));
        }
        let n_arrivals = (duration_ms as f64 / gap_ms) as u64;
        (0..n_arrivals)
            .for_each(|it| overload.schedule((it as f64 * gap_ms) as u64, Event::Arrives));
        while let Some(Reverse((at_ms, _, event))) = overload.events.pop() {
            if at_ms > duration_ms {
                break;
            }
            overload.now_ms = at_ms;
            overload.handle(event);
        }
        overload
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.n_events += 1;
        self.events.push(Reverse((self.now_ms + after_ms, self.n_events, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives => {
                let request = self.n_requests;
                self.n_requests += 1;
                self.ask_owners(request, false);
            }
            Event::Asks { request, is_return } => self.ask_owners(request, is_return),
            Event::WaitEnds(id) => {
                self.decide_waiting(&self.asks[id.number as usize].owner.clone())
            }
            Event::Ends(id) => {
                let owner = self.asks[id.number as usize].owner.clone();
                let now = self.now();
                self.cells.get_mut(&owner).unwrap().admission.release(&id, now);
                self.decide_waiting(&owner);
            }
        }
    }

    /// Asks owners one after the other, then waits at the first, as an entry host does.
    fn ask_owners(&mut self, request: u64, is_return: bool) {
        let digest = Rng::with_seed(request).u64(..);
        let attempt = RequestAttempt { request: digest, number: is_return.into() };
        let owners = self.map.owners_to_ask(&ZONE.to_owned(), attempt.owner_position());
        let waits = std::iter::once((owners[0].clone(), WAIT_MS));
        for (owner, wait_ms) in owners.into_iter().map(|it| (it, 0)).chain(waits) {
            let id = id(self.asks.len() as u64);
            self.asks.push(Ask { request, is_return, owner: owner.clone() });
            let now = self.now();
            let cell = self.cells.get_mut(&owner).unwrap();
            let usable = |_: &Demand| cell.engines.clone();
            let demand = demand(Some(digest), is_return.into(), wait_ms);
            match cell.admission.request(id, demand, &usable, now) {
                Some(Admission::Full) if wait_ms == 0 => {}
                Some(admission) => return self.apply(id, admission),
                None => return self.schedule(WAIT_MS, Event::WaitEnds(id)),
            }
        }
    }

    fn decide_waiting(&mut self, owner: &HostId) {
        let now = self.now();
        let cell = self.cells.get_mut(owner).unwrap();
        let usable = |_: &Demand| cell.engines.clone();
        for (id, admission) in cell.admission.decide_waiting(&usable, now) {
            self.apply(id, admission);
        }
    }

    fn apply(&mut self, id: ReservationId, admission: Admission) {
        let Ask { request, is_return, .. } = self.asks[id.number as usize];
        if matches!(admission, Admission::Granted { .. }) {
            self.n_admitted += 1;
            self.n_admitted_first += u64::from(!is_return);
            let service_ms = self.random.u64(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
            self.schedule(service_ms, Event::Ends(id));
        } else if !is_return {
            let delay_ms = RETRY_AFTER_MS + self.random.u64(0..20);
            self.schedule(delay_ms, Event::Asks { request, is_return: true });
        }
    }
}

fn check_overload(n_engines: u64, n_seeds: u64) {
    const SERVED_SHARE: f64 = 0.6;
    for seed in 0..n_seeds {
        let overload = Overload::play(n_engines, SERVED_SHARE, 12_000, seed);
        let n_requests = overload.n_requests as f64;
        let served = overload.n_admitted as f64 / n_requests;
        assert!(served > SERVED_SHARE - 0.05, "seed {seed}: {served} served in all");
        let first = overload.n_admitted_first as f64 / n_requests;
        assert!(first > 0.5, "seed {seed}: {first} admitted at the first attempt");
    }
}

/// Load pattern: more requests than the engines can serve, and callers that come back. Guards against
/// returning requests, which are late anyway, taking the places of those that can still be in time.
#[test]
fn returns_crowd_out_arrivals() {
    check_overload(N_ENGINES, N_SEEDS);
}

/// Guards against asking other owners when a request comes back, which don't know that it was refused.
#[test]
fn returns_ask_the_same_owners() {
    check_overload(N_FLEET_ENGINES, N_FLEET_SEEDS);
}

/// A request that comes back gets capacity that no other request waits for.
#[test]
fn returns_get_free_capacity() {
    let start = Instant::now();
    let mut cell = AdmissionCell::default();
    let n_places = N_ENGINES * u64::from(SLOTS + MAX_QUEUED);
    for number in 0..n_places {
        cell.request(id(number), demand(Some(number), 0, 0), &engines, start);
    }
    let refused = cell.request(id(1000), demand(Some(7000), 0, 0), &engines, start);
    assert_eq!(refused, Some(Admission::Full));
    cell.release(&id(0), start);
    let later = start + Duration::from_millis(RETRY_AFTER_MS);
    let returning = cell.request(id(1001), demand(Some(7000), 1, WAIT_MS), &engines, later);
    assert!(matches!(returning, Some(Admission::Granted { .. })), "{returning:?}");
}

/// Only a return is refused at once: a request that asks its second owner, or that engines had already,
/// waits.
#[test]
fn first_attempts_wait() {
    let start = Instant::now();
    let mut cell = AdmissionCell::default();
    for number in 0..N_ENGINES * u64::from(SLOTS + MAX_QUEUED) {
        cell.request(id(number), demand(Some(number), 0, 0), &engines, start);
    }
    let later = start + Duration::from_millis(RETRY_AFTER_MS);
    let refused = cell.request(id(1000), demand(Some(7000), 0, 0), &engines, start);
    assert_eq!(refused, Some(Admission::Full));
    // The same attempt asks again, as after a grant that its host can't use.
    let waits = cell.request(id(1001), demand(Some(7000), 0, WAIT_MS), &engines, later);
    assert_eq!(waits, None);
    // An equal request of another caller arrives at nearly the same time.
    let soon = start + Duration::from_millis(60);
    assert_eq!(cell.request(id(1002), demand(Some(7000), 5, WAIT_MS), &engines, soon), None);
    assert_eq!(cell.request(id(1003), demand(None, 0, WAIT_MS), &engines, later), None);
    assert_eq!(cell.request(id(1004), demand(Some(7001), 0, WAIT_MS), &engines, later), None);
    let returning = cell.request(id(1005), demand(Some(7000), 1, WAIT_MS), &engines, later);
    assert_eq!(returning, Some(Admission::Full));
}

/// Guards against taking equal requests of many callers for returning ones after a single refusal.
#[test]
fn equal_requests_are_no_returns() {
    let start = Instant::now();
    let mut cell = AdmissionCell::default();
    for number in 0..N_ENGINES * u64::from(SLOTS + MAX_QUEUED) {
        cell.request(id(number), demand(Some(number), 0, 0), &engines, start);
    }
    let refused = cell.request(id(1000), demand(Some(7000), 0, 0), &engines, start);
    assert_eq!(refused, Some(Admission::Full));
    let later = start + Duration::from_millis(RETRY_AFTER_MS);
    let admissions: Vec<Option<Admission>> = (1..6)
        .map(|it| cell.request(id(1000 + it), demand(Some(7000), it, WAIT_MS), &engines, later))
        .collect();
    let n_waiting = admissions.iter().filter(|it| it.is_none()).count();
    assert_eq!(n_waiting, 4, "all but the one that came back wait");
    // It asks its second owner, or to wait: still the same return.
    let again = cell.request(id(2000), demand(Some(7000), 1, WAIT_MS), &engines, later);
    assert_eq!(again, Some(Admission::Full));
}
