//! Names of the metrics; docs/OPERATING.md explains each.

/// Counter: requests that ended, by `customer`, `pool` and `verdict`.
pub const REQUESTS: &str = "crocustiller_requests_total";
