//! What happens in an emulated pool.

use crocustiller::placement::PartDigest;

use super::BAD;

/// A day in an emulated pool; times are in milliseconds.
#[derive(Clone)]
pub(crate) struct Day {
    pub(crate) n_hosts: usize,
    pub(crate) n_engines: usize,
    pub(crate) sound_per_s: f64,
    pub(crate) bad_per_s: f64,
    /// The parts that bad requests have beside those of sound ones, in this place of the prompt.
    pub(crate) bad_parts: Vec<Vec<PartDigest>>,
    pub(crate) bad_place: usize,
    /// When engines crash for another reason than a request, and which.
    pub(crate) crashes: Vec<(u64, Vec<usize>)>,
    pub(crate) loss: f64,
    /// Whether requests with a suspected part begin one after the other, as owners of cells see to while
    /// they are heard.
    pub(crate) begins_in_turn: bool,
    /// The hosts before this one receive nothing from the others until `joined_ms`.
    pub(crate) split_at: usize,
    pub(crate) joined_ms: u64,
    pub(crate) restart_ms: Option<u64>,
    pub(crate) end_ms: u64,
}

impl Day {
    pub(crate) fn new(n_hosts: usize, n_engines: usize) -> Day {
        Day {
            n_hosts,
            n_engines,
            sound_per_s: 12.0 * n_engines as f64,
            bad_per_s: 4.0,
            bad_parts: vec![vec![BAD]],
            bad_place: 1,
            crashes: Vec::new(),
            loss: 0.05,
            begins_in_turn: false,
            split_at: 0,
            joined_ms: 0,
            restart_ms: None,
            end_ms: 12_000,
        }
    }
}
