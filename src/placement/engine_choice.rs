//! Chooses the backend server for a request, or none when all are full.
//!
//! Answers to: a steady overload. Prompts that wait at an engine delay the first event of every
//! request behind them and the next event of every stream, so an engine gets a request only while
//! few prompt tokens are unread there and a place is free or about to be.

use crate::placement::Load;

/// Requests beyond its slots that an engine gets, so that a place never stands empty.
const MAX_QUEUED: u32 = 1;
/// Prompt tokens that may be unread at an engine.
const MAX_UNREAD_TOKENS: u32 = 2500;
/// Places that are left free at the engines of other homes, whose load is known late.
const FOREIGN_MARGIN: u32 = 2;
/// Failure rate of a near plain backend server at which a far one is taken.
const MAX_NEAR_FAILURE_RATE: f64 = 0.25;

/// A backend server that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether the own host is its home.
    pub is_own: bool,
    /// Whether it is in the own availability zone.
    pub is_near: bool,
    /// Its load as far as known.
    pub load: Load,
    /// Share of failures among the latest outcomes.
    pub failure_rate: f64,
}

impl Candidate {
    fn has_place(&self, prompt_tokens: u32, is_resumed: bool) -> bool {
        if is_resumed {
            return self.load.n_requests < self.slots;
        }
        let margin = if self.is_own { 0 } else { FOREIGN_MARGIN };
        let unread = self.load.unread_tokens;
        let has_slot = self.load.n_requests + margin < self.slots + MAX_QUEUED;
        has_slot && (unread == 0 || unread + prompt_tokens <= MAX_UNREAD_TOKENS)
    }
}

/// The engine for a prompt: of the own ones if any has a place, else of the others.
///
/// A stream that is to go on takes any free slot, since its caller is reading already.
pub fn choose_engine(
    candidates: &[Candidate],
    prompt_tokens: u32,
    is_resumed: bool,
    draw: f64,
) -> Option<usize> {
    let places = |is_own: bool| {
        let fits = move |it: &(usize, &Candidate)| {
            it.1.is_own == is_own && it.1.has_place(prompt_tokens, is_resumed)
        };
        candidates.iter().enumerate().filter(fits)
    };
    let least = |it: &(usize, &Candidate)| (it.1.load.unread_tokens, it.1.load.n_requests);
    if let Some(own) = places(true).min_by_key(least) {
        return Some(own.0);
    }
    // Others look at the same time, so one of the emptier half is drawn.
    let mut foreign: Vec<(usize, &Candidate)> = places(false).collect();
    foreign.sort_by_key(|it| (!it.1.is_near, least(it)));
    foreign.truncate(foreign.len().div_ceil(2));
    let idx = (draw * foreign.len() as f64) as usize;
    foreign.get(idx).map(|it| it.0)
}

/// The plain backend server for a request: the least loaded near one, unless it fails often.
pub fn choose_plain(candidates: &[Candidate]) -> Option<usize> {
    let cost = |it: &Candidate| {
        let is_bad = it.failure_rate > MAX_NEAR_FAILURE_RATE;
        let is_full = it.load.n_requests >= it.slots.max(1);
        (is_bad || is_full, !it.is_near, it.load.n_requests)
    };
    candidates.iter().enumerate().min_by_key(|it| cost(it.1)).map(|it| it.0)
}
