//! What identifies the route and the customer of a request when owners compare the shares that were served.

use serde::{Deserialize, Serialize};

/// What tells a request from others that compete with it for the engines of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Digest of its route, whose requests of one rank are a kind.
    pub kind: u32,
    /// Digest of its customer.
    pub customer: u32,
    /// Whether requests for the pool differ in priority or latency objective.
    pub is_ranked: bool,
}
