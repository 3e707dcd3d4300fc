//! Names of the metrics; docs/OPERATING.md explains each.

/// Counter: requests that ended, by `customer`, `pool`, `verdict` and `answered`.
pub const REQUESTS: &str = "crocustiller_requests_total";
/// Summary: time from a request's arrival to the first byte of its answer, by `customer`.
pub const FIRST_TOKEN_SECONDS: &str = "crocustiller_first_token_seconds";
/// Summary: time that a request waited before it went to a backend server, by `customer`.
pub const WAIT_SECONDS: &str = "crocustiller_wait_seconds";
/// Gauge: charter number in force.
pub const CHARTER_NUMBER: &str = "crocustiller_charter_number";
/// Gauge: switch number of a pool, by `pool`.
pub const SWITCH_NUMBER: &str = "crocustiller_switch_number";
/// Gauge: hosts in the membership view, by `state`.
pub const HOSTS: &str = "crocustiller_hosts";
/// Counter: bytes exchanged with other processes, by `class` and `direction`.
pub const LINK_BYTES: &str = "crocustiller_link_bytes_total";
/// Gauge: processor time used since the start.
pub const CPU_SECONDS: &str = "crocustiller_cpu_seconds";
/// Gauge: memory in use.
pub const RESIDENT_BYTES: &str = "crocustiller_resident_bytes";
