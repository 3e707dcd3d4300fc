//! Remembers which attempts of callers were refused lately, to recognize requests that come back.
//!
//! Load pattern: sustained overload in which callers come back after a refusal, through any entry
//! host.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::placement::{Fingerprint, RequestAttempt};

/// Time for which a refused attempt is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(6);
/// Maximum number of attempts that are remembered; the oldest is forgotten first.
const MAX_ATTEMPTS: usize = 8192;

/// The attempts that were refused lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedRequests {
    refusals: HashMap<Fingerprint, Vec<Refusal>>,
    by_age: VecDeque<(Instant, Fingerprint)>,
}

/// The return of a caller after a refusal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Return {
    /// Time since it asked first.
    pub(crate) age: Duration,
    /// Time since the refusal.
    pub(crate) pause: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    attempt: u64,
    /// Time at which the caller asked first.
    asked: Instant,
    at: Instant,
    /// The attempt with which the caller came back.
    next_attempt: Option<u64>,
}

impl RefusedRequests {
    /// Records the refusal of an attempt, which may be refused several times.
    pub(crate) fn record(&mut self, attempt: RequestAttempt, asked: Instant, now: Instant) {
        self.forget_old(now);
        let refusals = self.refusals.entry(attempt.request).or_default();
        if refusals.iter().any(|it| it.attempt == attempt.number) {
            return;
        }
        refusals.push(Refusal { attempt: attempt.number, asked, at: now, next_attempt: None });
        self.by_age.push_back((now, attempt.request));
    }

    /// Returns the return of a request of which an earlier attempt was refused; `None` if none was.
    ///
    /// Each refusal stands for one return, so that equal requests of other callers don't count as such. One
    /// that asks within `min_return_time` after the refusal is that of another caller.
    pub(crate) fn find_return(
        &mut self,
        attempt: RequestAttempt,
        min_return_time: Duration,
        now: Instant,
    ) -> Option<Return> {
        let refusals = self.refusals.get_mut(&attempt.request)?;
        let is_next = |it: &&mut Refusal| it.next_attempt == Some(attempt.number);
        let is_known = refusals.iter().any(|it| it.attempt == attempt.number);
        let is_own = |it: &&mut Refusal| match it.next_attempt {
            Some(next) => next == attempt.number,
            None => {
                let age = now.saturating_duration_since(it.at);
                (min_return_time..MEMORY_TIME).contains(&age)
            }
        };
        let refusal = match is_known {
            // It asks again, as after a grant that its host can't use.
            true => refusals.iter_mut().find(is_next)?,
            false => refusals.iter_mut().find(is_own)?,
        };
        refusal.next_attempt = Some(attempt.number);
        Some(Return {
            age: now.saturating_duration_since(refusal.asked),
            pause: now.saturating_duration_since(refusal.at),
        })
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, request)) = self.by_age.front().copied() {
            let is_recent = now.saturating_duration_since(at) < MEMORY_TIME;
            if is_recent && self.by_age.len() < MAX_ATTEMPTS {
                return;
            }
            self.by_age.pop_front();
            let Some(refusals) = self.refusals.get_mut(&request) else { continue };
            refusals.remove(0);
            if refusals.is_empty() {
                self.refusals.remove(&request);
            }
        }
    }
}
