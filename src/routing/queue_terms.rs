//! The terms on which a request waits for an engine, by the charter.

use std::time::Duration;

use crate::{
    ids::ServiceId,
    placement::RequestClass,
    routing::{Customer, Route, RoutingCharter},
};

/// Longest share of the latency objective for which a request waits. A request that begins later has too
/// little time left to read its prompt, and holding its caller longer keeps it from asking elsewhere.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The terms on which a request waits for an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueTerms {
    /// The groups of requests that it belongs to.
    pub class: RequestClass,
    /// Expected time from its start at an engine until its first event.
    pub time_to_first_event: Duration,
    /// Longest time for which it waits.
    pub max_wait: Duration,
}

impl RoutingCharter {
    /// Returns the terms of a request of a route and customer.
    pub fn queue_terms(
        &self,
        route: &Route,
        service: &ServiceId,
        customer: Option<&Customer>,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> QueueTerms {
        let Some(engine) = self.engine(service) else { return QueueTerms::default() };
        let class = RequestClass {
            kind: digest(&[&route.host, &route.prefix]),
            customer: customer.map_or(0, |it| digest(&[it.id.as_str()])),
            is_ranked: self.ranked_services.contains(service),
        };
        let time_to_first_event = engine.cost(prompt_tokens, output_tokens).time_to_first_event();
        let max_wait = route.latency_objective.mul_f64(MAX_WAIT_SHARE);
        QueueTerms { class, time_to_first_event, max_wait }
    }
}

fn digest(names: &[&str]) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    let mut prefix = [0; 4];
    hasher.finalize_xof().fill(&mut prefix);
    u32::from_le_bytes(prefix)
}
