//! The limits on their requests that backend servers name in the heads of their responses.

use std::{
    cell::RefCell,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    entry::entry_host::EntryHost,
    ids::RequestId,
    placement::{LimitChange, LimitStatement, ServerLimits},
    relay::{Attempt, BackendResponse, StatedLimit},
};

/// The backend servers that named limits, as far as this host knows.
#[derive(Debug, Default)]
pub(crate) struct LimitedServers {
    limits: RefCell<ServerLimits>,
}

impl LimitedServers {
    /// Returns the number of backend servers that name a limit.
    pub(crate) fn n_limited(&self) -> usize {
        self.limits.borrow().n_limited()
    }

    /// Forgets limits that ended, and those of backend servers that were removed, long ago.
    pub(crate) fn expire(&self, is_registered: impl Fn(&str) -> bool) {
        self.limits.borrow_mut().forget_old(is_registered, Instant::now());
    }
}

/// Applies what the head of a response says of a limit; its request began at `begun`.
pub(crate) fn record(
    host: &EntryHost,
    attempt: &Attempt<'_>,
    response: &BackendResponse,
    begun: Instant,
) {
    let limit = match response.info.limit {
        StatedLimit::Limited(limit) => Some(limit),
        StatedLimit::Unlimited if response.info.has_receipt => None,
        StatedLimit::Unlimited | StatedLimit::Unreadable => return,
    };
    let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let started_ms = attempt.backend_started_ms;
    let statement = LimitStatement {
        backend: attempt.backend.clone(),
        started_ms,
        latest_start_ms: started_ms.max(time_of_day.as_millis() as u64),
        limit,
        begun,
        arrived: Instant::now(),
        is_own: true,
    };
    let change = host.limited_servers.limits.borrow_mut().record(&statement);
    log_change(attempt.request_id, &statement, change);
}

fn log_change(request: &RequestId, statement: &LimitStatement, change: LimitChange) {
    let backend = &statement.backend;
    match change {
        LimitChange::Unchanged => {}
        LimitChange::Named => log::info!(
            "limit: a backend server takes few requests request={request} backend={backend} \
             max_requests_per_s={}",
            statement.limit.map_or(f64::INFINITY, |it| it.max_requests_per_s())
        ),
        LimitChange::Ended { lasted, n_held_back } => log::info!(
            "limit: a backend server names no limit any more request={request} backend={backend} \
             lasted_ms={} held_back={n_held_back}",
            lasted.as_millis()
        ),
    }
}
