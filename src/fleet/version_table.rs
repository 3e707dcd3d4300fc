//! The newest named version of each model and since when older ones may no longer be served.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{ids::WeightsVersion, routing::TargetVersion};

/// Version that engines hold before any is named.
const FIRST_VERSION: WeightsVersion = 1;
/// Share of the bound after which no request begins on an older version.
const REQUIRED_SHARE: f64 = 0.89;
/// Share of the bound in which requests that were sent to an older version must begin.
const BEGIN_SHARE: f64 = 0.08;
/// Greatest age that a version has when it is read after a gap, as a share of the bound.
///
/// What is left must be shorter than the time in which a restarted process is not held to the bound.
const UNKNOWN_AGE_SHARE: f64 = 0.61;

/// Named versions by model.
#[derive(Clone, Debug)]
pub struct VersionTable {
    bound: Duration,
    namings: HashMap<String, Vec<Naming>>,
}

/// One naming; later ones stand after earlier ones.
#[derive(Clone, Copy, Debug)]
struct Naming {
    version: WeightsVersion,
    named: Instant,
    required_from: Instant,
}

impl VersionTable {
    /// Makes a table; `bound` is the time from a naming until no request begins on an older version.
    pub fn new(bound: Duration) -> VersionTable {
        VersionTable { bound, namings: HashMap::new() }
    }

    /// Takes a naming that is at most `max_age` old, if that is known. An older version changes
    /// nothing.
    pub fn set(&mut self, target: &TargetVersion, max_age: Option<Duration>, now: Instant) -> bool {
        if self.newest(&target.model) >= target.version {
            return false;
        }
        let unknown_age = self.bound.mul_f64(UNKNOWN_AGE_SHARE);
        let age = max_age.map_or(unknown_age, |it| it.min(unknown_age));
        let required_from = now + self.bound.mul_f64(REQUIRED_SHARE).saturating_sub(age);
        let naming = Naming { version: target.version, named: now, required_from };
        self.namings.entry(target.model.clone()).or_default().push(naming);
        true
    }

    /// The newest version of a model.
    pub fn newest(&self, model: &str) -> WeightsVersion {
        let namings = self.namings.get(model);
        namings.and_then(|it| it.last()).map_or(FIRST_VERSION, |it| it.version)
    }

    /// The oldest version on which requests may begin now.
    pub fn oldest_allowed(&self, model: &str, now: Instant) -> WeightsVersion {
        let namings = self.namings.get(model).into_iter().flatten();
        let required = namings.filter(|it| now >= it.required_from).map(|it| it.version);
        required.max().unwrap_or(0)
    }

    /// When a request that was sent to an engine with `version` must have begun; absent while that
    /// is the newest version.
    pub fn begin_limit(&self, model: &str, version: WeightsVersion) -> Option<Instant> {
        let namings = self.namings.get(model).into_iter().flatten();
        let first = namings.filter(|it| it.version > version).map(|it| it.required_from).min();
        first.map(|it| it + self.bound.mul_f64(BEGIN_SHARE))
    }

    /// When the first version after `version` was named; absent if it is the newest.
    pub fn outdated_since(&self, model: &str, version: WeightsVersion) -> Option<Instant> {
        let namings = self.namings.get(model).into_iter().flatten();
        namings.filter(|it| it.version > version).map(|it| it.named).next()
    }
}
