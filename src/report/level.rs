//! The service levels that the burn report measures.

use serde::{Deserialize, Serialize};

use crate::charter::ServiceLevels;

/// Share of a level that promises every request; a budget of nothing could not be divided by.
const EXACT_VERSION_PERCENT: f64 = 99.99;
/// Share of events that must meet a time limit of the whole deployment.
const EVENTS_PERCENT: f64 = 99.0;

/// Requests below which one bad request is no sign of a fault.
const MIN_ALERT_REQUESTS: u64 = 20;

/// One service level of the charter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Requests get an answer.
    Answered,
    /// The first token comes within the limit.
    FirstToken,
    /// The answer comes from the intended version.
    ExactVersion,
    /// No customer waits longer than another of the same weight.
    EqualWait,
    /// A new version serves on every host within the limit; counted for the whole deployment.
    TimeToAll,
    /// An accepted charter is in force on every host within the limit; for the whole deployment.
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

    /// Share of requests or events that must meet the level; `None` where a ratio is limited instead.
    pub fn target_percent(self, levels: &ServiceLevels) -> Option<f64> {
        match self {
            Level::Answered => Some(levels.answered_percent),
            Level::FirstToken => Some(levels.first_token_percent),
            Level::ExactVersion => Some(EXACT_VERSION_PERCENT),
            Level::EqualWait => None,
            Level::TimeToAll | Level::CharterInForce => Some(EVENTS_PERCENT),
        }
    }

    /// Requests or events that a window must hold before it can raise an alert.
    pub(crate) fn min_alert_total(self) -> u64 {
        match self {
            Level::TimeToAll | Level::CharterInForce => 1,
            _ => MIN_ALERT_REQUESTS,
        }
    }

    /// Name of the level in tables.
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
