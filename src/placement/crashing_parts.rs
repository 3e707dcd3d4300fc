//! Detects parts of prompts that crash engines.
//!
//! An engine has several requests at once, each with several parts, so one crash proves nothing. A
//! part is quarantined if crashes on it follow one after the other at distinct engines while no
//! engine has written an answer on it. Crashes of requests that were in progress together form one
//! generation, since one cause may explain them all; the next one opens with a request that was sent
//! later. Crashes that a quarantined part explains no longer count against other parts.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{
        part_quarantine::PartQuarantine, part_suspect::PartSuspect, PartCrash, PartDigest,
        QuarantinedPart,
    },
};

/// Generations of crashes, one after the other, from which a part is quarantined.
const MIN_GENERATIONS: u32 = 3;
/// The same while most engines crash without the part, or another part may explain its crashes.
const MIN_GENERATIONS_IN_DOUBT: u32 = 5;
/// The same for a part whose quarantine has ended.
const MIN_GENERATIONS_AGAIN: u32 = 1;
/// Distinct requests that are needed, as one that is repeated says nothing on which part is bad.
const MIN_REQUESTS: usize = 2;
/// A part is in doubt if fewer than one in this many of the crashed engines crashed on it.
const MIN_SHARE_DIVISOR: usize = 3;
/// Crashes that no stronger suspect explains. One may only seem so, as a report can be lost.
const MIN_OWN_CRASHES: usize = 2;
/// Time for the reports of one crash to arrive, so that all of its suspects can be compared.
const SETTLING_TIME: Duration = Duration::from_millis(100);
/// Time after the last crash for which a part is suspected.
const SUSPICION_TIME: Duration = Duration::from_secs(60);
/// Minimum number of engines that crashed on a part before its requests start in turn. Most parts with
/// a single crash are sound.
const MIN_ENGINES_FOR_TURNS: usize = 2;
/// Time after the last crash for which requests with a part start in turn.
const TURNS_TIME: Duration = Duration::from_secs(5);
/// Interval at which the clearing of a part is reported again, in case a message was lost.
const CLEARING_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of parts of a request that are regarded.
pub const MAX_PARTS: usize = 8;
/// Maximum number of parts that are suspected at a time.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of quarantines that are in force or remembered.
const MAX_QUARANTINES: usize = 256;
/// Maximum number of quarantined parts in a beacon.
const MAX_REPORTED: usize = 32;
/// Maximum number of engines that are remembered as crashed.
const MAX_CRASHES: usize = 256;

/// The parts of prompts that this host suspects of crashing engines, and those in quarantine.
#[derive(Clone, Debug, Default)]
pub struct CrashingParts {
    suspects: HashMap<PartDigest, PartSuspect>,
    quarantines: HashMap<PartDigest, PartQuarantine>,
    crashes: VecDeque<RecentCrash>,
}

#[derive(Clone, Debug)]
struct RecentCrash {
    engine: BackendId,
    recorded: Instant,
    is_explained: bool,
}

impl CrashingParts {
    /// Records a crash as evidence against the parts of its request.
    pub fn record_crash(&mut self, crash: &PartCrash, now: Instant) {
        self.forget_old(now);
        let parts = first_parts(&crash.parts);
        if self.find_quarantined(parts, now).is_some() {
            self.explain(&crash.engine, now);
            return;
        }
        if self.recent_crash(&crash.engine, now).is_explained {
            return;
        }
        for part in parts {
            self.suspect(*part, now).record_crash(crash, now);
        }
    }

    /// Quarantines the parts against which there is enough evidence, and returns them.
    ///
    /// It is called regularly, as evidence counts only after the reports of one crash have arrived.
    pub fn decide(&mut self, now: Instant) -> Vec<QuarantinedPart> {
        let mut quarantined = Vec::new();
        loop {
            let crashing = self.find_crashing(now);
            if crashing.is_empty() {
                return quarantined;
            }
            quarantined.extend(crashing.into_iter().map(|it| self.quarantine(it, now)));
        }
    }

    /// Clears parts on which an engine has written an answer; returns those to report to the other
    /// hosts.
    ///
    /// A quarantine in force stays, since an answer that began before it may end during it.
    pub fn clear(&mut self, parts: &[PartDigest], now: Instant) -> Vec<PartDigest> {
        if self.suspects.is_empty() && self.quarantines.is_empty() {
            return Vec::new();
        }
        let parts = first_parts(parts).iter().copied();
        parts.filter(|it| self.clear_part(*it, now)).collect()
    }

    /// Returns the parts of a request that may begin at one engine at a time only: engines crashed on
    /// them lately, and none has written an answer.
    pub fn parts_to_start_in_turn(&self, parts: &[PartDigest], now: Instant) -> Vec<PartDigest> {
        let is_suspected = |it: &PartSuspect| {
            it.engines().count() >= MIN_ENGINES_FOR_TURNS
                && it.last_clearing().is_none()
                && now.duration_since(it.last_crash()) < TURNS_TIME
        };
        let parts = first_parts(parts).iter();
        parts.filter(|it| self.suspects.get(it).is_some_and(is_suspected)).copied().collect()
    }

    /// Returns the part for which a request with these parts is refused.
    pub fn find_quarantined(&self, parts: &[PartDigest], now: Instant) -> Option<QuarantinedPart> {
        let in_force =
            |part| Some((part, self.quarantines.get(part)?)).filter(|it| it.1.is_in_force(now));
        let (part, quarantine) = first_parts(parts).iter().find_map(in_force)?;
        Some(quarantine.report(*part, now))
    }

    /// Returns the parts in quarantine for a beacon, the most recent first.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedPart> {
        let in_force = self.quarantines.iter().filter(|it| it.1.is_in_force(now));
        let mut reports: Vec<QuarantinedPart> =
            in_force.map(|(part, it)| it.report(*part, now)).collect();
        reports.sort_by_key(|it| (it.age_ms, it.part));
        reports.truncate(MAX_REPORTED);
        reports
    }

    /// Adds what another host reports; returns what is new here.
    pub fn merge(&mut self, reported: &[QuarantinedPart], now: Instant) -> Vec<QuarantinedPart> {
        let mut new = Vec::new();
        for report in reported.iter().take(MAX_REPORTED) {
            let Some(quarantine) = PartQuarantine::from_report(report, now) else { continue };
            let was_in_force = self.is_in_force(report.part, now);
            match self.quarantines.get_mut(&report.part) {
                Some(known) => known.merge(quarantine),
                None => self.insert_quarantine(report.part, quarantine),
            }
            if !was_in_force && self.is_in_force(report.part, now) {
                self.explain_crashes_of(report.part, now);
                new.push(report.clone());
            }
        }
        new
    }

    fn is_in_force(&self, part: PartDigest, now: Instant) -> bool {
        self.quarantines.get(&part).is_some_and(|it| it.is_in_force(now))
    }

    /// Returns `true` if the clearing should be reported to the other hosts.
    fn clear_part(&mut self, part: PartDigest, now: Instant) -> bool {
        if self.is_in_force(part, now) {
            return false;
        }
        let had_quarantine = self.quarantines.remove(&part).is_some();
        let Some(suspect) = self.suspects.get_mut(&part) else { return had_quarantine };
        let is_reported =
            suspect.last_clearing().is_some_and(|it| now.duration_since(it) < CLEARING_INTERVAL);
        if is_reported && suspect.n_generations() == 0 {
            return had_quarantine;
        }
        suspect.clear(now);
        true
    }

    /// Returns the entry of a suspect; the least suspect one makes room for a new one.
    fn suspect(&mut self, part: PartDigest, now: Instant) -> &mut PartSuspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            let rank = |it: &PartSuspect| (it.n_generations(), it.last_crash());
            let least = self.suspects.iter().min_by_key(|it| rank(it.1)).map(|it| *it.0);
            least.map(|it| self.suspects.remove(&it));
        }
        self.suspects.entry(part).or_insert_with(|| PartSuspect::new(now))
    }

    /// Returns the part with the most evidence if it is enough, and all that are inseparable from
    /// it.
    fn find_crashing(&self, now: Instant) -> Vec<PartDigest> {
        let rank = |(part, it): (&PartDigest, &PartSuspect)| {
            let is_uncleared = it.last_clearing().is_none();
            let rank = (it.n_generations(), it.engines().count(), is_uncleared);
            self.has_enough_evidence(*part, it, now).then_some((rank, *part))
        };
        let ranked: Vec<_> = self.suspects.iter().filter_map(rank).collect();
        let Some((most, first)) = ranked.iter().max() else { return Vec::new() };
        let is_inseparable =
            |it: &PartDigest| self.suspects[it].has_same_requests(&self.suspects[first]);
        let tied = ranked.iter().filter(|it| it.0 == *most).map(|it| it.1);
        tied.filter(is_inseparable).collect()
    }

    fn has_enough_evidence(&self, part: PartDigest, suspect: &PartSuspect, now: Instant) -> bool {
        let Some(last) = suspect.last_counted() else { return false };
        let n_generations = suspect.n_generations();
        if now.duration_since(last) < SETTLING_TIME {
            return false;
        }
        if self.quarantines.contains_key(&part) {
            return n_generations >= MIN_GENERATIONS_AGAIN;
        }
        if n_generations < MIN_GENERATIONS || suspect.n_requests() < MIN_REQUESTS {
            return false;
        }
        n_generations >= MIN_GENERATIONS_IN_DOUBT || !self.is_in_doubt(part, suspect, now)
    }

    /// Returns `true` if most engines crashed without the part, or if stronger suspects were at its
    /// crashes. The newest ones don't count, as not all reports on them have arrived.
    fn is_in_doubt(&self, part: PartDigest, suspect: &PartSuspect, now: Instant) -> bool {
        let first = suspect.first_counted();
        let is_unexplained = |it: &&RecentCrash| Some(it.recorded) >= first && !it.is_explained;
        let n_crashed = self.crashes.iter().filter(is_unexplained).count();
        if suspect.engines().count() * MIN_SHARE_DIVISOR < n_crashed {
            return true;
        }
        let is_stronger =
            |it: &(&PartDigest, &PartSuspect)| *it.0 != part && suspect.is_outweighed_by(it.1);
        let stronger: Vec<_> = self.suspects.iter().filter(is_stronger).map(|it| it.1).collect();
        let settled = now.checked_sub(SETTLING_TIME).unwrap_or(now);
        let is_own = |engine: &&BackendId| !stronger.iter().any(|it| it.has_engine(engine));
        let n_own = suspect.engines_until(settled).filter(is_own).count();
        n_own < MIN_OWN_CRASHES
    }

    fn quarantine(&mut self, part: PartDigest, now: Instant) -> QuarantinedPart {
        let n_before = self.quarantines.get(&part).map_or(0, |it| it.n_quarantines);
        let suspect = self.suspects.get(&part);
        let n_crashes = suspect.map_or(0, PartSuspect::n_generations);
        let n_engines = suspect.map_or(0, |it| it.engines().count()) as u32;
        let quarantine = PartQuarantine::new(n_before + 1, n_crashes, n_engines, now);
        let report = quarantine.report(part, now);
        self.insert_quarantine(part, quarantine);
        self.explain_crashes_of(part, now);
        report
    }

    fn insert_quarantine(&mut self, part: PartDigest, quarantine: PartQuarantine) {
        if self.quarantines.len() >= MAX_QUARANTINES && !self.quarantines.contains_key(&part) {
            let first = self.quarantines.iter().min_by_key(|it| it.1.until()).map(|it| *it.0);
            first.map(|it| self.quarantines.remove(&it));
        }
        self.quarantines.insert(part, quarantine);
    }

    fn explain_crashes_of(&mut self, part: PartDigest, now: Instant) {
        let Some(suspect) = self.suspects.remove(&part) else { return };
        suspect.engines().for_each(|it| self.explain(it, now));
    }

    /// Marks the crash of an engine as explained; it no longer counts against any suspect.
    fn explain(&mut self, engine: &BackendId, now: Instant) {
        self.suspects.values_mut().for_each(|it| it.drop_crash(engine));
        self.recent_crash(engine, now).is_explained = true;
    }

    fn recent_crash(&mut self, engine: &BackendId, now: Instant) -> &mut RecentCrash {
        let known = self.crashes.iter().position(|it| it.engine == *engine);
        let idx = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let engine = engine.clone();
            self.crashes.push_back(RecentCrash { engine, recorded: now, is_explained: false });
            self.crashes.len() - 1
        });
        &mut self.crashes[idx]
    }

    fn forget_old(&mut self, now: Instant) {
        let is_recent = |it: Instant| now.duration_since(it) < SUSPICION_TIME;
        self.suspects.retain(|_, it| is_recent(it.last_crash()));
        self.crashes.retain(|it| is_recent(it.recorded));
        self.quarantines.retain(|_, it| it.is_remembered(now));
    }
}

fn first_parts(parts: &[PartDigest]) -> &[PartDigest] {
    &parts[..parts.len().min(MAX_PARTS)]
}
