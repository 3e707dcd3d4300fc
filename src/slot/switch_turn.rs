//! Spreads the engines' switch to a new version over the time that operators allow.
//!
//! An engine finishes what runs before it loads, and takes nothing new meanwhile. Answers to: a new
//! version under load, where all engines at once would leave nobody to serve.

use std::time::Duration;

/// Waves in which engines switch.
const N_WAVES: usize = 3;
/// Share of the bound after the naming at which the second wave may begin.
const SECOND_WAVE_SHARE: f64 = 0.46;
/// Share of the bound between two later waves.
const WAVE_SHARE: f64 = 0.14;

/// Time after the naming of a version before which an engine should not switch.
///
/// `rank` is its place among `n_engines`; an engine that serves nothing should not wait at all.
pub fn switch_delay(rank: usize, n_engines: usize, bound: Duration) -> Duration {
    match rank * N_WAVES / n_engines.max(1) {
        0 => Duration::ZERO,
        wave => bound.mul_f64(SECOND_WAVE_SHARE + WAVE_SHARE * (wave - 1) as f64),
    }
}
