//! The service levels that the burn report measures.

use serde::{Deserialize, Serialize};

use crate::charter::ServiceLevels;

/// Target percentage of `Level::ExactVersion`, although the version is promised for every request.
///
/// It is below 100 % because burn rates are divided by the error budget, which must not be 0.
const EXACT_VERSION_PERCENT: f64 = 99.99;
/// Target percentage of events of the whole deployment that finish within their time limit.
const EVENTS_PERCENT: f64 = 99.0;

/// Minimum number of requests in a window for an alert; with fewer, one bad request does not
/// indicate a fault.
const MIN_ALERT_REQUESTS: u64 = 20;

/// A service level whose error budget the burn report tracks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Requests are answered.
    Answered,
    /// The first token arrives within the limit.
    FirstToken,
    /// The answer was computed by the intended version.
    ExactVersion,
    /// The mean waits of customers of the same weight differ at most by the ratio in the charter.
    EqualWait,
    /// A new version is loaded on every live host of its pool within the limit; counted for the
    /// whole deployment.
    TimeToAll,
    /// An accepted charter is in force on every live host within the limit; counted for the whole
    /// deployment.
    CharterInForce,
}

impl Level {
    /// All levels, in the order of the report.
    pub const ALL: [Level; 6] = [
        Level::Answered,
        Level::FirstToken,
        Level::ExactVersion,
        Level::EqualWait,
        Level::TimeToAll,
        Level::CharterInForce,
    ];

    /// Returns the percentage of requests or events that must meet the level; `None` if a ratio is
    /// limited instead.
    pub fn target_percent(self, levels: &ServiceLevels) -> Option<f64> {
        match self {
            Level::Answered => Some(levels.answered_percent),
            Level::FirstToken => Some(levels.first_token_percent),
            Level::ExactVersion => Some(EXACT_VERSION_PERCENT),
            Level::EqualWait => None,
            Level::TimeToAll | Level::CharterInForce => Some(EVENTS_PERCENT),
        }
    }

    /// Returns the minimum number of requests or events in a window that can raise an alert.
    pub(crate) fn min_alert_total(self) -> u64 {
        match self {
            Level::TimeToAll | Level::CharterInForce => 1,
            _ => MIN_ALERT_REQUESTS,
        }
    }

    /// Returns the name of the level in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Level::Answered => "answered",
            Level::FirstToken => "first token",
            Level::ExactVersion => "exact version",
            Level::EqualWait => "equal wait",
            Level::TimeToAll => "time to all",
            Level::CharterInForce => "charter in force",
        }
    }
}
