//! Spreads the engines' switch to a new version over the time that operators allow.
//!
//! An engine that is about to switch gets nothing new and finishes most of what runs. Answers to: a
//! new version under load, where engines that switch at the same time leave too few to serve.

use std::time::Duration;

/// Share of the bound after the naming at which the first engine may switch.
const FIRST_SWITCH_SHARE: f64 = 0.3;
/// Share of the bound after the naming at which the last engine may switch.
const LAST_SWITCH_SHARE: f64 = 0.82;

/// Share of the bound at which the first engine takes an earlier version than the newest.
const FIRST_FALLBACK_SHARE: f64 = 0.45;
/// Share of the bound at which the last engine does.
const LAST_FALLBACK_SHARE: f64 = 0.86;

/// Time after the naming of a version before which an engine should not switch.
///
/// `rank` is its position among `n_engines`; an engine that serves nothing should not wait at all.
pub fn switch_delay(rank: usize, n_engines: usize, bound: Duration) -> Duration {
    spread_delay(rank, n_engines, FIRST_SWITCH_SHARE, LAST_SWITCH_SHARE, bound)
}

/// Time after the naming of a version before which an engine should not take it if there is a newer
/// one that can't be had now.
pub fn fallback_delay(rank: usize, n_engines: usize, bound: Duration) -> Duration {
    spread_delay(rank, n_engines, FIRST_FALLBACK_SHARE, LAST_FALLBACK_SHARE, bound)
}

fn spread_delay(rank: usize, n_engines: usize, first: f64, last: f64, bound: Duration) -> Duration {
    let position = rank as f64 / n_engines.max(1) as f64;
    bound.mul_f64(first + (last - first) * position)
}
