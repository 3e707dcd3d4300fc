//! An engine that names limits, and hosts with more requests than it takes, in random schedules.

mod host;

use std::{
    net::SocketAddr,
    ops::Range,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    Admission, CellEngine, Demand, LimitChange, LimitStatement, RequestLimit, ReservationId,
};
use fastrand::Rng;

use host::Host;

const ID: &str = "i-0";
const N_HOSTS: usize = 7;
const SLOTS: u32 = 16;
const STEP_MS: u64 = 5;
const RUN_MS: u64 = 40_000;
/// Time after the engine first named a limit from which the bound holds.
const CONTACT_MS: u64 = 3000;
/// Time after which a host that got a response with a limit counts as told.
const TOLD_MS: u64 = 500;
const WINDOW_MS: u64 = 4000;
/// Longest time until a request arrives after it was granted.
const MAX_SEND_MS: u64 = 200;
/// Time after a start in which the other hosts tell a host what they know, before it serves.
const JOIN_MS: u64 = 150;
/// Interval of the reports that the slot beside the engine reads.
const CHECK_MS: u64 = 1000;

/// A request on its way, or at the engine.
struct Sent {
    host: usize,
    begun: u64,
    arrives: u64,
    responds: u64,
    /// What the engine said, once the response is on its way.
    said: Option<(u64, Option<f64>)>,
    reservation: Option<(usize, ReservationId)>,
}

/// A time in which the engine names a limit, and the latest one.
#[derive(Clone, Debug)]
struct Named {
    time: Range<u64>,
    limit: f64,
}

/// The engine, its hosts and the messages on their way.
pub struct World {
    random: Rng,
    start: Instant,
    hosts: Vec<Host>,
    sent: Vec<Sent>,
    started_ms: u64,
    named: Vec<Named>,
    /// The owner of each group in the view of its hosts, and the one that they ask until a time.
    former_owner: (usize, u64),
    arrivals: Vec<(u64, Option<usize>)>,
    next_number: u64,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 7700))
}

impl World {
    pub fn new(seed: u64) -> World {
        let start = Instant::now();
        // The hosts have run for a while.
        let started = start - RequestLimit::WINDOW;
        World {
            random: Rng::with_seed(seed),
            start,
            hosts: (0..N_HOSTS).map(|_| Host::new(0, started)).collect(),
            sent: Vec::new(),
            started_ms: 1,
            named: Vec::new(),
            former_owner: (0, 0),
            arrivals: Vec::new(),
            next_number: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Returns the limit that the engine names now.
    fn present_limit(&self, now: u64) -> Option<f64> {
        self.named.last().filter(|it| it.time.contains(&now)).map(|it| it.limit)
    }

    fn begin_event(&mut self, now: u64) {
        let any = self.random.usize(0..N_HOSTS);
        let later = now + self.random.u64(400..2500);
        match self.random.u8(0..9) {
            0 | 1 => self.name_limit(now),
            2 if self.random.bool() => self.end_limit(now),
            3 => {
                // The engine starts again under its id; hosts read its new entry later.
                self.end_limit(now);
                self.started_ms += 1;
            }
            4 => self.hosts.iter_mut().for_each(|it| it.group = self.random.usize(0..3)),
            5 => self.hosts.iter_mut().enumerate().for_each(|it| it.1.group = it.0),
            6 => self.hosts.iter_mut().for_each(|it| it.group = 0),
            7 => {
                let Host { group, started_ms, .. } = self.hosts[any];
                let new = Host::new(later, self.at(later));
                self.hosts[any] = Host { group, started_ms, stopped: now..later, ..new };
            }
            8 => self.hosts[any].stopped = now..later,
            _ => self.former_owner = (any, later),
        }
    }

    fn name_limit(&mut self, now: u64) {
        let limits = [0.0, 0.1, 0.5, 1.0, 1.3, 2.0, 4.5, 10.0, 60.0];
        let limit = limits[self.random.usize(0..limits.len())];
        match self.named.last_mut().filter(|it| it.time.contains(&now)) {
            Some(named) => named.limit = limit,
            None => {
                self.hosts.iter_mut().for_each(|it| (it.told, it.heard) = (None, Vec::new()));
                self.named.push(Named { time: now..u64::MAX, limit });
            }
        }
    }

    fn end_limit(&mut self, now: u64) {
        if let Some(named) = self.named.last_mut().filter(|it| it.time.contains(&now)) {
            named.time.end = now;
        }
    }

    fn step(&mut self, now: u64) {
        let at = self.at(now);
        for idx in 0..N_HOSTS {
            if self.hosts[idx].stopped.contains(&now) {
                continue;
            }
            self.read(idx, now);
            self.hosts[idx].cell.expire(at);
            if now % 1000 == 0 {
                let own: Vec<LimitStatement> =
                    self.hosts[idx].requests.limits.statements().filter(|it| it.is_own).collect();
                own.into_iter().for_each(|it| self.tell(idx, it, now));
            }
            let started = self.hosts[idx].started;
            if started > 0 && (started..started + JOIN_MS).contains(&now) {
                self.join(idx, now);
            } else if self.random.u8(0..4) == 0 {
                self.send(idx, now);
            }
        }
        self.serve(now);
    }

    /// A host reads what has arrived.
    fn read(&mut self, idx: usize, now: u64) {
        let reads_entry = now % 400 == 0;
        let host = &mut self.hosts[idx];
        if reads_entry {
            host.started_ms = self.started_ms;
        }
        let (arrived, waiting) = host.inbox.drain(..).partition(|it| it.0 <= now);
        host.inbox = waiting;
        let arrived: Vec<(u64, LimitStatement)> = arrived;
        for (_, statement) in arrived {
            host.requests.limits.record(&statement);
        }
    }

    /// A host tells the others of its group; the ages in a message are as old as it is.
    fn tell(&mut self, from: usize, statement: LimitStatement, now: u64) {
        let group = self.hosts[from].group;
        for idx in (0..N_HOSTS).filter(|it| *it != from) {
            if self.hosts[idx].group != group || self.random.u8(0..20) == 0 {
                continue;
            }
            let delay = self.random.u64(1..40);
            let shift = Duration::from_millis(delay);
            let (begun, arrived) = (statement.begun + shift, statement.arrived + shift);
            let told = LimitStatement { begun, arrived, is_own: false, ..statement.clone() };
            self.hosts[idx].inbox.push((now + delay, told));
        }
    }

    /// A host that starts hears what the others of its group know.
    fn join(&mut self, idx: usize, now: u64) {
        let group = self.hosts[idx].group;
        let others = self.hosts.iter().filter(|it| it.group == group && !it.stopped.contains(&now));
        let known: Vec<LimitStatement> =
            others.flat_map(|it| it.requests.limits.statements()).collect();
        known.into_iter().for_each(|it| {
            self.hosts[idx].requests.limits.record(&LimitStatement { is_own: false, ..it });
        });
    }

    /// Returns the owner that a host asks: one of its group, or a former one.
    fn owner(&mut self, idx: usize, now: u64) -> Option<usize> {
        let group = self.hosts[idx].group;
        let is_asked = |it: &usize| self.hosts[*it].group == group;
        let (former, until) = self.former_owner;
        let asks_former = now < until && is_asked(&former) && self.random.bool();
        let owner = if asks_former { former } else { (0..N_HOSTS).find(is_asked)? };
        (!self.hosts[owner].stopped.contains(&now)).then_some(owner)
    }

    /// A host sends a request, if its share and the owner allow it; hedged requests, retries and resumed
    /// streams are sent in the same way.
    fn send(&mut self, idx: usize, now: u64) {
        let at = self.at(now);
        if !self.hosts[idx].may_send(idx, at) {
            return;
        }
        self.next_number += 1;
        let id = ReservationId { holder: address(idx), number: self.next_number };
        let owner = self.owner(idx, now);
        if let Some(owner) = owner {
            let owner = &mut self.hosts[owner];
            let engine = CellEngine {
                id: ID.to_owned(),
                slots: SLOTS,
                is_on_probation: false,
                rate_limit: None,
                request_limit: owner.limit(at),
            };
            let demand = Demand { prompt_tokens: 1, ..Demand::default() };
            let engines = |_: &Demand| vec![engine.clone()];
            let decision = owner.cell.request(id, demand, &engines, at);
            if !matches!(decision, Some(Admission::Granted { .. })) {
                owner.cell.release(&id, at);
                return;
            }
            // A holder that no longer wants the grant gives it back.
            if self.random.u8(0..20) == 0 {
                owner.cell.cancel(&id);
                return;
            }
        }
        self.hosts[idx].requests.sent.record(ID, at);
        let arrives = now + self.random.u64(0..MAX_SEND_MS);
        let responds = arrives + self.random.u64(20..300);
        let reservation = owner.map(|it| (it, id));
        self.sent.push(Sent { host: idx, begun: now, arrives, responds, said: None, reservation });
    }

    /// The engine takes and answers requests; responses take up to half a second.
    fn serve(&mut self, now: u64) {
        if now % CHECK_MS == 0 {
            self.arrivals.push((now, None));
        }
        for mut sent in std::mem::take(&mut self.sent) {
            if (now..now + STEP_MS).contains(&sent.arrives) {
                self.arrivals.push((now, Some(sent.host)));
            }
            if sent.said.is_none() && now >= sent.responds {
                let delay = match self.random.u8(0..10) {
                    0 => self.random.u64(100..500),
                    _ => self.random.u64(1..10),
                };
                sent.said = Some((now + delay, self.present_limit(now)));
            }
            match sent.said.filter(|it| it.0 <= now) {
                Some((_, limit)) => self.respond(&sent, limit, now),
                None => self.sent.push(sent),
            }
        }
    }

    fn respond(&mut self, sent: &Sent, limit: Option<f64>, now: u64) {
        let (begun, at) = (self.at(sent.begun), self.at(now));
        if let Some((owner, id)) = &sent.reservation {
            self.hosts[*owner].cell.release(id, at);
        }
        let host = &mut self.hosts[sent.host];
        if host.stopped.contains(&now) {
            return;
        }
        if let Some(limit) = limit {
            host.told = host.told.or(Some(now));
            host.heard.push((now, limit));
        }
        let statement = LimitStatement {
            backend: ID.to_owned(),
            started_ms: host.started_ms,
            latest_start_ms: self.started_ms,
            limit: limit.and_then(RequestLimit::per_second),
            begun,
            arrived: at,
            is_own: true,
        };
        if host.requests.limits.record(&statement) != LimitChange::Unchanged {
            let newest = host.requests.limits.statement(ID).unwrap();
            self.tell(sent.host, newest.clone(), now);
            self.tell(sent.host, newest, now);
        }
    }

    /// Checks the window that ends now, and returns the number of requests in it.
    fn check(&self, now: u64, case: &str) -> usize {
        let Some(named) = self.named.last().filter(|it| it.time.contains(&now)) else { return 0 };
        if now < named.time.start + CONTACT_MS {
            return 0;
        }
        let from = now - WINDOW_MS;
        // Hosts that have not heard of another limit yet go by the one before.
        let heard = self.hosts.iter().map(|it| it.greatest_heard(from - TOLD_MS));
        let limit = heard.fold(0.0, f64::max);
        // What a host sent before it was told depends on the load alone.
        let is_told = |host: usize, arrived: u64| {
            self.hosts[host].told.is_some_and(|it| it + TOLD_MS <= arrived)
        };
        let counts =
            |it: &&(u64, Option<usize>)| it.0 > from && it.1.is_none_or(|host| is_told(host, it.0));
        let n_requests = self.arrivals.iter().rev().take(2000).filter(counts).count();
        let allowed = 1.5 * limit * WINDOW_MS as f64 / 1000.0 + 5.0;
        assert!(
            n_requests as f64 <= allowed,
            "{case}: {n_requests} requests until {now}, {allowed} are allowed"
        );
        n_requests
    }

    /// Plays all events; returns the most requests in a window, and fails if they are too many.
    pub fn run(mut self, case: &str) -> usize {
        let mut next_event = 2000;
        let mut most = 0;
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            if now >= next_event {
                self.begin_event(now);
                next_event = now + self.random.u64(200..2500);
            }
            self.step(now);
            if now % 50 == 0 {
                most = most.max(self.check(now, case));
            }
        }
        most
    }
}
