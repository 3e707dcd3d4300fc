//! Routes: the rules that send requests to a pool or service.

use std::time::Duration;

use crate::{
    ids::{RouteId, ServiceId},
    placement::RegionConstraint,
    routing::Customer,
};

/// Greatest priority that is told from others.
const MAX_PRIORITY: u32 = 9;

/// A route of the charter, which matches requests by host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host name that it matches, in lower case.
    pub host: String,
    /// Prefix of the paths that it matches; it starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Timeout of a request, unless its caller sets a shorter one.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, should arrive.
    pub latency_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Pools and services that its requests are sent to.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no customer key.
    pub is_public: bool,
    /// Regions in which its requests may be served.
    pub regions: RegionConstraint,
}

/// The kind of a route, which says whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The response is a stream of events, which can continue at another engine if it is resumable.
    Stream {
        /// Whether another engine can continue after the last delivered event.
        is_resumable: bool,
    },
}

/// A pool or service of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The pool or service.
    pub service: ServiceId,
    /// Its weight; its share of the requests is this divided by the sum of all weights.
    pub weight: u32,
}

impl Route {
    /// Returns the id of the route.
    pub fn id(&self) -> RouteId {
        format!("{}{}", self.host, self.prefix)
    }

    /// Returns the rank of a customer's request: its customer's priority as the first digit, which goes before
    /// that of the route as the second. 0 is the most urgent. A customer without a priority has that of the
    /// route.
    pub fn rank(&self, customer: Option<&Customer>) -> u32 {
        self.rank_at(customer.and_then(|it| it.priority))
    }

    /// Returns the rank of a request of a customer with this priority.
    pub(crate) fn rank_at(&self, customer_priority: Option<u32>) -> u32 {
        let of_customer = customer_priority.unwrap_or(self.priority).min(MAX_PRIORITY);
        of_customer * (MAX_PRIORITY + 1) + self.priority.min(MAX_PRIORITY)
    }

    /// Returns `true` if a request may be retried after it may have run.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }

    /// Returns `true` if its responses are streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Chooses the pool or service for a request by weight; `random` is uniform in 0 to 1.
    pub fn choose_service(&self, random: f64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut remaining = (random * total as f64) as u64;
        for target in &self.targets {
            if remaining < u64::from(target.weight) {
                return Some(&target.service);
            }
            remaining -= u64::from(target.weight);
        }
        self.targets.first().map(|it| &it.service)
    }
}
