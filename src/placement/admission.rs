//! The decisions of the owner of a cell.

use std::time::Duration;

use crate::{
    ids::BackendId,
    placement::{Load, Refusal},
};

/// The decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Capacity is reserved at an engine, whose load was `load` before.
    Granted {
        /// The engine.
        engine: BackendId,
        /// Its load before this reservation.
        load: Load,
    },
    /// No engine had capacity in time.
    Full,
    /// No engine had, or will have, capacity in time for a request that competes with others of other ranks.
    Refused(Refusal),
    /// All engines that have room named limits; the first takes a request after this time, which is longer
    /// than the request may wait.
    Limited(Duration),
    /// The cell has no engine that the request could use.
    NoEngine,
}
