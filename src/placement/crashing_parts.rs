//! Detects parts of prompts that crash engines.
//!
//! An engine that dies has several requests, each with several parts, so one crash proves nothing.
//! A part is guilty if crashes on it follow one after the other at distinct engines while no engine
//! has written an answer on it. The crashes of guilty parts excuse all other parts.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{
        part_suspect::PartSuspect, part_verdict::PartVerdict, PartCrash, PartDigest,
        QuarantinedPart,
    },
};

/// Crashes one after the other at which a part is quarantined.
const MAX_GENERATIONS: u32 = 3;
/// The same while most engines crash without the part, or another part may explain its crashes.
const MAX_GENERATIONS_IN_DOUBT: u32 = 5;
/// The same for a part whose quarantine has ended.
const MAX_GENERATIONS_AGAIN: u32 = 1;
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
/// Interval at which the clearing of a part is told again, in case a message was lost.
const CLEARING_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of parts of a request that are regarded.
const MAX_PARTS: usize = 8;
const MAX_SUSPECTS: usize = 256;
const MAX_VERDICTS: usize = 256;
const MAX_REPORTED: usize = 32;
/// Maximum number of engines that are remembered as crashed.
const MAX_CRASHES: usize = 256;

/// The parts of prompts that this host suspects of crashing engines, and those in quarantine.
#[derive(Clone, Debug, Default)]
pub struct CrashingParts {
    suspects: HashMap<PartDigest, PartSuspect>,
    verdicts: HashMap<PartDigest, PartVerdict>,
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

    /// Quarantines the guilty parts and returns them.
    ///
    /// It is called regularly, as evidence counts only after the reports of one crash have arrived.
    pub fn decide(&mut self, now: Instant) -> Vec<QuarantinedPart> {
        let mut quarantined = Vec::new();
        loop {
            let guilty = self.find_guilty(now);
            if guilty.is_empty() {
                return quarantined;
            }
            quarantined.extend(guilty.into_iter().map(|it| self.quarantine(it, now)));
        }
    }

    /// Clears parts on which an engine has written an answer; returns those of which the other
    /// hosts should hear.
    ///
    /// A quarantine in force stays, since an answer that began before it may end during it.
    pub fn clear(&mut self, parts: &[PartDigest], now: Instant) -> Vec<PartDigest> {
        if self.suspects.is_empty() && self.verdicts.is_empty() {
            return Vec::new();
        }
        let parts = first_parts(parts).iter().copied();
        parts.filter(|it| self.clear_part(*it, now)).collect()
    }

    /// Returns the part for which a request with these parts is refused.
    pub fn find_quarantined(&self, parts: &[PartDigest], now: Instant) -> Option<QuarantinedPart> {
        let in_force =
            |part| Some((part, self.verdicts.get(part)?)).filter(|it| it.1.is_in_force(now));
        let (part, verdict) = first_parts(parts).iter().find_map(in_force)?;
        Some(verdict.report(*part, now))
    }

    /// Returns the parts in quarantine for a beacon, the most recent first.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedPart> {
        let in_force = self.verdicts.iter().filter(|it| it.1.is_in_force(now));
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
            let Some(verdict) = PartVerdict::from_report(report, now) else { continue };
            let was_in_force = self.is_in_force(report.part, now);
            match self.verdicts.get_mut(&report.part) {
                Some(known) => known.merge(verdict),
                None => self.insert_verdict(report.part, verdict),
            }
            if !was_in_force && self.is_in_force(report.part, now) {
                self.explain_crashes_of(report.part, now);
                new.push(report.clone());
            }
        }
        new
    }

    fn is_in_force(&self, part: PartDigest, now: Instant) -> bool {
        self.verdicts.get(&part).is_some_and(|it| it.is_in_force(now))
    }

    /// Returns `true` if the other hosts should hear of it.
    fn clear_part(&mut self, part: PartDigest, now: Instant) -> bool {
        if self.is_in_force(part, now) {
            return false;
        }
        let had_verdict = self.verdicts.remove(&part).is_some();
        let Some(suspect) = self.suspects.get_mut(&part) else { return had_verdict };
        let is_told =
            suspect.last_clearing().is_some_and(|it| now.duration_since(it) < CLEARING_INTERVAL);
        if is_told && suspect.n_generations() == 0 {
            return had_verdict;
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
    fn find_guilty(&self, now: Instant) -> Vec<PartDigest> {
        let rank = |(part, it): (&PartDigest, &PartSuspect)| {
            let is_uncleared = it.last_clearing().is_none();
            let rank = (it.n_generations(), it.engines().count(), is_uncleared);
            self.is_guilty(*part, it, now).then_some((rank, *part))
        };
        let ranked: Vec<_> = self.suspects.iter().filter_map(rank).collect();
        let Some((most, first)) = ranked.iter().max() else { return Vec::new() };
        let is_inseparable =
            |it: &PartDigest| self.suspects[it].has_same_requests(&self.suspects[first]);
        let tied = ranked.iter().filter(|it| it.0 == *most).map(|it| it.1);
        tied.filter(is_inseparable).collect()
    }

    fn is_guilty(&self, part: PartDigest, suspect: &PartSuspect, now: Instant) -> bool {
        let Some(last) = suspect.last_counted() else { return false };
        let n_generations = suspect.n_generations();
        if now.duration_since(last) < SETTLING_TIME {
            return false;
        }
        if self.verdicts.contains_key(&part) {
            return n_generations >= MAX_GENERATIONS_AGAIN;
        }
        if n_generations < MAX_GENERATIONS || suspect.n_requests() < MIN_REQUESTS {
            return false;
        }
        n_generations >= MAX_GENERATIONS_IN_DOUBT || !self.is_in_doubt(part, suspect, now)
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
        let n_before = self.verdicts.get(&part).map_or(0, |it| it.n_verdicts);
        let suspect = self.suspects.get(&part);
        let n_crashes = suspect.map_or(0, PartSuspect::n_generations);
        let n_engines = suspect.map_or(0, |it| it.engines().count()) as u32;
        let verdict = PartVerdict::new(n_before + 1, n_crashes, n_engines, now);
        let report = verdict.report(part, now);
        self.insert_verdict(part, verdict);
        self.explain_crashes_of(part, now);
        report
    }

    fn insert_verdict(&mut self, part: PartDigest, verdict: PartVerdict) {
        if self.verdicts.len() >= MAX_VERDICTS && !self.verdicts.contains_key(&part) {
            let first = self.verdicts.iter().min_by_key(|it| it.1.until()).map(|it| *it.0);
            first.map(|it| self.verdicts.remove(&it));
        }
        self.verdicts.insert(part, verdict);
    }

    fn explain_crashes_of(&mut self, part: PartDigest, now: Instant) {
        let Some(suspect) = self.suspects.remove(&part) else { return };
        suspect.engines().for_each(|it| self.explain(it, now));
    }

    /// Excuses all suspects of the crash of an engine.
    fn explain(&mut self, engine: &BackendId, now: Instant) {
        self.suspects.values_mut().for_each(|it| it.excuse(engine));
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
        self.verdicts.retain(|_, it| it.is_remembered(now));
    }
}

fn first_parts(parts: &[PartDigest]) -> &[PartDigest] {
    &parts[..parts.len().min(MAX_PARTS)]
}
