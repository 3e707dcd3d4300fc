//! The requests that wait for an engine, in the order in which they are placed.
//!
//! Load pattern: callers of several ranks compete for too little capacity. Urgent requests go first, and
//! within a rank those with the shortest prompts, so that most meet their objective. Classes that are
//! served too seldom go before all others, so that no rank, size or customer is starved. A request that can
//! no longer meet its objective is refused at once, so that its caller can retry sooner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    ids::ServiceId,
    placement::{
        drain_rate::DrainRate, rank_counts::CountsByRank, refused_requests::Return,
        served_shares::ServedShares, waiting_request::WaitingRequest, Demand, RankCounts, Refusal,
        RefusalCause, ReservationId,
    },
};

/// Longest time for which a request may wait, whatever its entry host asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Factor by which an expected wait may be too long; requests that wait already are refused beyond it.
const MAX_WAIT_ERROR: u32 = 2;
/// Time after a refusal before which a caller that returns gets only what no waiting request can use; all are
/// told to return later. Otherwise callers would gain by asking again and again.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Shortest time after which a refused caller is told to return; longer than `MIN_PAUSE`, so that a caller
/// that does as told is not deferred.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest time after which a refused caller is told to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The requests that wait for an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    requests: Vec<WaitingRequest>,
    shares: ServedShares,
    drain_rates: BTreeMap<ServiceId, DrainRate>,
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
        let is_too_early = found.is_some_and(|it| it.pause < MIN_PAUSE);
        let slack = demand.slack_after(age.unwrap_or_default());
        let is_ranked = demand.class.is_ranked;
        let is_deferred = age.is_some() && (!is_ranked || is_too_early || slack.is_zero());
        let shortfall = self.shares.shortfall(&demand, now);
        let wait = match shortfall {
            // A returning request is late; waiting, it would take the place of one that is not.
            _ if is_deferred || !demand.may_wait() => Duration::ZERO,
            _ if has_fixed_wait(&demand) => demand.wait,
            Some(_) => demand.longest_wait(),
            None if is_ranked => demand.max_wait.min(slack),
            None => demand.wait,
        };
        self.requests.push(WaitingRequest {
            id,
            demand,
            is_deferred,
            is_return: age.is_some(),
            asked: now,
            first_asked: age.and_then(|it| now.checked_sub(it)).unwrap_or(now),
            deadline: now + wait.min(MAX_WAIT),
            shortfall,
        });
    }

    /// Removes and returns all requests in the order in which they are placed.
    pub(crate) fn take_ordered(&mut self, now: Instant) -> Vec<WaitingRequest> {
        self.record_waiting(now);
        let mut requests = std::mem::take(&mut self.requests);
        for request in &mut requests {
            request.shortfall = self.shares.shortfall(&request.demand, now);
        }
        requests.sort_by_key(WaitingRequest::place);
        requests
    }

    fn record_waiting(&mut self, now: Instant) {
        let mut waiting_since: BTreeMap<&ServiceId, Instant> = BTreeMap::new();
        for request in self.requests.iter().filter(|it| it.demand.class.is_ranked) {
            let since = waiting_since.entry(&request.demand.service).or_insert(now);
            *since = request.asked.min(*since);
        }
        for (service, since) in waiting_since {
            self.drain_rates.entry(service.clone()).or_default().record_waiting(since, now);
        }
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
    ) -> impl Iterator<Item = (&WaitingRequest, Option<Duration>)> {
        let mut n_ahead: BTreeMap<&ServiceId, BTreeMap<u32, u32>> = BTreeMap::new();
        self.requests.iter().map(move |request| {
            let Demand { service, rank, class, .. } = &request.demand;
            let ahead = n_ahead.entry(service).or_default();
            let n_urgent: u32 = ahead.range(..rank).map(|it| it.1).sum();
            let n_other: u32 = ahead.range(rank..).map(|it| it.1).sum();
            *ahead.entry(*rank).or_default() += 1;
            if !class.is_ranked || request.shortfall.is_some() || has_fixed_wait(&request.demand) {
                return (request, None);
            }
            let rate = self.drain_rates.get(service);
            (request, rate.and_then(|it| it.expected_wait(*rank, n_urgent, n_other + 1)))
        })
    }

    /// Returns the waiting requests that will not be placed in time by the estimate.
    pub(crate) fn late_by_estimate(&self, now: Instant) -> BTreeSet<ReservationId> {
        let is_late = |it: &(&WaitingRequest, Option<Duration>)| {
            it.1.is_some_and(|wait| wait > it.0.time_left(now) * MAX_WAIT_ERROR)
        };
        self.expected_waits().filter(is_late).map(|it| it.0.id).collect()
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
            room_in: self.time_until_room(demand),
        })
    }

    fn time_until_room(&self, demand: &Demand) -> Duration {
        let of_service = || self.requests.iter().filter(|it| it.demand.service == demand.service);
        let n_urgent = of_service().filter(|it| it.demand.rank < demand.rank).count() as u32;
        let n_equal = of_service().filter(|it| it.demand.rank == demand.rank).count() as u32;
        let rate = self.drain_rates.get(&demand.service);
        let wait = rate.and_then(|it| it.expected_wait(demand.rank, n_urgent, n_equal + 1));
        wait.unwrap_or_default().clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Records the decision on a request, whose wait has ended.
    pub(crate) fn record_decision(
        &mut self,
        request: &WaitingRequest,
        is_served: bool,
        now: Instant,
    ) {
        if let Some(rate) = self.drain_rates.get_mut(&request.demand.service).filter(|_| is_served)
        {
            rate.record_grant(request.demand.rank);
        }
        // A request that asks several owners is refused only by the one at which it waits.
        let is_decided = is_served || request.demand.may_wait();
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

    /// Returns the last waiting request of a service if more than `max_waiting` of them wait.
    pub(crate) fn last_beyond(&self, service: &str, max_waiting: usize) -> Option<ReservationId> {
        let of_service = || self.requests.iter().filter(|it| it.demand.service == service);
        of_service().nth(max_waiting).and_then(|_| of_service().next_back()).map(|it| it.id)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}

/// Returns `true` if a request waits for the whole time that its entry host asks for: an engine has already
/// received it, or it waits for its turn.
fn has_fixed_wait(demand: &Demand) -> bool {
    demand.attempt.is_none() || !demand.in_turn_parts.is_empty()
}
