//! The groups of requests that are served in proportion to each other.

use serde::{Deserialize, Serialize};

/// What tells a request from others that compete with it for the engines of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Digest of its route.
    pub kind: u32,
    /// Digest of its customer.
    pub customer: u32,
    /// Whether requests for the pool differ in priority or latency objective.
    pub is_ranked: bool,
}
