//! Replays seeded calls of many entry hosts to the servers of a plain service, without a network.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    iter::Sum,
    time::{Duration, Instant},
};

use crocustiller::placement::{choose_plain_backend, CallNumber, PlainCandidate, PlainServers};

const SLOTS: u32 = 6;
const FAR_LATENCY_MS: f64 = 3.0;

/// How hosts choose servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// By requests in flight alone.
    Counts,
    /// By what servers have shown, with hedged requests.
    Seen,
}

/// The calls and servers of a run.
#[derive(Clone, Debug)]
pub struct Load {
    pub hosts_per_zone: usize,
    /// Zone of each server.
    pub server_zones: Vec<usize>,
    /// Calls per second of each zone.
    pub rates: Vec<f64>,
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the work; 0 if all calls are alike.
    pub spread: f64,
    pub objective_ms: u64,
    pub repeatable_share: f64,
    pub slow: Vec<SlowTime>,
    pub seconds: f64,
}

/// A time in which calls that a server begins take longer by a factor.
#[derive(Clone, Debug)]
pub struct SlowTime {
    pub server: usize,
    pub begin_s: f64,
    pub end_s: f64,
    pub factor: f64,
}

/// What became of the calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub n_calls: u32,
    pub n_in_time: u32,
    /// Attempts at servers in other zones.
    pub n_far: u32,
    pub n_hedged: u32,
    /// Calls that must not be repeated and were sent more than once.
    pub n_repeated: u32,
}

impl Outcome {
    pub fn n_late(&self) -> u32 {
        self.n_calls - self.n_in_time
    }
}

impl Sum for Outcome {
    fn sum<I: Iterator<Item = Outcome>>(outcomes: I) -> Outcome {
        outcomes.fold(Outcome::default(), |sum, it| Outcome {
            n_calls: sum.n_calls + it.n_calls,
            n_in_time: sum.n_in_time + it.n_in_time,
            n_far: sum.n_far + it.n_far,
            n_hedged: sum.n_hedged + it.n_hedged,
            n_repeated: sum.n_repeated + it.n_repeated,
        })
    }
}

#[derive(Clone, Debug)]
struct Call {
    host: usize,
    arrived_ms: f64,
    work_ms: f64,
    is_repeatable: bool,
    attempts: Vec<(usize, CallNumber)>,
    is_done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Hedge(usize),
    Begin(usize, usize),
    End(usize, usize),
    Response(usize, usize),
}

struct Replay<'a> {
    load: &'a Load,
    policy: Policy,
    random: fastrand::Rng,
    start: Instant,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    n_events: usize,
    now_ms: f64,
    calls: Vec<Call>,
    hosts: Vec<PlainServers>,
    counts: Vec<Vec<u32>>,
    n_busy: Vec<u32>,
    queues: Vec<VecDeque<usize>>,
    outcome: Outcome,
}

/// Replays `load`; the same seed gives the same calls to each policy.
pub fn replay(load: &Load, policy: Policy, seed: u64) -> Outcome {
    let n_hosts = load.hosts_per_zone * load.rates.len();
    let n_servers = load.server_zones.len();
    let mut replay = Replay {
        load,
        policy,
        random: fastrand::Rng::with_seed(seed ^ 1),
        start: Instant::now(),
        events: BinaryHeap::new(),
        n_events: 0,
        now_ms: 0.0,
        calls: calls(load, seed),
        hosts: vec![PlainServers::default(); n_hosts],
        counts: vec![vec![0; n_servers]; n_hosts],
        n_busy: vec![0; n_servers],
        queues: vec![VecDeque::new(); n_servers],
        outcome: Outcome::default(),
    };
    for idx in 0..replay.calls.len() {
        replay.schedule(replay.calls[idx].arrived_ms, Event::Arrival(idx));
    }
    while let Some(Reverse((at_us, _, event))) = replay.events.pop() {
        replay.now_ms = at_us as f64 / 1e3;
        replay.apply(event);
    }
    replay.outcome
}

fn calls(load: &Load, seed: u64) -> Vec<Call> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut calls = Vec::new();
    for (zone, rate) in load.rates.iter().enumerate() {
        let mut arrived_ms = 0.0;
        loop {
            arrived_ms -= (1.0 - random.f64()).ln() * 1e3 / rate;
            if arrived_ms > load.seconds * 1e3 {
                break;
            }
            // The sum of twelve uniform numbers is nearly normal.
            let normal = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
            calls.push(Call {
                host: zone * load.hosts_per_zone + random.usize(..load.hosts_per_zone),
                arrived_ms,
                work_ms: load.work_ms * (normal * load.spread).exp(),
                is_repeatable: random.f64() < load.repeatable_share,
                attempts: Vec::new(),
                is_done: false,
            });
        }
    }
    calls
}

impl Replay<'_> {
    fn schedule(&mut self, at_ms: f64, event: Event) {
        self.n_events += 1;
        self.events.push(Reverse(((at_ms * 1e3) as u64, self.n_events, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now_ms / 1e3)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrival(call) => self.arrive(call),
            Event::Hedge(call) if !self.calls[call].is_done => self.hedge(call),
            Event::Hedge(_) => {}
            Event::Begin(call, server) => {
                self.queues[server].push_back(call);
                self.begin_next(server);
            }
            Event::End(call, server) => {
                self.n_busy[server] -= 1;
                self.begin_next(server);
                self.schedule(
                    self.now_ms + self.link_ms(call, server),
                    Event::Response(call, server),
                );
            }
            Event::Response(call, server) => self.respond(call, server),
        }
    }

    fn arrive(&mut self, call: usize) {
        self.outcome.n_calls += 1;
        let Some(server) = self.choose(call) else { return };
        self.send(call, server);
        let delay = self.hosts[self.calls[call].host].hedge_delay("/", self.time_left(call));
        if let (Policy::Seen, true, Some(delay)) =
            (self.policy, self.calls[call].is_repeatable, delay)
        {
            self.schedule(self.now_ms + delay.as_secs_f64() * 1e3, Event::Hedge(call));
        }
    }

    fn hedge(&mut self, call: usize) {
        let Some(server) = self.choose(call) else { return };
        let (left, now) = (self.time_left(call), self.now());
        let host = &mut self.hosts[self.calls[call].host];
        if host.try_hedge(&server.to_string(), "/", left, now) {
            self.outcome.n_hedged += 1;
            self.send(call, server);
        }
    }

    fn choose(&mut self, call: usize) -> Option<usize> {
        let Call { host, attempts, .. } = &self.calls[call];
        let is_tried = |server: usize| attempts.iter().any(|it| it.0 == server);
        let open: Vec<usize> = (0..self.n_busy.len()).filter(|it| !is_tried(*it)).collect();
        let expected = |server: usize| match self.policy {
            Policy::Counts => Duration::ZERO,
            Policy::Seen => {
                self.hosts[*host].expected_latency(&server.to_string(), "/", self.now())
            }
        };
        let candidate = |server: &usize| PlainCandidate {
            slots: SLOTS,
            is_near: !self.is_far(call, *server),
            n_requests: self.counts[*host][*server],
            failure_rate: 0.0,
            expected_latency: expected(*server),
        };
        let candidates: Vec<PlainCandidate> = open.iter().map(candidate).collect();
        let objective = Duration::from_millis(self.load.objective_ms);
        choose_plain_backend(&candidates, objective, self.random.f64()).map(|it| open[it])
    }

    fn send(&mut self, call: usize, server: usize) {
        let now = self.now();
        let is_far = self.is_far(call, server);
        let Call { host, attempts, is_repeatable, .. } = &mut self.calls[call];
        let number = self.hosts[*host].begin(&server.to_string(), &"/".to_owned(), now);
        attempts.push((server, number));
        self.counts[*host][server] += 1;
        self.outcome.n_far += u32::from(is_far);
        self.outcome.n_repeated += u32::from(attempts.len() > 1 && !*is_repeatable);
        self.schedule(self.now_ms + self.link_ms(call, server), Event::Begin(call, server));
    }

    fn begin_next(&mut self, server: usize) {
        if self.n_busy[server] == SLOTS {
            return;
        }
        let Some(call) = self.queues[server].pop_front() else { return };
        self.n_busy[server] += 1;
        let now_s = self.now_ms / 1e3;
        let is_slow =
            |it: &&SlowTime| it.server == server && (it.begin_s..it.end_s).contains(&now_s);
        let factor = self.load.slow.iter().find(is_slow).map_or(1.0, |it| it.factor);
        self.schedule(self.now_ms + self.calls[call].work_ms * factor, Event::End(call, server));
    }

    fn respond(&mut self, call: usize, server: usize) {
        if self.calls[call].is_done {
            return;
        }
        let (now, left) = (self.now(), self.time_left(call));
        let Call { host, attempts, is_done, .. } = &mut self.calls[call];
        *is_done = true;
        self.outcome.n_in_time += u32::from(!left.is_zero());
        for (at, number) in attempts.drain(..) {
            self.counts[*host][at] -= 1;
            match at == server {
                true => self.hosts[*host].record_response(&at.to_string(), number, now),
                false => self.hosts[*host].record_lost(&at.to_string(), number, now),
            }
        }
    }

    fn time_left(&self, call: usize) -> Duration {
        let age =
            Duration::from_secs_f64((self.now_ms - self.calls[call].arrived_ms).max(0.0) / 1e3);
        Duration::from_millis(self.load.objective_ms).saturating_sub(age)
    }

    fn is_far(&self, call: usize, server: usize) -> bool {
        self.calls[call].host / self.load.hosts_per_zone != self.load.server_zones[server]
    }

    fn link_ms(&self, call: usize, server: usize) -> f64 {
        if self.is_far(call, server) {
            FAR_LATENCY_MS
        } else {
            0.3
        }
    }
}
