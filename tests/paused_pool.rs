//! An emulated pool under overload, in which half of the engines ask for a pause with each refusal.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    Admission, AdmissionCell, CellEngine, Demand, PausedServers, ReservationId,
};
use fastrand::Rng;

const N_ENGINES: usize = 8;
const SLOTS: u32 = 4;
/// Requests that an engine of the other half takes at once, fewer than its entry says.
const LOWERED_SLOTS: usize = 2;
const PAUSE_MS: u64 = 600;
const MAX_ATTEMPTS: usize = 2;
const DAY_MS: u64 = 20_000;
/// Mean arrivals in a millisecond: 1.4 times what the engines can serve.
const ARRIVALS_PER_MS: f64 = 0.056;

/// What became of the requests of a day.
#[derive(Debug, Default)]
struct Outcome {
    n_served: usize,
    /// Refusals that callers got.
    n_refused: usize,
    /// Attempts that engines refused.
    n_engine_refusals: usize,
    /// Attempts that reached an engine in a pause that it had asked for.
    n_in_pause: usize,
}

struct Pool {
    cell: AdmissionCell,
    paused: PausedServers,
    is_honoured: bool,
    random: Rng,
    start: Instant,
    now_ms: u64,
    next_number: u64,
    /// End and engine of each running request.
    running: Vec<(u64, usize, ReservationId)>,
    /// Ends of the pauses that engines asked for.
    asked_until_ms: [u64; N_ENGINES],
    outcome: Outcome,
}

impl Pool {
    fn play(is_honoured: bool, seed: u64) -> Outcome {
        let mut pool = Pool {
            cell: AdmissionCell::default(),
            paused: PausedServers::default(),
            is_honoured,
            random: Rng::with_seed(seed),
            start: Instant::now(),
            now_ms: 0,
            next_number: 0,
            running: Vec::new(),
            asked_until_ms: [0; N_ENGINES],
            outcome: Outcome::default(),
        };
        while pool.now_ms < DAY_MS {
            pool.end_requests();
            if pool.random.f64() < ARRIVALS_PER_MS {
                pool.arrive();
            }
            pool.now_ms += 1;
        }
        pool.outcome
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn end_requests(&mut self) {
        let now = self.now();
        let ended: Vec<ReservationId> =
            self.running.iter().filter(|it| it.0 <= self.now_ms).map(|it| it.2).collect();
        self.running.retain(|it| it.0 > self.now_ms);
        ended.iter().for_each(|it| drop(self.cell.release(it, now)));
    }

    fn arrive(&mut self) {
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some((id, engine)) = self.reserve(&tried) else { break };
            if self.is_taken(engine) {
                let end = self.now_ms + self.random.u64(300..900);
                self.running.push((end, engine, id));
                self.outcome.n_served += 1;
                return;
            }
            self.cell.release(&id, self.now());
            tried.push(name(engine));
        }
        self.outcome.n_refused += 1;
    }

    /// Reserves an engine that was not tried and, if pauses are honoured, does not pause.
    fn reserve(&mut self, tried: &[String]) -> Option<(ReservationId, usize)> {
        let now = self.now();
        let mut excluded = tried.to_vec();
        if self.is_honoured {
            let names = (0..N_ENGINES).map(name);
            excluded.extend(names.filter(|it| self.paused.time_left(it, 1, now).is_some()));
        }
        let demand = Demand {
            service: "pool".to_owned(),
            model: None,
            attempt: None,
            prompt_tokens: 0,
            is_resumed: false,
            excluded,
            prompt_parts: Vec::new(),
            in_turn_parts: Vec::new(),
            wait: Duration::ZERO,
            ..Demand::default()
        };
        self.next_number += 1;
        let holder = SocketAddr::from(([10, 1, 0, 1], 80));
        let id = ReservationId { holder, number: self.next_number };
        match self.cell.request(id, demand, &usable, now)? {
            Admission::Granted { engine, .. } => {
                Some((id, engine.trim_start_matches("i-").parse().unwrap()))
            }
            Admission::Full
            | Admission::Refused(_)
            | Admission::Limited(_)
            | Admission::NoEngine => None,
        }
    }

    /// Returns `true` if the engine takes the request; else it refuses it and asks for a pause.
    fn is_taken(&mut self, engine: usize) -> bool {
        if self.now_ms < self.asked_until_ms[engine] {
            self.outcome.n_in_pause += 1;
        }
        let n_running = self.running.iter().filter(|it| it.1 == engine).count();
        if engine % 2 == 0 || n_running < LOWERED_SLOTS {
            return true;
        }
        self.outcome.n_engine_refusals += 1;
        self.asked_until_ms[engine] = self.now_ms + PAUSE_MS;
        let now = self.now();
        self.paused.record(&name(engine), 1, Duration::from_millis(PAUSE_MS), 1, now);
        false
    }
}

fn name(engine: usize) -> String {
    format!("i-{engine}")
}

fn usable(demand: &Demand) -> Vec<CellEngine> {
    let engines = (0..N_ENGINES).map(name).filter(|it| !demand.excluded.contains(it));
    engines
        .map(|id| CellEngine {
            id,
            slots: SLOTS,
            is_on_probation: false,
            rate_limit: None,
            request_limit: None,
        })
        .collect()
}

/// Load pattern: overload, with engines that take less than their entries say, so that they always
/// look idle. A host that keeps to their pauses wastes few attempts on them and serves more callers.
#[test]
fn half_of_the_engines_pause() {
    for seed in 0..20 {
        let ignored = Pool::play(false, seed);
        let honoured = Pool::play(true, seed);
        let case = format!("seed {seed}: ignored {ignored:?}, honoured {honoured:?}");
        assert!(ignored.n_in_pause > 100, "{case}");
        assert_eq!(honoured.n_in_pause, 0, "{case}");
        assert!(honoured.n_engine_refusals * 4 < ignored.n_engine_refusals, "{case}");
        assert!(honoured.n_served > ignored.n_served, "{case}");
        assert!(honoured.n_refused < ignored.n_refused, "{case}");
    }
}
