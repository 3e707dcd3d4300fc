//! The requests that wait for an engine, in the order in which they are placed.
//!
//! Load pattern: callers of several ranks compete for too little capacity. Urgent requests go first, within
//! a rank those with the shortest prompts, so that most can be in time. Classes that are served too seldom go before all others, so that no
//! rank, size or customer is shut out. A request that can't be in time any more is refused at once, since its
//! caller loses nothing by asking again sooner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    ids::ServiceId,
    placement::{
        rank_counts::CountsByRank, refused_requests::Return, served_shares::ServedShares,
        waiting_request::WaitingRequest, Demand, RankCounts, Refusal, RefusalCause, ReservationId,
    },
};

/// Longest time for which a request may wait, whatever its entry host asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time for messages between the owner, the entry host and the engine, and for the engine's current step.
const START_MARGIN: Duration = Duration::from_millis(10);
/// Factor by which an expected wait may be too long; requests that wait already are refused beyond it.
const MAX_WAIT_ERROR: u32 = 2;
/// Time after a refusal before which a caller that returns gets only what no waiting request can use; all are
/// told to return later. Otherwise callers would gain by asking again and again.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Shortest and longest time after which a refused caller is told to return.
const MIN_RETURN_TIME: Duration = Duration::from_millis(300);
const MAX_RETURN_TIME: Duration = Duration::from_secs(2);

/// The requests that wait for an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    requests: Vec<WaitingRequest>,
    shares: ServedShares,
    counts: CountsByRank,
}

impl WaitingQueue {
    /// Adds a request, with its return if it came back after a refusal.
    pub(crate) fn add(
        &mut self,
        id: ReservationId,
        demand: Demand,
        found: Option<Return>,
        now: Instant,
    ) {
        let age = found.map(|it| it.age);
        let is_hasty = found.is_some_and(|it| it.pause < MIN_PAUSE);
        let needed =
            demand.time_to_first_event.saturating_add(START_MARGIN + age.unwrap_or_default());
        let slack = demand.time_to_objective.saturating_sub(needed);
        let is_ranked = demand.class.is_ranked;
        let is_late_return = age.is_some() && (!is_ranked || is_hasty || slack.is_zero());
        let shortfall = self.shares.shortfall(&demand, now);
        let wait = match shortfall {
            // A returning request is late; waiting, it would take the place of one that is not.
            _ if is_late_return || demand.wait.is_zero() => Duration::ZERO,
            // An engine had it already, or it waits for its turn.
            _ if demand.attempt.is_none() || !demand.in_turn_parts.is_empty() => demand.wait,
            Some(_) => demand.longest_wait(),
            None if is_ranked => demand.max_wait.min(slack),
            None => demand.wait,
        };
        self.requests.push(WaitingRequest {
            id,
            demand,
            is_late_return,
            is_return: age.is_some(),
            asked: now,
            first_asked: age.and_then(|it| now.checked_sub(it)).unwrap_or(now),
            deadline: now + wait.min(MAX_WAIT),
            shortfall,
        });
    }

    /// Removes and returns all requests in the order in which they are placed.
    pub(crate) fn take_ordered(&mut self, now: Instant) -> Vec<WaitingRequest> {
        let mut requests = std::mem::take(&mut self.requests);
        for request in &mut requests {
            request.shortfall = self.shares.shortfall(&request.demand, now);
        }
        requests.sort_by_key(WaitingRequest::place);
        requests
    }

    /// Puts back a request that was not placed.
    pub(crate) fn put_back(&mut self, request: WaitingRequest) {
        self.requests.push(request);
    }

    /// Removes and returns the requests for which `is_ended` returns `true`.
    pub(crate) fn take_ended(
        &mut self,
        is_ended: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let (ended, waiting) = std::mem::take(&mut self.requests).into_iter().partition(is_ended);
        self.requests = waiting;
        ended
    }

    /// Returns the time for which each waiting request will wait, by its place and by what was served
    /// lately; `None` where that says nothing about it.
    pub(crate) fn expected_waits(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&WaitingRequest, Option<Duration>)> {
        let mut n_ahead: BTreeMap<&ServiceId, BTreeMap<u32, u32>> = BTreeMap::new();
        let mut rates: BTreeMap<(&ServiceId, u32), (f64, f64)> = BTreeMap::new();
        self.requests.iter().map(move |request| {
            let Demand { service, rank, class, .. } = &request.demand;
            let ahead = n_ahead.entry(service).or_default();
            let n_urgent: u32 = ahead.range(..rank).map(|it| it.1).sum();
            let n_other: u32 = ahead.range(rank..).map(|it| it.1).sum();
            *ahead.entry(*rank).or_default() += 1;
            if !class.is_ranked || request.shortfall.is_some() {
                return (request, None);
            }
            let (per_s, yielding_per_s) = *rates
                .entry((service, *rank))
                .or_insert_with(|| self.shares.served_per_s(service, *rank, now));
            let wait_s =
                time_to_serve_s(n_urgent, per_s) + time_to_serve_s(n_other + 1, yielding_per_s);
            // Without any grant lately nothing is known of how fast engines become free.
            let is_known = per_s > 0.0;
            (request, is_known.then(|| Duration::from_secs_f64(wait_s.min(MAX_WAIT.as_secs_f64()))))
        })
    }

    /// Returns the waiting requests that will most likely not be placed in time.
    pub(crate) fn hopeless(&self, now: Instant) -> BTreeSet<ReservationId> {
        let is_hopeless = |it: &(&WaitingRequest, Option<Duration>)| {
            let left = it.0.deadline.saturating_duration_since(now);
            it.1.is_some_and(|wait| wait > left * MAX_WAIT_ERROR)
        };
        self.expected_waits(now).filter(is_hopeless).map(|it| it.0.id).collect()
    }

    /// Returns the refusal of a request, with the time after which one like it may find room; `None` if
    /// requests of the service are not ranked.
    pub(crate) fn refusal(
        &self,
        request: &WaitingRequest,
        cause: RefusalCause,
        now: Instant,
    ) -> Option<Refusal> {
        let demand = &request.demand;
        demand.class.is_ranked.then(|| Refusal {
            cause,
            rank: demand.rank,
            waited: now.saturating_duration_since(request.asked),
            room_in: self.time_until_room(demand, now),
        })
    }

    fn time_until_room(&self, demand: &Demand, now: Instant) -> Duration {
        let of_service = self.requests.iter().filter(|it| it.demand.service == demand.service);
        let n_ahead = of_service.filter(|it| it.demand.rank <= demand.rank).count() as u32;
        let (_, yielding_per_s) = self.shares.served_per_s(&demand.service, demand.rank, now);
        let wait_s = time_to_serve_s(n_ahead + 1, yielding_per_s);
        let wait = Duration::from_secs_f64(wait_s.min(MAX_WAIT.as_secs_f64()));
        wait.clamp(MIN_RETURN_TIME, MAX_RETURN_TIME)
    }

    /// Records the decision on a request, whose wait has ended.
    pub(crate) fn record_decision(
        &mut self,
        request: &WaitingRequest,
        is_served: bool,
        now: Instant,
    ) {
        // A request that asks several owners is refused only by the one at which it waits.
        let is_decided = is_served || !request.demand.wait.is_zero();
        if is_decided && !request.is_return && !request.demand.is_resumed {
            self.shares.record(&request.demand, is_served, now);
            match is_served {
                true => self.counts.record_served(request.demand.rank, request.slack(now)),
                false => self.counts.record_refused(request.demand.rank),
            }
        }
    }

    /// Returns the numbers of decisions by rank.
    pub(crate) fn rank_counts(&self) -> BTreeMap<u32, RankCounts> {
        self.counts.with_waiting(self.requests.iter().map(|it| it.demand.rank))
    }

    /// Returns the waiting requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.requests.iter()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}

/// Returns the time in seconds to serve `n` requests, which is infinite if none were served lately.
fn time_to_serve_s(n: u32, per_s: f64) -> f64 {
    match n {
        0 => 0.0,
        n => f64::from(n) / per_s.max(f64::MIN_POSITIVE),
    }
}
