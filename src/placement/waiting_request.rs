//! A request that waits for an engine.

use std::time::{Duration, Instant};

use crate::placement::{served_shares::Shortfall, Demand, RefusalCause, ReservationId};

/// A request that waits for an engine.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// Its id.
    pub(crate) id: ReservationId,
    /// What it needs.
    pub(crate) demand: Demand,
    /// Whether it gets only capacity that no other waiting request can use: it came back too early or too late
    /// after a refusal, or its service isn't ranked.
    pub(crate) is_deferred: bool,
    /// Whether it came back after a refusal.
    pub(crate) is_return: bool,
    /// Time at which it asked.
    pub(crate) asked: Instant,
    /// Time at which its caller asked first.
    pub(crate) first_asked: Instant,
    /// Time at which its wait ends.
    pub(crate) deadline: Instant,
    /// The class of it that was served too seldom when the requests were last ordered.
    pub(crate) shortfall: Option<Shortfall>,
}

/// The place of a request among those that wait; lower ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    precedence: Precedence,
    rank: u32,
    prompt_tokens: u32,
    asked: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// Its caller is already reading the response.
    Reading,
    /// A class of it is served too seldom.
    Shortfall,
    Usual,
    /// It gets only what no other one can use.
    Deferred,
}

impl WaitingRequest {
    /// Returns what decides on it if it is refused at its deadline.
    pub(crate) fn cause_at_deadline(&self) -> RefusalCause {
        match self.is_deferred {
            true => RefusalCause::LateReturn,
            false => RefusalCause::WaitEnded,
        }
    }

    /// Returns the time that it has left until it must begin.
    pub(crate) fn slack(&self, now: Instant) -> Duration {
        self.demand.slack_after(now.saturating_duration_since(self.first_asked))
    }

    /// Returns the time until its wait ends.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the place of the request.
    ///
    /// Where requests don't differ in rank, all are placed by arrival, also those of classes that are served
    /// too seldom, so that the largest ones are served, too.
    pub(crate) fn place(&self) -> Place {
        let is_ranked = self.demand.class.is_ranked;
        let precedence = match self.shortfall {
            _ if self.is_deferred => Precedence::Deferred,
            _ if is_ranked && self.demand.is_resumed => Precedence::Reading,
            Some(_) if is_ranked => Precedence::Shortfall,
            _ => Precedence::Usual,
        };
        let rank = if is_ranked { self.demand.rank } else { 0 };
        let is_by_size = is_ranked && precedence == Precedence::Usual;
        let prompt_tokens = if is_by_size { self.demand.prompt_tokens } else { 0 };
        Place { precedence, rank, prompt_tokens, asked: self.asked }
    }
}
