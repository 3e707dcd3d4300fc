//! When a chunk may leave the origin.

/// Chunks that may leave the origin before any is seen.
const FIRST_CHUNKS: u32 = 8;
/// Further chunks that may leave the origin for each chunk that is seen.
const CHUNKS_PER_SEEN: u32 = 2;

/// How many chunks, in the order of turns, may have been asked for when `n_seen` are known to be held.
///
/// The origin shares its rate among all who ask. Few chunks at first let the hosts begin to pass
/// chunks on early; the number then grows with the chunks that are under way.
pub fn n_open(n_seen: u32) -> u32 {
    n_seen.saturating_mul(CHUNKS_PER_SEEN).saturating_add(FIRST_CHUNKS)
}
