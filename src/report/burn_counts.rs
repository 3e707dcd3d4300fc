//! What one entry host contributes to the burn report.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    charter::ServiceLevels,
    ids::{CustomerId, HostId},
    report::{counts::Counts, level::Level},
};

/// Span of one point of a series.
pub const SERIES_STEP: Duration = Duration::from_secs(300);
/// Points of a series.
pub const SERIES_POINTS: usize = 72;

/// Counts of one entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnCounts {
    /// The entry host.
    pub host: HostId,
    /// Limits of the charter in force there.
    pub service_levels: ServiceLevels,
    /// One entry for each customer and level with counts.
    pub levels: Vec<LevelCounts>,
}

/// Counts of one customer and level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelCounts {
    /// The customer; `None` for a level of the whole deployment.
    pub customer: Option<CustomerId>,
    /// Weight of the customer in the charter; 0 for the whole deployment.
    pub weight: u32,
    /// The level.
    pub level: Level,
    /// Counts over the windows of `Window::ALL`.
    pub windows: [Counts; 3],
    /// Counts over the last six hours in steps of `SERIES_STEP`, oldest first.
    pub series: Vec<Counts>,
}
