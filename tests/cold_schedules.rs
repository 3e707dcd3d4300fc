//! A server that gets cold again and again, under more requests than it bears, in random schedules: no
//! second brings more than the outer bound, summed over all hosts.

mod cold_pool;

use std::{collections::BTreeSet, net::SocketAddr, ops::Range, time::Instant};

use cold_pool::{address, cold_servers, ms, server, COLD_MS, SLOTS};
use crocustiller::{
    placement::{
        Admission, AdmissionCell, BackendHealth, CellEngine, ColdServers, Demand, EntryShare,
        ReservationId,
    },
    routing::BackendServer,
};
use fastrand::Rng;

const ID: &str = "i-0";
const N_HOSTS: usize = 4;
const STEP_MS: u64 = 5;
const RUN_MS: u64 = 30_000;
/// Time until all hosts have read a new entry.
const MAX_LAG_MS: u64 = 950;
/// Time until a granted request arrives at its server.
const MAX_SEND_MS: u64 = 200;
/// Requests in one second beyond which the server crashes.
const MAX_PER_SECOND: usize = 30;

const NEVER: Range<u64> = u64::MAX..u64::MAX;

/// An entry host as its events left it. All times are milliseconds since the start of the run.
struct Host {
    address: SocketAddr,
    cold: ColdServers,
    cell: AdmissionCell,
    health: BackendHealth,
    entry: BackendServer,
    /// Entries on their way, with the times at which they are read.
    inbox: Vec<(u64, BackendServer)>,
    owns: Range<u64>,
    suspended: Range<u64>,
    evacuated: Range<u64>,
    /// Time until which its request without an owner is in progress.
    unowned_until: u64,
}

/// A request on its way, or at the server.
struct Sent {
    host: usize,
    id: Option<ReservationId>,
    started_ms: u64,
    arrives: u64,
    ends: u64,
}

struct World {
    random: Rng,
    start: Instant,
    hosts: Vec<Host>,
    sent: Vec<Sent>,
    /// The start of the server, its dark time, and the times in which its requests are counted.
    started_ms: u64,
    dark: Range<u64>,
    cold: Vec<Range<u64>>,
    next_owner_event: u64,
    arrivals: Vec<u64>,
}

fn entry(started_ms: u64, cold_left_ms: u64) -> BackendServer {
    server(ID, "pool", started_ms, ms(cold_left_ms))
}

/// Returns `true` in the first step from that time on.
fn is_due(time: u64, now: u64) -> bool {
    now.checked_sub(time).is_some_and(|it| it < STEP_MS)
}

impl World {
    fn new(seed: u64) -> World {
        let start = Instant::now();
        let host = |number: usize| {
            let mut cold = cold_servers();
            cold.update_servers([&entry(1, 0)].into_iter(), &BTreeSet::new(), start);
            Host {
                address: address(number as u16),
                cold,
                cell: AdmissionCell::default(),
                health: BackendHealth::default(),
                entry: entry(1, 0),
                inbox: Vec::new(),
                owns: 0..if number == 0 { u64::MAX } else { 0 },
                suspended: NEVER,
                evacuated: NEVER,
                unowned_until: 0,
            }
        };
        World {
            random: Rng::with_seed(seed),
            start,
            hosts: (0..N_HOSTS).map(host).collect(),
            sent: Vec::new(),
            started_ms: 1,
            dark: 0..0,
            cold: Vec::new(),
            next_owner_event: 0,
            arrivals: Vec::new(),
        }
    }

    fn at(&self, ms_after: u64) -> Instant {
        self.start + ms(ms_after)
    }

    /// The server writes its entry; each host reads it later, in order, some twice.
    fn write_entry(&mut self, now: u64) {
        let cold_until = self.cold.iter().map(|it| it.end).max().unwrap_or(0);
        let entry = entry(self.started_ms, cold_until.saturating_sub(now));
        for host in &mut self.hosts {
            for _ in 0..self.random.usize(1..3) {
                let lag = self.random.u64(0..MAX_LAG_MS);
                let earlier = host.inbox.last().map_or(0, |it| it.0);
                host.inbox.push((earlier.max(now + lag), entry.clone()));
            }
        }
    }

    fn change_owner(&mut self, now: u64, begins: u64, ends: u64) {
        let new = self.random.usize(0..N_HOSTS);
        for host in self.hosts.iter_mut().filter(|it| it.owns.contains(&now)) {
            host.owns.end = ends;
        }
        let owns = &mut self.hosts[new].owns;
        *owns = if owns.contains(&now) { owns.start } else { begins }..u64::MAX;
        self.next_owner_event = ends + 1000;
    }

    fn begin_event(&mut self, now: u64) {
        let mut cold_from = |from| self.cold.push(from..from + COLD_MS);
        match self.random.u8(0..6) {
            0 => {
                self.dark = now..now + self.random.u64(200..1000);
                cold_from(self.dark.end);
                self.started_ms += 1;
            }
            1 => {
                self.dark = now..now + self.random.u64(500..2500);
                cold_from(self.dark.end);
            }
            2 if self.hosts.iter().all(|it| it.evacuated == NEVER || it.evacuated.end < now) => {
                cold_from(now + 2950);
                for host in &mut self.hosts {
                    let mut lag = || self.random.u64(0..MAX_LAG_MS);
                    host.evacuated = now + lag()..now + 3000 + lag();
                }
            }
            3 if now >= self.next_owner_event => {
                let (begins, ends) = (self.random.u64(0..200), self.random.u64(800..1200));
                self.change_owner(now, now + begins, now + ends);
            }
            4 if now >= self.next_owner_event => {
                let resumes = now + self.random.u64(1200..3000);
                let is_replaced = self.random.bool();
                cold_from(if is_replaced { now + 300 } else { resumes - 50 });
                for host in self.hosts.iter_mut().filter(|it| it.owns.contains(&now)) {
                    host.suspended = now..resumes;
                }
                let ends = resumes + self.random.u64(0..1000);
                match is_replaced {
                    true => self.change_owner(now, now + 500, ends),
                    false => self.next_owner_event = ends,
                }
            }
            // Nothing but its entry tells of it, so its requests count once all have read that.
            5 => {
                self.cold.push(now + MAX_LAG_MS + MAX_SEND_MS..now + COLD_MS);
                self.write_entry(now);
            }
            _ => {}
        }
    }

    fn step(&mut self, now: u64) {
        let at = self.at(now);
        for idx in 0..N_HOSTS {
            let host = &mut self.hosts[idx];
            if host.suspended.contains(&now) {
                continue;
            }
            if is_due(host.suspended.end, now) {
                host.cold.note_suspended(at);
            }
            if is_due(host.evacuated.end, now) {
                host.cold.note_zone_returned(&"z1".to_owned(), at);
            }
            if is_due(host.owns.start, now) {
                host.cold.note_owned(&[ID.to_owned()], at);
            }
            while host.inbox.first().is_some_and(|it| it.0 <= now) {
                host.entry = host.inbox.remove(0).1;
                let renewed = BTreeSet::from([ID.to_owned()]);
                host.cold.update_servers([&host.entry].into_iter(), &renewed, at);
            }
            host.cell.expire(at);
            if host.evacuated.contains(&now) {
                continue;
            }
            if host.owns.contains(&now) {
                self.admit(idx, now);
            } else if self.random.u8(0..10) == 0 {
                self.send_without_owner(idx, now);
            }
        }
        self.serve(now);
    }

    fn admit(&mut self, idx: usize, now: u64) {
        let at = self.at(now);
        let host = &mut self.hosts[idx];
        let is_on_probation = !host.health.is_usable(ID, 1, at);
        host.cold.note_probations(&[&host.entry], &host.health, at);
        let rate_limit = host.cold.owner_limit(ID, at);
        let engine = CellEngine {
            id: ID.to_owned(),
            slots: SLOTS,
            is_on_probation,
            rate_limit,
            request_limit: None,
        };
        let is_usable = host.health.is_usable(ID, 0, at);
        let engines = |_: &Demand| match is_usable {
            true => vec![engine.clone()],
            false => Vec::new(),
        };
        let wait = ms(self.random.u64(0..50));
        let demand = Demand { prompt_tokens: 1, wait, ..Demand::default() };
        let id = ReservationId { holder: host.address, number: now };
        let decision = host.cell.request(id, demand.clone(), &engines, at).map(|it| (id, it));
        if self.random.bool() {
            host.cell.request(id, demand, &engines, at);
        }
        let mut granted: Vec<(ReservationId, Admission)> = decision.into_iter().collect();
        granted.extend(host.cell.decide_waiting(&engines, at));
        let started_ms = host.entry.started_ms;
        for (id, _) in granted.iter().filter(|it| matches!(it.1, Admission::Granted { .. })) {
            // A holder that no longer wants the grant gives it back.
            if self.random.u8(0..20) == 0 {
                self.hosts[idx].cell.cancel(id);
                continue;
            }
            let arrives = now + self.random.u64(0..MAX_SEND_MS);
            let ends = arrives + self.random.u64(20..300);
            self.sent.push(Sent { host: idx, id: Some(*id), started_ms, arrives, ends });
        }
    }

    fn send_without_owner(&mut self, idx: usize, now: u64) {
        let at = self.at(now);
        let addresses: Vec<SocketAddr> = self.hosts.iter().map(|it| it.address).collect();
        let host = &mut self.hosts[idx];
        if now < host.unowned_until {
            return;
        }
        host.cold.note_probations(&[&host.entry], &host.health, at);
        let share = || EntryShare { own: host.address, others: addresses.clone() };
        let mut servers = vec![&host.entry];
        host.cold.retain_unowned(&mut servers, share, at);
        if servers.is_empty() || !host.health.is_usable(ID, 0, at) {
            return;
        }
        host.cold.record_own(ID, share, at);
        host.unowned_until = now + self.random.u64(300..1000);
        let (arrives, ends) = (now, host.unowned_until);
        self.sent.push(Sent {
            host: idx,
            id: None,
            started_ms: host.entry.started_ms,
            arrives,
            ends,
        });
    }

    /// The server takes, fails and answers requests.
    fn serve(&mut self, now: u64) {
        let at = self.at(now);
        let is_cold = self.cold.iter().any(|it| it.contains(&now));
        for sent in std::mem::take(&mut self.sent) {
            let is_arriving = is_due(sent.arrives, now);
            let is_dark = now >= sent.arrives && self.dark.contains(&now);
            // An engine refuses what is meant for an earlier start of it.
            let is_refused = is_arriving && sent.started_ms != self.started_ms;
            if is_arriving && is_cold && !is_dark && !is_refused {
                self.arrivals.push(now);
            }
            let health = &mut self.hosts[sent.host].health;
            if is_dark {
                health.record_failure(ID, at);
            } else if now >= sent.ends {
                health.record_success(ID);
            } else if !is_refused {
                self.sent.push(sent);
                continue;
            }
            // A lost message leaves the reservation to its lease.
            if let Some(id) = sent.id.filter(|_| self.random.u8(0..10) > 0) {
                self.hosts[sent.host].cell.release(&id, at);
            }
        }
    }

    fn run(mut self) -> Vec<u64> {
        let mut next_event = 4000;
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            if now >= next_event {
                self.begin_event(now);
                next_event = now + self.random.u64(300..2000);
            }
            if now % 1000 == 0 && !self.dark.contains(&now) {
                self.write_entry(now);
            }
            self.step(now);
        }
        self.arrivals
    }
}

/// Late entries, two owners at once, a suspended owner, hosts without an owner, restarts, dark times,
/// evacuations: in each of them, a host that went by what it knew would fill all free slots of a cold
/// server at once.
#[test]
fn bound_of_all_hosts() {
    let mut n_arrivals = 0;
    for seed in 0..100 {
        let arrivals = World::new(seed).run();
        n_arrivals += arrivals.len();
        for window in arrivals.windows(MAX_PER_SECOND + 1) {
            let (first, last) = (window[0], window[MAX_PER_SECOND]);
            assert!(last - first >= 1000, "seed {seed}: too many from {first} to {last}");
        }
    }
    assert!(n_arrivals > 100 * 50, "cold servers get requests: {n_arrivals}");
}
