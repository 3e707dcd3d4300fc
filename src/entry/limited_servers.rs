//! The limits that backend servers name on the requests of all hosts together, in the heads of their
//! responses.
//!
//! Each host keeps to its own share of them, and tells the others what it heard.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    clock,
    entry::{datagrams, eligible_servers::n_layers, entry_host::EntryHost, limit_log},
    fleet::{LimitNotice, PeerMessage},
    ids::BackendId,
    placement::{
        LimitChange, LimitStatement, RecentRequests, RequestLimit, RequestQuota, ServerLimits,
        ShareRank,
    },
    relay::{Attempt, BackendResponse, StatedLimit},
    routing::BackendServer,
    runtime,
};

/// Time after which a change is sent once more, as a datagram may be lost, and before which no further
/// one is sent.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of notices in one datagram.
const MAX_NOTICES: usize = 256;

/// The backend servers that named limits, as far as this host knows, and its own requests.
#[derive(Debug, Default)]
pub(crate) struct LimitedServers {
    limits: RefCell<ServerLimits>,
    /// The requests of this host to all backend servers.
    sent: RefCell<RecentRequests>,
    /// This host's place in the division of requests to servers with limits.
    ranks: RefCell<HashMap<BackendId, CachedRank>>,
    /// The backend servers of which a change is being sent to the other hosts.
    announced: RefCell<BTreeSet<BackendId>>,
    /// Requests that this host refused as all backend servers had named limits.
    n_refused: Cell<u64>,
}

/// The place of this host among a number of known hosts, of which none is ever forgotten.
#[derive(Clone, Copy, Debug)]
struct CachedRank {
    n_known: usize,
    rank: ShareRank,
}

impl LimitedServers {
    /// Returns the limit that a backend server named, for the owner that grants requests to it.
    pub(crate) fn limit(&self, server: &BackendServer, now: Instant) -> Option<RequestLimit> {
        self.limits.borrow().limit(&server.id, server.started_ms, now)
    }

    /// Returns the time until this host may send a backend server one more request; `None` if it may now.
    pub(crate) fn time_left(&self, host: &EntryHost, server: &BackendServer) -> Option<Duration> {
        let now = Instant::now();
        let limit = self.limit(server, now)?;
        // An earlier process of this host may have used its share.
        let share_from = host.started + RequestLimit::WINDOW;
        if now < share_from {
            return Some(share_from - now);
        }
        let Some(quota) = self.quota(host, server, &limit) else { return Some(limit.interval()) };
        let due = self.sent.borrow().next_due(&server.id, &quota, now)?;
        Some(due.saturating_duration_since(now))
    }

    /// Counts a request that goes elsewhere because of the limit of a backend server.
    pub(crate) fn note_held_back(&self, server: &BackendServer) {
        self.limits.borrow_mut().note_held_back(&server.id);
    }

    /// Counts a request that is refused as all backend servers named limits.
    pub(crate) fn note_refused(&self) {
        self.n_refused.set(self.n_refused.get() + 1);
    }

    /// Records that a request to a backend server begins.
    pub(crate) fn note_begun(&self, server: &BackendServer, now: Instant) {
        self.sent.borrow_mut().record(&server.id, now);
    }

    /// Takes back a request that began at `begun` and was not sent.
    pub(crate) fn take_back(&self, backend: &BackendId, begun: Instant) {
        self.sent.borrow_mut().take_back(backend, begun);
    }

    /// Returns the number of backend servers that name a limit.
    pub(crate) fn n_limited(&self) -> usize {
        self.limits.borrow().n_limited()
    }

    /// Returns the number of requests that this host refused as all backend servers had named limits.
    pub(crate) fn n_refused(&self) -> u64 {
        self.n_refused.get()
    }

    /// Returns `true` if any backend server may have a limit.
    pub(crate) fn has_limits(&self) -> bool {
        !self.limits.borrow().is_empty()
    }

    /// Forgets limits that ended, and those of backend servers that were removed, long ago.
    pub(crate) fn expire(&self, is_registered: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut limits = self.limits.borrow_mut();
        limits.forget_old(is_registered, now);
        if limits.is_empty() {
            self.ranks.borrow_mut().clear();
        }
        self.sent.borrow_mut().forget_old(now);
    }

    /// Returns the quota of this host for a backend server; `None` if it must send it nothing.
    fn quota(
        &self,
        host: &EntryHost,
        server: &BackendServer,
        limit: &RequestLimit,
    ) -> Option<RequestQuota> {
        let rank = self.rank(host, server)?;
        match n_layers(host, &server.service) {
            Some(_) => limit.engine_quota(rank),
            None => limit.plain_quota(rank),
        }
    }

    /// Returns the place of this host in the division of requests to a backend server; `None` until it
    /// knows the other hosts.
    fn rank(&self, host: &EntryHost, server: &BackendServer) -> Option<ShareRank> {
        if !host.knows_entry_hosts.get() {
            return None;
        }
        let n_known = host.beacon_targets.borrow().len();
        let cached = self.ranks.borrow().get(&server.id).copied();
        if let Some(cached) = cached.filter(|it| it.n_known == n_known) {
            return Some(cached.rank);
        }
        let rank = host.entry_share().rank(&server.id);
        self.ranks.borrow_mut().insert(server.id.clone(), CachedRank { n_known, rank });
        Some(rank)
    }
}

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
    let statements: Vec<LimitStatement> =
        host.limited_servers.limits.borrow().statements().collect();
    send(host, &[target], &statements);
}

/// Sends other hosts the limits of which this host has the latest response.
pub(crate) fn send_own(host: &EntryHost, targets: &[SocketAddr]) {
    let limits = host.limited_servers.limits.borrow();
    let statements: Vec<LimitStatement> = limits.statements().filter(|it| it.is_own).collect();
    drop(limits);
    send(host, targets, &statements);
}

/// Applies what a response said that `source` names; returns `true` if that is to be told at once.
fn apply_statement(host: &EntryHost, statement: &LimitStatement, source: &str) -> bool {
    let change = host.limited_servers.limits.borrow_mut().record(statement);
    if matches!(change, LimitChange::Unchanged | LimitChange::Adjusted) {
        return false;
    }
    limit_log::log_change(statement, change, source);
    host.cell_owner.decide_waiting(host);
    true
}

/// Tells all other hosts of a change, twice.
fn announce(host: &Rc<EntryHost>, backend: &BackendId) {
    if !host.limited_servers.announced.borrow_mut().insert(backend.clone()) {
        return;
    }
    let (host, backend) = (host.clone(), backend.clone());
    let send_twice = async move {
        send_newest(&host, &backend);
        runtime::sleep(REPEAT_DELAY).await;
        host.limited_servers.announced.borrow_mut().remove(&backend);
        send_newest(&host, &backend);
    };
    runtime::spawn_local(send_twice).detach();
}

fn send_newest(host: &EntryHost, backend: &BackendId) {
    let statement = host.limited_servers.limits.borrow().statement(backend);
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
