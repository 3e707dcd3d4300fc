//! Logs the refusals of an owner of engines.

use std::time::Instant;

use crate::{
    logging::{LineDecision, RateLimit},
    placement::Refusal,
};

/// Maximum number of log lines per second.
const LINES_PER_S: u32 = 20;

thread_local! {
    static LIMIT: RateLimit = RateLimit::new(LINES_PER_S);
}

/// Logs what decided that a request got no capacity, if lines are left.
pub(crate) fn log_refusal(refusal: &Refusal) {
    let LineDecision::Write { n_dropped } = LIMIT.with(|it| it.decide(Instant::now())) else {
        return;
    };
    log::info!(
        "cell: refused by={} rank={} waited_ms={} room_in_ms={} left_out={n_dropped}",
        refusal.cause.as_str(),
        refusal.rank,
        refusal.waited.as_millis(),
        refusal.room_in.as_millis(),
    );
}
