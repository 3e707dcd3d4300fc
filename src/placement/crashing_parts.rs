//! Detects parts of prompts that crash engines.
//!
//! An engine has several requests at once, each with several parts, so one crash proves nothing. A
//! part is quarantined if crashes on it follow one after the other at distinct engines while no
//! engine has written an answer on it. Crashes of requests that were in progress together form one
//! generation, since one cause may explain them all; the next one opens with a request that was sent
//! later. Crashes that a quarantined part explains no longer count against other parts.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{
        part_quarantine::PartQuarantine,
        part_suspect::PartSuspect,
        suspect_groups::{GroupId, SuspectGroup, SuspectGroups},
        PartCrash, PartDigest, QuarantinedPart,
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
/// Maximum number of parts of one request that it has to begin in turn for.
const MAX_IN_TURN: usize = 64;
/// Maximum number of parts that are quarantined for the same crashes. They come together, so each of
/// them would do.
const MAX_TOGETHER: usize = 32;
/// Maximum number of quarantines that are in force or remembered.
const MAX_QUARANTINES: usize = 256;
/// Maximum number of quarantined parts in a beacon.
const MAX_REPORTED: usize = MAX_QUARANTINES;
/// Maximum number of engines that are remembered as crashed.
const MAX_CRASHES: usize = 256;

/// Generations, engines, and whether no engine has written an answer.
type Rank = (u32, usize, bool);

/// The parts of prompts that this host suspects of crashing engines, and those in quarantine.
#[derive(Clone, Debug, Default)]
pub struct CrashingParts {
    suspects: SuspectGroups,
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
        if self.find_quarantined(&crash.parts, now).is_some() {
            self.explain(&crash.engine, now);
            return;
        }
        if self.recent_crash(&crash.engine, now).is_explained {
            return;
        }
        let record = |it: &mut PartSuspect| it.record_crash(crash, now);
        self.suspects.record(&crash.parts, crash.request, now, record);
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
        let mut reported = Vec::new();
        let mut cleared = Vec::new();
        for part in parts {
            if self.is_in_force(*part, now) {
                continue;
            }
            let had_quarantine = self.quarantines.remove(part).is_some();
            let is_cleared = self.suspects.get(*part).is_some_and(|it| needs_clearing(it, now));
            if is_cleared {
                cleared.push(*part);
            }
            if is_cleared || had_quarantine {
                reported.push(*part);
            }
        }
        self.suspects.update(&cleared, |it| it.clear(now));
        reported
    }

    /// Returns the parts of a request that may begin at one engine at a time only: engines crashed on
    /// them lately, and none has written an answer.
    pub fn parts_to_start_in_turn(&self, parts: &[PartDigest], now: Instant) -> Vec<PartDigest> {
        let is_suspected = |it: &PartSuspect| {
            it.engines().count() >= MIN_ENGINES_FOR_TURNS
                && it.last_clearing().is_none()
                && now.duration_since(it.last_crash()) < TURNS_TIME
        };
        let n_engines = |it: PartDigest| {
            let suspect = self.suspects.get(it).filter(|it| is_suspected(it));
            suspect.map(|it| it.engines().count())
        };
        let suspected = parts.iter().filter_map(|it| Some((*it, n_engines(*it)?)));
        let mut suspected: Vec<(PartDigest, usize)> = suspected.collect();
        if suspected.len() > MAX_IN_TURN {
            suspected.sort_by_key(|it| Reverse(it.1));
            suspected.truncate(MAX_IN_TURN);
        }
        suspected.into_iter().map(|it| it.0).collect()
    }

    /// Returns the part for which a request with these parts is refused.
    pub fn find_quarantined(&self, parts: &[PartDigest], now: Instant) -> Option<QuarantinedPart> {
        if self.quarantines.is_empty() {
            return None;
        }
        let in_force =
            |part| Some((part, self.quarantines.get(part)?)).filter(|it| it.1.is_in_force(now));
        let (part, quarantine) = parts.iter().find_map(in_force)?;
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

    /// Returns the part with the most evidence if it is enough, and those that are inseparable from it.
    fn find_crashing(&self, now: Instant) -> Vec<PartDigest> {
        let ranked = self.enough_evidence(now);
        let Some((most, first)) = ranked.iter().max() else { return Vec::new() };
        let Some(first) = self.suspects.get(*first) else { return Vec::new() };
        let is_inseparable =
            |it: &PartDigest| self.suspects.get(*it).is_some_and(|it| it.has_same_requests(first));
        let tied = ranked.iter().filter(|it| it.0 == *most).map(|it| it.1);
        let mut crashing: Vec<PartDigest> = tied.filter(is_inseparable).collect();
        crashing.sort_unstable_by_key(|it| Reverse(*it));
        crashing.truncate(MAX_TOGETHER);
        crashing
    }

    /// Returns the parts against which there is enough evidence, each with its rank among them.
    fn enough_evidence(&self, now: Instant) -> Vec<(Rank, PartDigest)> {
        let is_enough = |it: &(GroupId, &SuspectGroup)| {
            is_settled(&it.1.evidence, now) && self.is_enough_for_first(it.0, it.1, now)
        };
        let groups: BTreeSet<GroupId> =
            self.suspects.groups().filter(is_enough).map(|it| it.0).collect();
        let mut parts: BTreeSet<PartDigest> = self.quarantines.keys().copied().collect();
        parts.retain(|it| self.suspects.get(*it).is_some_and(|it| is_enough_again(it, now)));
        if !groups.is_empty() {
            let suspects = self.suspects.parts().filter(|it| groups.contains(&it.1));
            parts.extend(suspects.map(|it| it.0));
        }
        parts.into_iter().filter_map(|it| Some((rank(self.suspects.get(it)?), it))).collect()
    }

    /// Returns `true` if the evidence is enough for the first quarantine of the parts of a group.
    fn is_enough_for_first(&self, id: GroupId, group: &SuspectGroup, now: Instant) -> bool {
        let suspect = &group.evidence;
        let n_generations = suspect.n_generations();
        if n_generations < MIN_GENERATIONS || suspect.n_requests() < MIN_REQUESTS {
            return false;
        }
        n_generations >= MIN_GENERATIONS_IN_DOUBT || !self.is_in_doubt(id, group, now)
    }

    /// Returns `true` if most engines crashed without the part, or if stronger suspects were at its
    /// crashes. The newest ones don't count, as not all reports on them have arrived.
    fn is_in_doubt(&self, id: GroupId, group: &SuspectGroup, now: Instant) -> bool {
        let suspect = &group.evidence;
        let first = suspect.first_counted();
        let is_unexplained = |it: &&RecentCrash| Some(it.recorded) >= first && !it.is_explained;
        let n_crashed = self.crashes.iter().filter(is_unexplained).count();
        if suspect.engines().count() * MIN_SHARE_DIVISOR < n_crashed {
            return true;
        }
        let others = self.suspects.groups().filter(|it| it.0 != id || it.1.n_parts > 1);
        let others = others.map(|it| &it.1.evidence);
        let stronger: Vec<_> = others.filter(|it| suspect.is_outweighed_by(it)).collect();
        let settled = now.checked_sub(SETTLING_TIME).unwrap_or(now);
        let is_own = |engine: &&BackendId| !stronger.iter().any(|it| it.has_engine(engine));
        let n_own = suspect.engines_until(settled).filter(is_own).count();
        n_own < MIN_OWN_CRASHES
    }

    fn quarantine(&mut self, part: PartDigest, now: Instant) -> QuarantinedPart {
        let n_before = self.quarantines.get(&part).map_or(0, |it| it.n_quarantines);
        let suspect = self.suspects.get(part);
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
        let Some(suspect) = self.suspects.remove(part) else { return };
        suspect.engines().for_each(|it| self.explain(it, now));
    }

    /// Marks the crash of an engine as explained; it no longer counts against any suspect.
    fn explain(&mut self, engine: &BackendId, now: Instant) {
        self.suspects.update_all(|it| it.drop_crash(engine));
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
        self.suspects.retain(|it| is_recent(it.last_crash()));
        self.crashes.retain(|it| is_recent(it.recorded));
        self.quarantines.retain(|_, it| it.is_remembered(now));
    }
}

fn rank(suspect: &PartSuspect) -> Rank {
    let is_uncleared = suspect.last_clearing().is_none();
    (suspect.n_generations(), suspect.engines().count(), is_uncleared)
}

/// Returns `true` if all reports on the crashes have arrived.
fn is_settled(suspect: &PartSuspect, now: Instant) -> bool {
    suspect.last_counted().is_some_and(|it| now.duration_since(it) >= SETTLING_TIME)
}

/// Returns `true` if the evidence is enough for one more quarantine of a part.
fn is_enough_again(suspect: &PartSuspect, now: Instant) -> bool {
    is_settled(suspect, now) && suspect.n_generations() >= MIN_GENERATIONS_AGAIN
}

/// Returns `true` if the clearing of a suspect should be reported to the other hosts.
fn needs_clearing(suspect: &PartSuspect, now: Instant) -> bool {
    let is_reported =
        suspect.last_clearing().is_some_and(|it| now.duration_since(it) < CLEARING_INTERVAL);
    !is_reported || suspect.n_generations() > 0
}
