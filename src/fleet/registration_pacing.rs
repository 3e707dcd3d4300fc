//! Spreads the registrations of entry hosts in time, when the store has lost them.

use std::time::Duration;

/// Mean time between two registrations in the deployment, a small share of the writes that the store
/// allows.
const SPREAD_PER_HOST: Duration = Duration::from_millis(20);
/// Minimum mean delay; other hosts send beacons to this one meanwhile.
const MIN_MEAN_DELAY: Duration = Duration::from_millis(1000);
/// Mean delay of the first retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Most doublings of the delay between retries.
const MAX_DOUBLINGS: u32 = 10;

/// Returns the delay before a host writes its lost registration again, in a deployment of `n_hosts`
/// entry hosts; `random` is between 0 and 1.
///
/// Load pattern: the store comes back from a copy that was taken before the hosts of a deployment
/// registered, and all of them notice within a moment.
pub fn registration_delay(n_hosts: usize, random: f64) -> Duration {
    let mean = (SPREAD_PER_HOST * n_hosts as u32).max(MIN_MEAN_DELAY);
    mean.mul_f64(0.5 + random)
}

/// Returns the delay before the next attempt after `n_failures` failed ones: it doubles, up to the
/// delay that spreads the writes of all hosts.
pub fn registration_retry_delay(n_hosts: usize, n_failures: u32, random: f64) -> Duration {
    let delay = FIRST_RETRY_DELAY.mul_f64(0.5 + random);
    let doubled = delay * 2_u32.pow(n_failures.saturating_sub(1).min(MAX_DOUBLINGS));
    doubled.min(registration_delay(n_hosts, random))
}
