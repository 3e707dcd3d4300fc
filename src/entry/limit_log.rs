//! Logs the limits that backend servers name.

use std::time::Instant;

use crate::{
    logging::{LineDecision, RateLimit},
    placement::{LimitChange, LimitStatement},
};

/// Maximum number of log lines per second, as a server may name another limit in each response.
const LINES_PER_S: u32 = 10;

thread_local! {
    static LIMIT: RateLimit = RateLimit::new(LINES_PER_S);
}

/// Logs a change by a statement, if lines are left; `source` is a log field that names the response, or
/// the entry host that told of it.
pub(crate) fn log_change(statement: &LimitStatement, change: LimitChange, source: &str) {
    let LineDecision::Write { n_dropped } = LIMIT.with(|it| it.decide(Instant::now())) else {
        return;
    };
    let backend = &statement.backend;
    match (change, statement.limit) {
        (LimitChange::Ended { lasted, n_held_back }, _) => log::info!(
            "limit: a backend server names no limit any more {source} backend={backend} \
             lasted_ms={} held_back={n_held_back} left_out={n_dropped}",
            lasted.as_millis()
        ),
        (_, Some(limit)) => log::info!(
            "limit: a backend server takes few requests {source} backend={backend} \
             max_requests_per_s={} age_ms={} left_out={n_dropped}",
            limit.max_requests_per_s(),
            statement.arrived.elapsed().as_millis()
        ),
        (_, None) => {}
    }
}
