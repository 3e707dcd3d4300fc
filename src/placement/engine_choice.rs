//! Chooses the engine for a request, or none if all are at capacity.
//!
//! Load pattern: sustained overload. Prompts that are queued at an engine delay the first event of
//! every later request and the next event of every stream. An engine therefore receives a request
//! only while it has few unread prompt tokens and a slot that is free or about to become free.

use crate::placement::Load;

/// Number of requests beyond its slots that an engine receives, so that no slot stays idle.
const MAX_QUEUED: u32 = 1;
/// Maximum number of unread prompt tokens at an engine, unless a single prompt is longer.
const MAX_UNREAD_TOKENS: u32 = 2500;

/// An engine that can be chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The number of requests that it processes at once; 0 if it must get none.
    pub slots: u32,
    /// Its load, summed over all entry hosts.
    pub load: Load,
}

impl Candidate {
    /// Returns `true` if the engine has a slot that is free or about to become free.
    pub fn has_slot(&self) -> bool {
        self.slots > 0 && self.load.n_requests < self.slots + MAX_QUEUED
    }

    fn has_capacity(&self, prompt_tokens: u32, is_resumed: bool) -> bool {
        if is_resumed {
            return self.load.n_requests < self.slots;
        }
        let unread = self.load.unread_tokens;
        self.has_slot()
            && (unread == 0 || unread.saturating_add(prompt_tokens) <= MAX_UNREAD_TOKENS)
    }
}

/// Returns the index of the engine for a prompt: the one with the fewest unread tokens of those
/// that have capacity and for which `is_free` returns `true`.
///
/// A resumed stream uses any free slot, since its caller is already reading.
pub fn choose_engine(
    candidates: &[Candidate],
    prompt_tokens: u32,
    is_resumed: bool,
    is_free: impl Fn(usize) -> bool,
) -> Option<usize> {
    let with_capacity = candidates
        .iter()
        .enumerate()
        .filter(|it| it.1.has_capacity(prompt_tokens, is_resumed) && is_free(it.0));
    let by_load = with_capacity.min_by_key(|it| (it.1.load.unread_tokens, it.1.load.n_requests));
    by_load.map(|it| it.0)
}
