//! Takeover and hedge delays of a fetch, computed from measured times.

use std::time::Duration;

/// Shortest delay after which the next rank takes a chunk over.
const MIN_TAKEOVER: Duration = Duration::from_secs(2);
/// Longest delay after which rank 1 takes a chunk over.
const MAX_TAKEOVER: Duration = Duration::from_secs(60);
/// Number of chunk times that a chunk may need to spread in a region.
const TAKEOVER_CHUNK_TIMES: u32 = 64;
/// Highest rank up to which the takeover delay doubles.
const MAX_DOUBLED_RANK: u32 = 6;
/// Shortest delay before a chunk is requested from a second neighbour.
const MIN_HEDGE: Duration = Duration::from_millis(800);
/// Longest delay before a chunk is requested from a second neighbour.
const MAX_HEDGE: Duration = Duration::from_secs(20);
/// Multiple of a neighbour's mean response time after which its response is late.
const HEDGE_RESPONSE_TIMES: u32 = 4;
/// Minimum hedge delay in chunk times; it is the hedge delay of a neighbour whose response time is
/// not yet measured.
const HEDGE_CHUNK_TIMES: u32 = 16;
/// Weight of the newest response time in the moving average.
const NEWEST_WEIGHT: f64 = 0.25;

/// Returns the takeover delay of rank 1, counted from when a chunk enters the origin window.
///
/// `chunk_time` is the transfer time of one chunk at the host's current rate; `origin_time` is the
/// time in which the origin sends all chunks of the window at the rate measured so far. A stalled
/// fetch lowers that rate, so `origin_time` can at most double the result.
pub fn takeover_base(chunk_time: Duration, origin_time: Duration) -> Duration {
    let region_time = chunk_time * TAKEOVER_CHUNK_TIMES;
    let expected = origin_time.clamp(region_time, region_time * 2);
    expected.clamp(MIN_TAKEOVER, MAX_TAKEOVER)
}

/// Returns the takeover delay of `rank`: 0 for rank 0 and `base` for rank 1.
///
/// The step to the next rank doubles up to rank `MAX_DOUBLED_RANK`; each rank after it adds `base`.
pub fn takeover_delay(base: Duration, rank: u32) -> Duration {
    let factor = (1u32 << rank.min(MAX_DOUBLED_RANK)) - 1;
    let beyond = rank.saturating_sub(MAX_DOUBLED_RANK);
    base * factor + base * beyond
}

/// Returns the delay after which a chunk is requested from a second neighbour.
///
/// `response_time` is the mean response time of the first one, `chunk_time` the transfer time of a
/// chunk.
pub fn hedge_delay(response_time: Option<Duration>, chunk_time: Duration) -> Duration {
    let expected = match response_time {
        Some(it) => it * HEDGE_RESPONSE_TIMES,
        None => chunk_time * HEDGE_CHUNK_TIMES,
    };
    expected.max(chunk_time * HEDGE_CHUNK_TIMES).clamp(MIN_HEDGE, MAX_HEDGE)
}

/// Returns the exponential moving average of response times after a new one.
pub fn mean_response_time(mean: Option<Duration>, newest: Duration) -> Duration {
    let Some(mean) = mean else { return newest };
    mean.mul_f64(1.0 - NEWEST_WEIGHT) + newest.mul_f64(NEWEST_WEIGHT)
}
