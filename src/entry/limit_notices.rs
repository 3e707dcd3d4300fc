//! Learns the limits that backend servers name on the requests of all hosts together, in the heads of
//! their responses, and tells the other entry hosts.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    clock,
    entry::{datagrams, entry_host::EntryHost, limit_log},
    fleet::{LimitNotice, PeerMessage},
    ids::BackendId,
    placement::{LimitChange, LimitStatement},
    relay::{Attempt, BackendResponse, StatedLimit},
    runtime,
};

/// Time after which a change is sent once more, as a datagram may be lost, and before which no further
/// one is sent.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of notices in one datagram.
const MAX_NOTICES: usize = 256;

/// Applies what the head of a response says of a limit; its request began at `begun`.
pub(crate) fn record(
    host: &Rc<EntryHost>,
    attempt: &Attempt<'_>,
    response: &BackendResponse,
    begun: Instant,
) {
    let limit = match response.info.limit {
        StatedLimit::Limited(limit) => Some(limit),
        StatedLimit::Unlimited if !host.limited_servers.has_limits() => return,
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
    let source = format!("request={}", attempt.request_id);
    if apply_statement(host, &statement, &source) {
        announce(host, &statement.backend);
    }
}

/// Applies the notices of another entry host.
pub(crate) fn apply(host: &EntryHost, from: SocketAddr, notices: &[LimitNotice]) {
    let now = Instant::now();
    let max_delay = host.stalls.borrow_mut().max_delay(clock::now());
    for notice in notices {
        if let Some(statement) = notice.statement(max_delay, now) {
            apply_statement(host, &statement, &format!("from={from}"));
        }
    }
}

/// Sends a host that has just started all limits that this host knows.
pub(crate) fn send_all(host: &EntryHost, target: SocketAddr) {
    send(host, &[target], &host.limited_servers.statements());
}

/// Sends other hosts the limits of which this host has the latest response.
pub(crate) fn send_own(host: &EntryHost, targets: &[SocketAddr]) {
    let mut statements = host.limited_servers.statements();
    statements.retain(|it| it.is_own);
    send(host, targets, &statements);
}

/// Applies what a response said that `source` names; returns `true` if that is to be told at once.
fn apply_statement(host: &EntryHost, statement: &LimitStatement, source: &str) -> bool {
    let change = host.limited_servers.record(statement);
    if matches!(change, LimitChange::Unchanged | LimitChange::Adjusted) {
        return false;
    }
    limit_log::log_change(statement, change, source);
    host.cell_owner.decide_waiting(host);
    true
}

/// Tells all other hosts of a change, twice.
fn announce(host: &Rc<EntryHost>, backend: &BackendId) {
    if !host.limited_servers.begin_announcement(backend) {
        return;
    }
    let (host, backend) = (host.clone(), backend.clone());
    let send_twice = async move {
        send_newest(&host, &backend);
        runtime::sleep(REPEAT_DELAY).await;
        host.limited_servers.end_announcement(&backend);
        send_newest(&host, &backend);
    };
    runtime::spawn_local(send_twice).detach();
}

fn send_newest(host: &EntryHost, backend: &BackendId) {
    let statement = host.limited_servers.statement(backend);
    let targets: Vec<SocketAddr> = host.beacon_targets.borrow().keys().copied().collect();
    send(host, &targets, statement.as_slice());
}

fn send(host: &EntryHost, targets: &[SocketAddr], statements: &[LimitStatement]) {
    let now = Instant::now();
    for statements in statements.chunks(MAX_NOTICES) {
        let notices = statements.iter().map(|it| LimitNotice::new(it, now)).collect();
        datagrams::send(host, targets, &PeerMessage::RequestLimits(notices));
    }
}
