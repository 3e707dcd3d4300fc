//! Chooses the backend server for a request, or none if all are at capacity.
//!
//! Load pattern: sustained overload. Prompts that are queued at an engine delay the first event of
//! every later request and the next event of every stream. An engine therefore receives a request
//! only while it has few unread prompt tokens and a slot that is free or about to become free.

use crate::placement::Load;

/// Number of requests beyond its slots that an engine receives, so that no slot stays idle.
const MAX_QUEUED: u32 = 1;
/// Maximum number of unread prompt tokens at an engine, unless a single prompt is longer.
const MAX_UNREAD_TOKENS: u32 = 2500;
/// Number by which the request limit is lower for engines that other entry hosts own. It leaves
/// capacity free there, as reports of their load arrive with a delay.
const NOT_OWNED_MARGIN: u32 = 2;
/// Failure rate above which a plain backend server in the own zone loses its preference over one in
/// another zone.
const MAX_NEAR_FAILURE_RATE: f64 = 0.25;

/// A backend server that can be chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether this entry host owns it.
    pub is_own: bool,
    /// Whether it is in this host's availability zone.
    pub is_near: bool,
    /// Its last known load, summed over all entry hosts.
    pub load: Load,
    /// Its failure rate, a moving average over the latest outcomes.
    pub failure_rate: f64,
}

impl Candidate {
    fn has_capacity(&self, prompt_tokens: u32, is_resumed: bool) -> bool {
        if is_resumed {
            return self.load.n_requests < self.slots;
        }
        let margin = if self.is_own { 0 } else { NOT_OWNED_MARGIN };
        let unread = self.load.unread_tokens;
        let has_slot = self.load.n_requests + margin < self.slots + MAX_QUEUED;
        has_slot && (unread == 0 || unread + prompt_tokens <= MAX_UNREAD_TOKENS)
    }
}

/// Returns the index of the engine for a prompt: one that this host owns if any has capacity, else
/// one of the others. `random` is uniform in 0 to 1.
///
/// A resumed stream uses any free slot, since its caller is already reading.
pub fn choose_engine(
    candidates: &[Candidate],
    prompt_tokens: u32,
    is_resumed: bool,
    random: f64,
) -> Option<usize> {
    let eligible = |is_own: bool| {
        let is_eligible = move |it: &(usize, &Candidate)| {
            it.1.is_own == is_own && it.1.has_capacity(prompt_tokens, is_resumed)
        };
        candidates.iter().enumerate().filter(is_eligible)
    };
    let load_order = |it: &(usize, &Candidate)| (it.1.load.unread_tokens, it.1.load.n_requests);
    if let Some(own) = eligible(true).min_by_key(load_order) {
        return Some(own.0);
    }
    // Other hosts choose at the same time, so choose at random from the less loaded half.
    let mut others: Vec<(usize, &Candidate)> = eligible(false).collect();
    others.sort_by_key(|it| (!it.1.is_near, load_order(it)));
    others.truncate(others.len().div_ceil(2));
    let idx = (random * others.len() as f64) as usize;
    others.get(idx).map(|it| it.0)
}

/// Returns the index of the plain backend server for a request: the least loaded one in the own
/// zone, or one in another zone if all of these are full or fail often.
pub fn choose_plain_backend(candidates: &[Candidate]) -> Option<usize> {
    let cost = |it: &Candidate| {
        let fails_often = it.failure_rate > MAX_NEAR_FAILURE_RATE;
        let is_full = it.load.n_requests >= it.slots.max(1);
        (fails_often || is_full, !it.is_near, it.load.n_requests)
    };
    candidates.iter().enumerate().min_by_key(|it| cost(it.1)).map(|it| it.0)
}
