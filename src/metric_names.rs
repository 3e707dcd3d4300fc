//! The names of the metrics, which docs/OPERATIONS.md explains.

/// Counter: requests that ended, by `customer`, `pool`, `verdict` and `answered`.
pub const REQUESTS: &str = "crocustiller_requests_total";
/// Summary: time from a request's arrival to the first byte of its response, by `customer`.
pub const FIRST_TOKEN_SECONDS: &str = "crocustiller_first_token_seconds";
/// Summary: time that a request waited before it was sent to a backend server, by `customer`.
pub const WAIT_SECONDS: &str = "crocustiller_wait_seconds";
/// Counter: requests that ended at an entry host on the platform, by `outcome`.
pub const ENTRY_REQUESTS: &str = "crocustiller_entry_requests_total";
/// Counter: attempts to send a request to a backend server.
pub const ENTRY_ATTEMPTS: &str = "crocustiller_entry_attempts_total";
/// Counter: second requests to another server while the first one was late.
pub const HEDGED_REQUESTS: &str = "crocustiller_hedged_requests_total";
/// Summary: time from a request's arrival to the first bytes of its response.
pub const ENTRY_FIRST_BYTES_SECONDS: &str = "crocustiller_entry_first_bytes_seconds";
/// Summary: time from a request's arrival until it was sent to a backend server.
pub const ENTRY_WAIT_SECONDS: &str = "crocustiller_entry_wait_seconds";
/// Gauge: open connections from callers.
pub const ENTRY_CONNECTIONS: &str = "crocustiller_entry_connections";
/// Counter: connections beyond the limit of a port, by `port` and `outcome`: another one was evicted for it,
/// or it was refused.
pub const EXCESS_CONNECTIONS: &str = "crocustiller_excess_connections_total";
/// Counter: requests to readiness, directory or metrics that were delayed as they were sent ahead, by `port`.
pub const DELAYED_REQUESTS: &str = "crocustiller_delayed_requests_total";
/// Gauge: backend servers that accept new requests, by `service`.
pub const READY_BACKENDS: &str = "crocustiller_ready_backends";
/// Gauge: requests from this host that are in progress at backend servers.
pub const IN_PROGRESS: &str = "crocustiller_in_progress";
/// Gauge: bytes of messages that this host buffers.
pub const BUFFERED_BYTES: &str = "crocustiller_buffered_bytes";
/// Gauge: the most bytes of messages that this host has buffered at a time.
pub const MAX_BUFFERED_BYTES: &str = "crocustiller_max_buffered_bytes";
/// Counter: messages that were given up as too much was buffered.
pub const BUFFERS_GIVEN_UP: &str = "crocustiller_buffers_given_up_total";
/// Counter: decisions of this host as owner of engines on requests for capacity, by `attempt` (first or
/// returning) and `outcome`.
pub const CELL_REQUESTS: &str = "crocustiller_cell_requests_total";
/// Counter: requests for which no backend server was allowed, by `reason`.
pub const NOT_ALLOWED_REQUESTS: &str = "crocustiller_not_allowed_requests_total";
/// Gauge: time for which this host has known that a zone is evacuated, 0 if it isn't, by `zone`.
pub const ZONE_EVACUATED_SECONDS: &str = "crocustiller_zone_evacuated_seconds";
/// Gauge: requests of this host in progress at backend servers of a zone, by `zone`.
pub const ZONE_IN_PROGRESS: &str = "crocustiller_zone_in_progress";
/// Gauge: backend servers that are cold, or may be, as far as this host knows.
pub const COLD_SERVERS: &str = "crocustiller_cold_servers";
/// Counter: requests that this host did not send, or admit, at once as servers are cold or may be.
pub const COLD_HELD_BACK: &str = "crocustiller_cold_held_back_total";
/// Gauge: backend servers that name a limit on their requests, as far as this host knows.
pub const LIMITED_SERVERS: &str = "crocustiller_limited_servers";
/// Counter: requests that this host refused, or did not admit at once, as servers name limits.
pub const LIMIT_HELD_BACK: &str = "crocustiller_limit_held_back_total";
/// Counter: decisions of this host as owner of engines on first attempts, by `rank` (99 stands for all
/// from 99 on) and `outcome` (served or refused).
pub const CELL_RANKS: &str = "crocustiller_cell_ranks_total";
/// Gauge: requests that wait at this host as owner of engines, by `rank`.
pub const CELL_WAITING: &str = "crocustiller_cell_waiting";
/// Counter: time in milliseconds that served requests had left until they had to begin, by `rank`.
pub const CELL_SLACK_MS: &str = "crocustiller_cell_slack_milliseconds_total";
/// Counter: lists that the store or an entry host answered, by `kind`.
pub const STORE_LISTS: &str = "crocustiller_store_lists_total";
/// Gauge: the number of times that the store came back from an older copy, as the store counts.
pub const STORE_GENERATION: &str = "crocustiller_store_generation";
/// Gauge: number of the charter in force.
pub const CHARTER_NUMBER: &str = "crocustiller_charter_number";
/// Gauge: switch number of a pool, by `pool`.
pub const SWITCH_NUMBER: &str = "crocustiller_switch_number";
/// Gauge: hosts in the membership view, by `state`.
pub const HOSTS: &str = "crocustiller_hosts";
/// Counter: bytes exchanged with other processes, by `class` and `direction`.
pub const LINK_BYTES: &str = "crocustiller_link_bytes_total";
/// Gauge: CPU time used since the start, in seconds.
pub const CPU_SECONDS: &str = "crocustiller_cpu_seconds";
/// Gauge: resident memory in bytes.
pub const RESIDENT_BYTES: &str = "crocustiller_resident_bytes";
