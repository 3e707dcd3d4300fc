//! The counts that one entry host contributes to the burn report.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    charter::ServiceLevels,
    ids::{CustomerId, HostId},
    report::{counts::Counts, level::Level},
};

/// Duration that one point of a series covers.
pub const SERIES_STEP: Duration = Duration::from_secs(300);
/// Number of points in a series.
pub const SERIES_POINTS: usize = 72;

/// Counts of one entry host for all customers and service levels.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnCounts {
    /// The entry host.
    pub host: HostId,
    /// Limits of the service levels, from the charter in force on that host.
    pub service_levels: ServiceLevels,
    /// One entry for each customer and service level that has counts.
    pub levels: Vec<LevelCounts>,
}

/// Counts of one customer and service level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelCounts {
    /// The customer; `None` for a level of the whole deployment.
    pub customer: Option<CustomerId>,
    /// Weight of the customer in the charter; 0 for a level of the whole deployment.
    pub weight: u32,
    /// The service level.
    pub level: Level,
    /// Counts over the windows of `Window::ALL`.
    pub windows: [Counts; 3],
    /// Counts over the last six hours in steps of `SERIES_STEP`, oldest first.
    pub series: Vec<Counts>,
}
