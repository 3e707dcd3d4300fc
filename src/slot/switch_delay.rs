//! Spreads the engines' switches to a new version over the time that operators allow.
//!
//! An engine that is about to switch gets no new requests and finishes most of the running ones.
//! Load pattern: a new version under load, where too few engines would serve requests if all of
//! them switched at the same time.

use std::time::Duration;

/// Share of the bound after a version is published at which the first engine may switch.
const FIRST_SWITCH_SHARE: f64 = 0.3;
/// Share of the bound after a version is published at which the last engine may switch.
const LAST_SWITCH_SHARE: f64 = 0.82;

/// Share of the bound at which the first engine may load a version that is not the newest.
const FIRST_FALLBACK_SHARE: f64 = 0.45;
/// Share of the bound at which the last engine may load a version that is not the newest.
const LAST_FALLBACK_SHARE: f64 = 0.86;

/// Returns the time after a version is published before which an engine should not switch to it.
///
/// `rank` is its rank among `n_engines`; `bound` is the time until no request may begin on an older
/// version. An engine that serves nothing should not wait at all.
pub fn switch_delay(rank: usize, n_engines: usize, bound: Duration) -> Duration {
    spread_delay(rank, n_engines, FIRST_SWITCH_SHARE, LAST_SWITCH_SHARE, bound)
}

/// Returns the time after a version is published before which an engine should not switch to it if
/// a newer version exists but is unavailable.
pub fn fallback_delay(rank: usize, n_engines: usize, bound: Duration) -> Duration {
    spread_delay(rank, n_engines, FIRST_FALLBACK_SHARE, LAST_FALLBACK_SHARE, bound)
}

fn spread_delay(rank: usize, n_engines: usize, first: f64, last: f64, bound: Duration) -> Duration {
    let position = rank as f64 / n_engines.max(1) as f64;
    bound.mul_f64(first + (last - first) * position)
}
