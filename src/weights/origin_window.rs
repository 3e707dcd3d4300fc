//! The number of chunks that may be requested from the origin so far.

/// Size of the window while no chunk is available.
const INITIAL_WINDOW: u32 = 8;
/// Number of chunks by which the window grows for each available chunk.
const CHUNKS_PER_AVAILABLE: u32 = 2;

/// Returns how many chunks, in origin order, may have been requested from the origin when
/// `n_available` are stored by this host or its neighbours.
///
/// The origin divides its rate among all requests. A small first window makes the first chunks
/// complete early, so that hosts start to exchange them; it then grows with the number of available
/// chunks.
pub fn window_size(n_available: u32) -> u32 {
    n_available.saturating_mul(CHUNKS_PER_AVAILABLE).saturating_add(INITIAL_WINDOW)
}
