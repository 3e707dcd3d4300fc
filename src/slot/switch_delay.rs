//! Spreads the engines' switches to a new version over the time that the settings allow for it.
//!
//! An engine that is about to switch gets no new requests and finishes most of the running ones.
//! Load pattern: a new version under load, when too few engines would serve requests if all
//! switched at the same time.

use std::time::Duration;

/// Earliest switch of the first engine, as a share of the bound after a version is published.
const FIRST_SWITCH_SHARE: f64 = 0.3;
/// Earliest switch of the last engine, as a share of the bound after a version is published.
const LAST_SWITCH_SHARE: f64 = 0.82;

/// Earliest switch of the first engine to a version that is not the newest, as a share of the
/// bound.
const FIRST_FALLBACK_SHARE: f64 = 0.45;
/// Earliest switch of the last engine to a version that is not the newest, as a share of the bound.
const LAST_FALLBACK_SHARE: f64 = 0.86;

/// Returns the delay, after a version is published, before an engine should switch to it.
///
/// `rank` is its rank among `n_engines`; `bound` is the time, after a version is published, until
/// no request may start on an older one. An engine that serves nothing should switch without delay.
pub fn switch_delay(rank: usize, n_engines: usize, bound: Duration) -> Duration {
    spread_delay(rank, n_engines, FIRST_SWITCH_SHARE, LAST_SWITCH_SHARE, bound)
}

/// Returns the delay, after a version is published, before an engine should switch to it if a newer
/// version exists whose pieces are unavailable.
pub fn fallback_delay(rank: usize, n_engines: usize, bound: Duration) -> Duration {
    spread_delay(rank, n_engines, FIRST_FALLBACK_SHARE, LAST_FALLBACK_SHARE, bound)
}

fn spread_delay(rank: usize, n_engines: usize, first: f64, last: f64, bound: Duration) -> Duration {
    let position = rank as f64 / n_engines.max(1) as f64;
    bound.mul_f64(first + (last - first) * position)
}
