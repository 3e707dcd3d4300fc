//! A route: which requests go to which pool or service, and how.

use std::time::Duration;

use crate::ids::ServiceId;

/// A route of the charter.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host name that it belongs to, in lower case.
    pub host: String,
    /// Begin of the paths that it takes; it begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub goal: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it needs no customer's key.
    pub is_public: bool,
}

/// Whether the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run once at most.
    NonIdempotent,
    /// The answer is a stream of events; it may go on at another engine if it is resumable.
    Stream {
        /// Whether a second engine may go on after the last event delivered.
        is_resumable: bool,
    },
}

/// One of the pools or services of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The pool or service.
    pub service: ServiceId,
    /// Its share of the requests, against the sum of all weights.
    pub weight: u32,
}

impl Route {
    /// Whether a request may be sent once more after it may have run.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }

    /// Whether its answers are streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// The pool or service for a request; `draw` is uniform in 0 to 1.
    pub fn choose_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = (draw * f64::from(total)) as u32;
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        self.targets.first().map(|it| &it.service)
    }
}
