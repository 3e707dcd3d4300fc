//! Deadlines of a fetch, from measured times.

use std::time::Duration;

/// Shortest time after which the next rank takes a chunk over.
const MIN_TAKEOVER: Duration = Duration::from_secs(2);
/// Longest time after which rank 1 takes a chunk over.
const MAX_TAKEOVER: Duration = Duration::from_secs(60);
/// Chunk times that a chunk may need to become known in a region.
const TAKEOVER_CHUNK_TIMES: u32 = 64;
/// Greatest rank by which the takeover deadline is still doubled.
const MAX_DOUBLED_RANK: u32 = 6;
/// Shortest time after which a second neighbour is asked for a chunk.
const MIN_HEDGE: Duration = Duration::from_millis(800);
/// Longest time after which a second neighbour is asked.
const MAX_HEDGE: Duration = Duration::from_secs(20);
/// Usual answer times of a neighbour after which its answer is late.
const HEDGE_ANSWER_TIMES: u32 = 4;
/// Chunk times after which an answer of a neighbour that was never measured is late.
const HEDGE_CHUNK_TIMES: u32 = 16;
/// Weight of the newest answer time in the running mean.
const NEWEST_WEIGHT: f64 = 0.25;

/// Time that rank 1 waits for a chunk whose turn has come.
///
/// `chunk_time` is that of one chunk at the host's present rate, `origin_time` the time in which the
/// origin sends all chunks whose turn has come, at the rate seen so far. A stalled fetch lowers that
/// rate, so its influence is bounded.
pub fn takeover_base(chunk_time: Duration, origin_time: Duration) -> Duration {
    let region_time = chunk_time * TAKEOVER_CHUNK_TIMES;
    let expected = origin_time.clamp(region_time, region_time * 2);
    expected.clamp(MIN_TAKEOVER, MAX_TAKEOVER)
}

/// Time that a host of `rank` waits; 0 for rank 0, then `base`, doubled with each rank.
pub fn takeover_delay(base: Duration, rank: u32) -> Duration {
    let factor = (1u32 << rank.min(MAX_DOUBLED_RANK)) - 1;
    let beyond = rank.saturating_sub(MAX_DOUBLED_RANK);
    base * factor + base * beyond
}

/// Time after which a second neighbour is asked for a chunk.
pub fn hedge_delay(answer_time: Option<Duration>, chunk_time: Duration) -> Duration {
    let expected = match answer_time {
        Some(it) => it * HEDGE_ANSWER_TIMES,
        None => chunk_time * HEDGE_CHUNK_TIMES,
    };
    expected.max(chunk_time * HEDGE_CHUNK_TIMES).clamp(MIN_HEDGE, MAX_HEDGE)
}

/// The running mean of answer times after a new one.
pub fn mean_answer_time(mean: Option<Duration>, newest: Duration) -> Duration {
    let Some(mean) = mean else { return newest };
    mean.mul_f64(1.0 - NEWEST_WEIGHT) + newest.mul_f64(NEWEST_WEIGHT)
}
