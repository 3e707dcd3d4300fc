//! How many connections each port of a process may have open.
//!
//! Load pattern: clients open more connections than the process may have descriptors. Requests need further
//! descriptors, for backend servers, and the process itself for the store and its peers, so the ports
//! together get only a part.

use rustix::process::{getrlimit, Resource};

/// Greatest number of descriptors of a process.
pub(crate) const MAX_DESCRIPTORS: u64 = 1 << 30;
/// Descriptors that the platform needs for itself in each process. The number is an assumption, as
/// docs/PLATFORM.md states none.
const SYSTEM_DESCRIPTORS: u64 = 200;
/// Greatest share of all descriptors that are left to the platform where there are only a few.
const MAX_SYSTEM_SHARE: f64 = 0.25;
/// Share of the others for connections of callers.
const CALLERS_SHARE: f64 = 8.0 / 16.0;
/// Share for connections of other processes, which watch the store through this one.
const PEERS_SHARE: f64 = 3.0 / 16.0;
/// Share for queries of the directory.
const DIRECTORY_SHARE: f64 = 1.0 / 16.0;
/// Share for readiness checks, and for metrics. All shares leave 3 of 16 for connections that this process
/// opens.
const CHECKS_SHARE: f64 = 0.5 / 16.0;

/// The number of connections that each port of a process may have open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// At the port for callers.
    pub callers: usize,
    /// At the port for other processes.
    pub peers: usize,
    /// At the port of the directory.
    pub directory: usize,
    /// At the ports for readiness and for metrics, each.
    pub checks: usize,
}

/// Returns the number of descriptors that the system lets this process open.
pub(crate) fn descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS)
}

impl ConnectionLimits {
    /// Returns the limits of this process, by the descriptors that the system lets it open.
    pub fn of_this_process() -> ConnectionLimits {
        ConnectionLimits::of_process(descriptor_limit())
    }

    /// Returns the limits of a process that may have `n_descriptors` open.
    pub fn of_process(n_descriptors: u64) -> ConnectionLimits {
        let max_system = (n_descriptors as f64 * MAX_SYSTEM_SHARE) as u64;
        let n_usable = n_descriptors - SYSTEM_DESCRIPTORS.min(max_system);
        let share = |it: f64| ((n_usable as f64 * it) as usize).max(1);
        ConnectionLimits {
            callers: share(CALLERS_SHARE),
            peers: share(PEERS_SHARE),
            directory: share(DIRECTORY_SHARE),
            checks: share(CHECKS_SHARE),
        }
    }
}
