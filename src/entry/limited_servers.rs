//! This host's share of the requests to backend servers that name limits.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use crate::{
    entry::{eligible_servers::n_layers, entry_host::EntryHost},
    ids::BackendId,
    placement::{
        LimitChange, LimitStatement, LimitedRequests, RequestLimit, RequestQuota, ShareRank,
    },
    routing::BackendServer,
};

/// The backend servers that named limits, as far as this host knows, and its own requests.
#[derive(Debug)]
pub(crate) struct LimitedServers {
    requests: RefCell<LimitedRequests>,
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
    /// Creates the state of a host that starts now and knows no limits.
    pub(crate) fn new() -> LimitedServers {
        LimitedServers {
            requests: RefCell::new(LimitedRequests::new(Instant::now())),
            ranks: RefCell::default(),
            announced: RefCell::default(),
            n_refused: Cell::new(0),
        }
    }

    /// Returns the limit that a backend server named, for the owner that grants requests to it.
    pub(crate) fn limit(&self, server: &BackendServer, now: Instant) -> Option<RequestLimit> {
        self.requests.borrow().limits.limit(&server.id, server.started_ms, now)
    }

    /// Returns the time until this host may send a backend server one more request; `None` if it may now.
    pub(crate) fn time_left(&self, host: &EntryHost, server: &BackendServer) -> Option<Duration> {
        let requests = self.requests.borrow();
        let quota = |limit: &RequestLimit| self.quota(host, server, limit);
        requests.time_left(&server.id, server.started_ms, quota, Instant::now())
    }

    /// Counts a request that goes elsewhere because of the limit of a backend server.
    pub(crate) fn note_held_back(&self, server: &BackendServer) {
        self.requests.borrow_mut().limits.note_held_back(&server.id);
    }

    /// Counts a request that is refused as all backend servers named limits.
    pub(crate) fn note_refused(&self) {
        self.n_refused.set(self.n_refused.get() + 1);
    }

    /// Records that a request to a backend server begins.
    pub(crate) fn note_begun(&self, server: &BackendServer, now: Instant) {
        self.requests.borrow_mut().sent.record(&server.id, now);
    }

    /// Takes back a request that began at `begun` and was not sent.
    pub(crate) fn take_back(&self, backend: &BackendId, begun: Instant) {
        self.requests.borrow_mut().sent.take_back(backend, begun);
    }

    /// Applies what a response said; returns what that changed.
    pub(crate) fn record(&self, statement: &LimitStatement) -> LimitChange {
        self.requests.borrow_mut().limits.record(statement)
    }

    /// Returns what the latest response of a backend server said that named a limit, or ended it.
    pub(crate) fn statement(&self, backend: &BackendId) -> Option<LimitStatement> {
        self.requests.borrow().limits.statement(backend)
    }

    /// Returns what the latest responses of all backend servers with a limit said.
    pub(crate) fn statements(&self) -> Vec<LimitStatement> {
        self.requests.borrow().limits.statements().collect()
    }

    /// Begins to tell the other hosts of a change; returns `false` if one is being told.
    pub(crate) fn begin_announcement(&self, backend: &BackendId) -> bool {
        self.announced.borrow_mut().insert(backend.clone())
    }

    /// Ends that, so that the next change is told.
    pub(crate) fn end_announcement(&self, backend: &BackendId) {
        self.announced.borrow_mut().remove(backend);
    }

    /// Returns the number of backend servers that name a limit.
    pub(crate) fn n_limited(&self) -> usize {
        self.requests.borrow().limits.n_limited()
    }

    /// Returns the number of requests that this host refused as all backend servers had named limits.
    pub(crate) fn n_refused(&self) -> u64 {
        self.n_refused.get()
    }

    /// Returns `true` if any backend server may have a limit.
    pub(crate) fn has_limits(&self) -> bool {
        !self.requests.borrow().limits.is_empty()
    }

    /// Forgets limits that ended, and those of backend servers that were removed, long ago.
    pub(crate) fn expire(&self, is_registered: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let requests = &mut *self.requests.borrow_mut();
        requests.limits.forget_old(is_registered, now);
        requests.sent.forget_old(now);
        if requests.limits.is_empty() {
            self.ranks.borrow_mut().clear();
        }
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
