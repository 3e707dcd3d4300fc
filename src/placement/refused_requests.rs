//! Remembers which requests were refused lately, to recognize those that come back.
//!
//! Load pattern: sustained overload in which callers come back after a refusal, through any entry
//! host.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::placement::Fingerprint;

/// Time after a refusal within which the same request is another message of the same attempt, as an
/// entry host asks several owners. Callers are told to come back later than this.
const ATTEMPT_TIME: Duration = Duration::from_millis(200);
/// Time after its first refusal for which a request is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(6);
/// Maximum number of requests that are remembered; the oldest is forgotten first.
const MAX_REQUESTS: usize = 8192;

/// The requests that were refused lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedRequests {
    first_refused: HashMap<Fingerprint, Instant>,
    by_age: VecDeque<(Instant, Fingerprint)>,
}

impl RefusedRequests {
    /// Records the refusal of a request.
    pub(crate) fn record(&mut self, request: Fingerprint, now: Instant) {
        self.forget_old(now);
        if self.first_refused.contains_key(&request) {
            return;
        }
        self.first_refused.insert(request, now);
        self.by_age.push_back((now, request));
    }

    /// Returns `true` if an earlier attempt of the request was refused.
    pub(crate) fn is_return(&self, request: Fingerprint, now: Instant) -> bool {
        let Some(refused) = self.first_refused.get(&request) else { return false };
        let age = now.saturating_duration_since(*refused);
        (ATTEMPT_TIME..MEMORY_TIME).contains(&age)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((refused, request)) = self.by_age.front().copied() {
            let is_recent = now.saturating_duration_since(refused) < MEMORY_TIME;
            if is_recent && self.by_age.len() < MAX_REQUESTS {
                return;
            }
            self.by_age.pop_front();
            self.first_refused.remove(&request);
        }
    }
}
