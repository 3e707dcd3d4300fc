//! A request at an engine of an emulated pool.

use crocustiller::placement::PartDigest;

pub(super) struct Attempt {
    pub(super) host: usize,
    pub(super) engine: usize,
    pub(super) parts: Vec<PartDigest>,
    pub(super) request: u64,
    pub(super) sent: u64,
    pub(super) is_starting: bool,
    pub(super) n_before: u32,
}
