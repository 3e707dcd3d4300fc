//! An emulated pool of engines with several entry hosts, of which each decides on crashing parts.

mod attempt;
mod day;
mod event;
mod misses;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::{Duration, Instant},
};

use crocustiller::placement::{CrashingParts, PartCrash, PartDigest, QuarantinedPart};
use fastrand::Rng;

use attempt::Attempt;
use event::Event;

pub(crate) use day::Day;

/// Time after the fifth crash by which every host must know.
const CONTACT_MS: u64 = 3000;
/// Requests that may still reach engines after that.
const MAX_LATE_REQUESTS: usize = 3;
pub(crate) const BAD: PartDigest = 1;
pub(crate) const OTHER_BAD: PartDigest = 2;
pub(crate) const COMPANION: PartDigest = 3;
const N_KINDS: u64 = 3;
const N_CUSTOMERS: u64 = 10;
const N_TOPICS: u64 = 400;
const HOSTS_OF_ZONE: usize = 50;
const BEACON_MS: u64 = 400;
const DECISION_MS: u64 = 100;
const EVENTS_APART_MS: u64 = 300;
/// How often, and how long each time, a request waits for its turn until it is refused.
const MAX_WAITS: u32 = 3;
const WAIT_MS: u64 = 20;
/// Time after a start with a suspected part failed until the owner lets the next one begin.
const START_PAUSE_MS: u64 = 150;

pub(crate) struct Pool {
    day: Day,
    random: Rng,
    start: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    n_events: u64,
    hosts: Vec<CrashingParts>,
    /// The number of starts of each engine, and whether it is up.
    engines: Vec<(u32, bool)>,
    attempts: BTreeMap<u64, Attempt>,
    /// When the last start with each part failed, and the host that had sent it.
    failed_starts: BTreeMap<PartDigest, (u64, usize)>,
    /// When requests with a bad part were sent, and when they crashed engines.
    bad_sent: BTreeMap<PartDigest, Vec<u64>>,
    pub(crate) bad_crashes: BTreeMap<PartDigest, Vec<u64>>,
    /// When each host first refused a part.
    pub(crate) refused: BTreeMap<(PartDigest, usize), u64>,
}

impl Pool {
    pub(crate) fn play(day: &Day, seed: u64) -> Pool {
        let mut pool = Pool {
            day: day.clone(),
            random: Rng::with_seed(seed),
            start: Instant::now(),
            now: 0,
            events: BinaryHeap::new(),
            n_events: 0,
            hosts: vec![CrashingParts::default(); day.n_hosts],
            engines: vec![(0, true); day.n_engines],
            attempts: BTreeMap::new(),
            failed_starts: BTreeMap::new(),
            bad_sent: BTreeMap::new(),
            bad_crashes: BTreeMap::new(),
            refused: BTreeMap::new(),
        };
        pool.schedule(0, Event::SoundArrives);
        if day.bad_per_s > 0.0 {
            pool.schedule(500, Event::BadArrives);
        }
        for host in 0..day.n_hosts {
            let first = pool.random.u64(0..BEACON_MS);
            pool.schedule(first, Event::Beacon(host));
            pool.schedule(first % DECISION_MS, Event::Decides(host));
        }
        for (at, engines) in &day.crashes {
            engines.iter().for_each(|it| pool.schedule(*at, Event::Crash(*it)));
        }
        if let Some(at) = day.restart_ms {
            pool.schedule(at, Event::HostRestarts(0));
        }
        while let Some(Reverse((at, _, event))) = pool.events.pop() {
            if at > day.end_ms {
                break;
            }
            pool.now = at;
            pool.handle(event);
        }
        pool
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.n_events += 1;
        self.events.push(Reverse((self.now + after_ms, self.n_events, event)));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn gap_ms(&mut self, per_s: f64) -> u64 {
        (-(1.0 - self.random.f64()).ln() / per_s * 1000.0) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundArrives => {
                let parts = self.sound_parts();
                self.arrive(parts);
                let gap = self.gap_ms(self.day.sound_per_s);
                self.schedule(gap, Event::SoundArrives);
            }
            Event::BadArrives => {
                let mut parts = self.sound_parts();
                let bad = self.random.choice(&self.day.bad_parts).cloned().unwrap_or_default();
                let place = self.day.bad_place;
                parts.splice(place..place, bad);
                self.arrive(parts);
                let gap = self.gap_ms(self.day.bad_per_s);
                self.schedule(gap, Event::BadArrives);
            }
            Event::Begins(id) => self.begin(id),
            Event::GoesOn(id) => {
                let Some(attempt) = self.attempts.get_mut(&id) else { return };
                attempt.is_starting = false;
                self.clear(id);
            }
            Event::Ends(id) => {
                self.clear(id);
                self.attempts.remove(&id);
            }
            Event::Retries { host, parts, request, n_before, n_waits } => {
                self.send_attempt(host, parts, request, n_before, n_waits);
            }
            Event::Restarts(engine) => {
                self.engines[engine].0 += 1;
                self.engines[engine].1 = true;
            }
            Event::Crash(engine) => self.crash(engine),
            Event::CrashSeen { host, engine, parts, request, sent } => {
                let sent_ago = self.now - sent;
                self.record_crash(host, &engine, &parts, request, sent_ago);
                for to in (0..self.day.n_hosts).filter(|it| *it != host) {
                    let (engine, parts) = (engine.clone(), parts.clone());
                    self.send(
                        host,
                        to,
                        Event::CrashHeard { host: to, engine, parts, request, sent_ago },
                    );
                }
            }
            Event::CrashHeard { host, engine, parts, request, sent_ago } => {
                self.record_crash(host, &engine, &parts, request, sent_ago);
            }
            Event::ClearingHeard { host, parts } => {
                let now = self.instant();
                self.hosts[host].clear(&parts, now);
            }
            Event::Decides(host) => {
                let now = self.instant();
                let quarantined = self.hosts[host].decide(now);
                self.note_refused(host, &quarantined);
                self.schedule(DECISION_MS, Event::Decides(host));
            }
            Event::Beacon(host) => self.send_beacon(host),
            Event::HostRestarts(host) => {
                self.hosts[host] = CrashingParts::default();
                self.refused.retain(|it, _| it.1 != host);
            }
        }
    }

    fn sound_parts(&mut self) -> Vec<PartDigest> {
        // Most topics are rare.
        let topic = (self.random.f64().powi(3) * N_TOPICS as f64) as u64;
        let kind = self.random.u64(0..N_KINDS);
        vec![100 + kind, 200 + self.random.u64(0..N_CUSTOMERS), 1000 + topic]
    }

    fn arrive(&mut self, parts: Vec<PartDigest>) {
        let host = self.random.usize(0..self.day.n_hosts);
        self.send_attempt(host, parts, self.n_events, 0, 0);
    }

    fn send_attempt(
        &mut self,
        host: usize,
        parts: Vec<PartDigest>,
        request: u64,
        n_before: u32,
        n_waits: u32,
    ) {
        if self.hosts[host].find_quarantined(&parts, self.instant()).is_some() {
            return;
        }
        if self.day.begins_in_turn && self.must_wait_for_turn(host, &parts) {
            if n_waits < MAX_WAITS {
                let retry = Event::Retries { host, parts, request, n_before, n_waits: n_waits + 1 };
                self.schedule(WAIT_MS, retry);
            }
            return;
        }
        let split_at = self.day.split_at;
        let is_near = |it: usize| {
            self.now >= self.day.joined_ms
                || (host < split_at) == (it * self.day.n_hosts < split_at * self.day.n_engines)
        };
        let is_usable = |it: &usize| self.engines[*it].1 && is_near(*it);
        let up: Vec<usize> = (0..self.engines.len()).filter(is_usable).collect();
        let Some(engine) = self.random.choice(up) else { return };
        for part in bad_of(&parts) {
            self.bad_sent.entry(part).or_default().push(self.now);
        }
        let id = self.n_events;
        let sent = self.now;
        let attempt = Attempt { host, engine, parts, request, sent, is_starting: true, n_before };
        self.attempts.insert(id, attempt);
        let until_first_event = self.random.u64(40..600);
        self.schedule(until_first_event, Event::Begins(id));
    }

    /// Returns `true` if a host that this one hears has a request with a suspected part, of which
    /// no event has come yet, or which crashed just now.
    fn must_wait_for_turn(&self, host: usize, parts: &[PartDigest]) -> bool {
        let suspected = self.hosts[host].parts_to_start_in_turn(parts, self.instant());
        if suspected.is_empty() {
            return false;
        }
        let (is_joined, split_at) = (self.now >= self.day.joined_ms, self.day.split_at);
        let is_heard = |it: usize| is_joined || (host < split_at) == (it < split_at);
        let has_failed = |it: &PartDigest| {
            let failed = self.failed_starts.get(it);
            failed.is_some_and(|(at, host)| at + START_PAUSE_MS > self.now && is_heard(*host))
        };
        if suspected.iter().any(has_failed) {
            return true;
        }
        let has_part = |it: &Attempt| it.parts.iter().any(|part| suspected.contains(part));
        self.attempts.values().any(|it| it.is_starting && is_heard(it.host) && has_part(it))
    }

    fn begin(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let bad = bad_of(&attempt.parts);
        if bad.is_empty() {
            let written_ms = self.random.u64(200..2500);
            if written_ms > EVENTS_APART_MS {
                self.schedule(EVENTS_APART_MS, Event::GoesOn(id));
            }
            self.schedule(written_ms, Event::Ends(id));
            return;
        }
        let engine = attempt.engine;
        for part in bad {
            self.bad_crashes.entry(part).or_default().push(self.now);
        }
        self.crash(engine);
    }

    fn crash(&mut self, engine: usize) {
        if !self.engines[engine].1 {
            return;
        }
        self.engines[engine].1 = false;
        let restart_ms = self.random.u64(2000..5000);
        self.schedule(restart_ms, Event::Restarts(engine));
        let name = format!("i-{engine}-{}", self.engines[engine].0);
        let ids: Vec<u64> =
            self.attempts.iter().filter(|it| it.1.engine == engine).map(|it| *it.0).collect();
        for id in ids {
            let Some(attempt) = self.attempts.remove(&id) else { continue };
            let Attempt { host, parts, request, sent, is_starting, n_before, .. } = attempt;
            let seen_after = self.random.u64(1..20);
            if is_starting {
                let failed = (self.now + seen_after, host);
                self.failed_starts.extend(parts.iter().map(|it| (*it, failed)));
                let (engine, parts) = (name.clone(), parts.clone());
                self.schedule(seen_after, Event::CrashSeen { host, engine, parts, request, sent });
            }
            if n_before < 2 {
                let n_before = n_before + 1;
                let retry = Event::Retries { host, parts, request, n_before, n_waits: 0 };
                self.schedule(seen_after + 2, retry);
            }
        }
    }

    fn record_crash(
        &mut self,
        host: usize,
        engine: &str,
        parts: &[PartDigest],
        request: u64,
        sent_ago: u64,
    ) {
        let engine = engine.to_owned();
        let crash =
            PartCrash { parts: parts.to_vec(), request, engine, sent_ago_ms: sent_ago as u32 };
        let now = self.instant();
        self.hosts[host].record_crash(&crash, now);
    }

    fn note_refused(&mut self, host: usize, quarantined: &[QuarantinedPart]) {
        for it in quarantined {
            self.refused.entry((it.part, host)).or_insert(self.now);
        }
    }

    fn clear(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (host, parts) = (attempt.host, attempt.parts.clone());
        let now = self.instant();
        let parts = self.hosts[host].clear(&parts, now);
        if parts.is_empty() {
            return;
        }
        for to in (0..self.day.n_hosts).filter(|it| *it != host) {
            let parts = parts.clone();
            self.send(host, to, Event::ClearingHeard { host: to, parts });
        }
    }

    /// Sends a datagram, which may be late, lost or doubled.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let split_at = self.day.split_at;
        let is_cut = self.now < self.day.joined_ms && (from < split_at) != (to < split_at);
        // Reports of crashes are sent twice.
        let n_copies = if matches!(event, Event::CrashHeard { .. }) { 2 } else { 1 };
        if is_cut || self.random.f64() < self.day.loss.powi(n_copies) {
            return;
        }
        if self.random.u8(0..50) == 0 {
            let delay = self.random.u64(1..90);
            self.schedule(delay, event.clone());
        }
        let is_late = self.random.u8(0..20) == 0;
        let delay = if is_late { self.random.u64(10..90) } else { self.random.u64(1..6) };
        self.schedule(delay, event);
    }

    /// Beacons reach the own zone; those of four hosts of each zone reach all zones.
    fn send_beacon(&mut self, host: usize) {
        let now = self.instant();
        let reported = self.hosts[host].quarantined(now);
        let zone = |it: usize| it / HOSTS_OF_ZONE;
        let is_for_all = host % HOSTS_OF_ZONE < 4;
        let split_at = self.day.split_at;
        for to in (0..self.day.n_hosts).filter(|_| !reported.is_empty()) {
            let is_cut = self.now < self.day.joined_ms && (host < split_at) != (to < split_at);
            let is_sent = to != host && !is_cut && (zone(host) == zone(to) || is_for_all);
            if is_sent && self.random.f64() >= self.day.loss {
                let new = self.hosts[to].merge(&reported, now);
                self.note_refused(to, &new);
            }
        }
        self.schedule(BEACON_MS, Event::Beacon(host));
    }

    pub(crate) fn quarantined(&self) -> BTreeSet<PartDigest> {
        self.refused.keys().map(|it| it.0).collect()
    }
}

fn bad_of(parts: &[PartDigest]) -> Vec<PartDigest> {
    parts.iter().copied().filter(|it| [BAD, OTHER_BAD].contains(it)).collect()
}
