//! The intended version of each model, and the time from which no request may start on an older
//! one.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{ids::WeightsVersion, routing::TargetVersion};

/// Version that engines have before any intended version is published.
const FIRST_VERSION: WeightsVersion = 1;
/// Share of the bound after which no request is sent to an engine with an older version.
const REQUIRED_SHARE: f64 = 0.89;
/// Share of the bound, after `REQUIRED_SHARE`, within which a request that was already sent to an
/// engine with an older version must start.
const START_SHARE: f64 = 0.08;
/// Maximum age that is assumed for a version read at the start of the process or after a gap, as a
/// share of the bound.
///
/// The remaining share of the bound must be shorter than the time for which a restarted process is
/// exempt from the bound.
const ASSUMED_AGE_SHARE: f64 = 0.61;

/// The intended versions of all models.
///
/// No request may start on an older version once a fixed time, the bound, has passed since a new
/// intended version was published. The table computes the resulting deadlines. All times are those
/// of `clock::now`, as the bound also counts while a machine is suspended.
#[derive(Clone, Debug)]
pub struct VersionTable {
    bound: Duration,
    entries: HashMap<String, Vec<VersionEntry>>,
}

/// One intended version; the entries of a model are in ascending order.
#[derive(Clone, Copy, Debug)]
struct VersionEntry {
    version: WeightsVersion,
    learned_at: Instant,
    required_from: Instant,
}

impl VersionTable {
    /// Creates a table; `bound` is the time from the publication of a version until no request may
    /// start on an older one.
    pub fn new(bound: Duration) -> VersionTable {
        VersionTable { bound, entries: HashMap::new() }
    }

    /// Adds an intended version that was published at most `max_age` ago, if that is known. Returns
    /// `false` and changes nothing unless it is newer than the last one.
    pub fn set(&mut self, target: &TargetVersion, max_age: Option<Duration>, now: Instant) -> bool {
        if self.newest(&target.model) >= target.version {
            return false;
        }
        let assumed_age = self.bound.mul_f64(ASSUMED_AGE_SHARE);
        let age = max_age.map_or(assumed_age, |it| it.min(assumed_age));
        let required_from = now + self.bound.mul_f64(REQUIRED_SHARE).saturating_sub(age);
        let entry = VersionEntry { version: target.version, learned_at: now, required_from };
        self.entries.entry(target.model.clone()).or_default().push(entry);
        true
    }

    /// Returns the newest intended version of a model.
    pub fn newest(&self, model: &str) -> WeightsVersion {
        let entries = self.entries.get(model);
        entries.and_then(|it| it.last()).map_or(FIRST_VERSION, |it| it.version)
    }

    /// Returns the sum of the newest published versions of all models, which only rises.
    pub fn newest_total(&self) -> u64 {
        self.entries.values().filter_map(|it| it.last()).map(|it| it.version).sum()
    }

    /// Returns the oldest version on which requests may start now; 0 if any version will do.
    pub fn oldest_allowed(&self, model: &str, now: Instant) -> WeightsVersion {
        let entries = self.entries.get(model).into_iter().flatten();
        let required = entries.filter(|it| now >= it.required_from).map(|it| it.version);
        required.max().unwrap_or(0)
    }

    /// Returns the time from which no request is sent to an engine with a version before `version`,
    /// or `None` if `version` is not known.
    pub fn required_from(&self, model: &str, version: WeightsVersion) -> Option<Instant> {
        let entry = self.entries.get(model)?.iter().find(|it| it.version == version)?;
        Some(entry.required_from)
    }

    /// Returns the time by which a request that was sent to an engine with `version` must have
    /// started, or `None` while there is no newer version.
    pub fn start_deadline(&self, model: &str, version: WeightsVersion) -> Option<Instant> {
        let entries = self.entries.get(model).into_iter().flatten();
        let first = entries.filter(|it| it.version > version).map(|it| it.required_from).min();
        first.map(|it| it + self.bound.mul_f64(START_SHARE))
    }

    /// Returns the time at which this process learned of the first version after `version`, or
    /// `None` if there is no newer one.
    pub fn outdated_since(&self, model: &str, version: WeightsVersion) -> Option<Instant> {
        let entries = self.entries.get(model).into_iter().flatten();
        entries.filter(|it| it.version > version).map(|it| it.learned_at).next()
    }
}
