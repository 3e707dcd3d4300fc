//! What backend servers say of themselves in the heads of their responses: that they leave, that they
//! want no requests for a time, or that they take few.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    entry::{datagrams, entry_host::EntryHost, limit_notices},
    fleet::{LeavingNotice, PeerMessage},
    ids::BackendId,
    placement::{LeavingServers, PausedServers},
    relay::{Attempt, BackendResponse},
    routing::BackendServer,
    runtime,
};

/// Time after which a notice is sent once more, as a datagram may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// What backend servers said of themselves.
#[derive(Debug, Default)]
pub(crate) struct ServerNotices {
    leaving: RefCell<LeavingServers>,
    paused: RefCell<PausedServers>,
}

impl ServerNotices {
    /// Returns `true` if a backend server gets no more requests, whatever its entry says.
    pub(crate) fn is_leaving(&self, server: &BackendServer) -> bool {
        self.leaving.borrow().is_closed(&server.id, server.started_ms)
    }

    /// Returns the time until a backend server wants requests of this host again, if it pauses.
    pub(crate) fn pause_left(&self, server: &BackendServer) -> Option<Duration> {
        self.paused.borrow().time_left(&server.id, server.started_ms, Instant::now())
    }

    /// Records that a request to a backend server is begun.
    pub(crate) fn note_begun(&self, server: &BackendServer, now: Instant) {
        self.paused.borrow_mut().note_begun(&server.id, server.started_ms, now);
    }

    /// Returns the time until the first of some backend servers wants requests again, if all of them
    /// pause.
    pub(crate) fn time_until_first(&self, servers: &[&BackendServer]) -> Option<Duration> {
        let servers = servers.iter().map(|it| (it.id.as_str(), it.started_ms));
        self.paused.borrow().time_until_first(servers, Instant::now())
    }

    /// Returns the time until one more of some backend servers wants requests again.
    pub(crate) fn time_until_next(&self, servers: &[&BackendServer]) -> Option<Duration> {
        let (paused, now) = (self.paused.borrow(), Instant::now());
        servers.iter().filter_map(|it| paused.time_left(&it.id, it.started_ms, now)).min()
    }

    /// Returns `true` if any backend server may be pausing.
    pub(crate) fn has_pauses(&self) -> bool {
        !self.paused.borrow().is_empty()
    }

    /// Logs that a new start of a backend server takes requests again, if an earlier one left.
    pub(crate) fn note_listed(&self, server: &BackendServer) {
        let now = Instant::now();
        let closed_for = self.leaving.borrow_mut().reopen(&server.id, server.started_ms, now);
        if let Some(closed_for) = closed_for {
            log::info!(
                "drain: a new start of a backend server takes requests again backend={} \
                 closed_for_ms={}",
                server.id,
                closed_for.as_millis()
            );
        }
    }

    /// Ends the pauses whose time is over, and forgets backend servers that were removed long ago.
    pub(crate) fn expire(&self, is_registered: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.leaving.borrow_mut().forget_removed(is_registered, now);
        for (backend, paused) in self.paused.borrow_mut().expire(now) {
            log_end_of_pause(&backend, paused);
        }
    }
}

/// Returns `true` if a backend server takes one more request of this host now, as far as it said.
pub(crate) fn takes_requests(host: &EntryHost, server: &BackendServer) -> bool {
    !host.server_notices.is_leaving(server) && time_left(host, server).is_none()
}

/// Returns the time until a backend server takes one more request of this host, as far as it said;
/// `None` if it takes one now.
pub(crate) fn time_left(host: &EntryHost, server: &BackendServer) -> Option<Duration> {
    let pause_left = host.server_notices.pause_left(server);
    pause_left.max(host.limited_servers.time_left(host, server))
}

/// Records that a request to a backend server begins; returns the time.
pub(crate) fn note_begun(host: &EntryHost, server: &BackendServer) -> Instant {
    let now = Instant::now();
    host.server_notices.note_begun(server, now);
    host.limited_servers.note_begun(server, now);
    now
}

/// Applies what the head of a response says of its backend server, before any of it reaches the
/// caller; its request began at `begun`.
pub(crate) fn record(
    host: &Rc<EntryHost>,
    attempt: &Attempt<'_>,
    response: &BackendResponse,
    begun: Instant,
) {
    let info = &response.info;
    let is_success = (200..300).contains(&response.head.status);
    let is_of_backend = !info.is_other_backend && (info.has_receipt || !is_success);
    if !is_of_backend {
        return;
    }
    limit_notices::record(host, attempt, response, begun);
    if info.is_leaving {
        record_leaving(host, attempt, response.head.status);
    }
    if let Some(pause) = info.pause {
        record_pause(host, attempt, pause);
    }
    if is_success {
        let (backend, started_ms) = (attempt.backend, attempt.backend_started_ms);
        let mut paused = host.server_notices.paused.borrow_mut();
        if let Some(paused) = paused.note_served(backend, started_ms, Instant::now()) {
            log_end_of_pause(backend, paused);
        }
    }
}

fn record_pause(host: &EntryHost, attempt: &Attempt<'_>, pause: Duration) {
    let backend: &BackendId = attempt.backend;
    let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let asked_ms = time_of_day.as_millis() as u64;
    let mut paused = host.server_notices.paused.borrow_mut();
    if paused.record(backend, attempt.backend_started_ms, pause, asked_ms, Instant::now()) {
        log::info!(
            "pause: a backend server takes no requests for a time request={} backend={backend} \
             pause_ms={}",
            attempt.request_id,
            pause.as_millis()
        );
    }
}

fn log_end_of_pause(backend: &str, paused: Duration) {
    log::info!(
        "pause: a backend server takes requests again backend={backend} paused_ms={}",
        paused.as_millis()
    );
}

fn record_leaving(host: &Rc<EntryHost>, attempt: &Attempt<'_>, status: u16) {
    let (backend, started_ms) = (attempt.backend, attempt.backend_started_ms);
    let notice = LeavingNotice { backend: backend.clone(), started_ms };
    if !close(host, &notice) {
        return;
    }
    log::info!(
        "drain: a backend server leaves request={} backend={backend} started_ms={started_ms} \
         status={status}",
        attempt.request_id
    );
    let host = host.clone();
    let send_twice = async move {
        send(&host, &notice);
        runtime::sleep(REPEAT_DELAY).await;
        send(&host, &notice);
    };
    runtime::spawn_local(send_twice).detach();
}

/// Applies the notice of another entry host.
pub(crate) fn apply(host: &EntryHost, from: SocketAddr, notice: &LeavingNotice) {
    if close(host, notice) {
        log::info!(
            "drain: another entry host says that a backend server leaves from={from} backend={} \
             started_ms={}",
            notice.backend,
            notice.started_ms
        );
    }
}

/// Sends a backend server no more requests from now on; returns `false` if it got none already.
fn close(host: &EntryHost, notice: &LeavingNotice) -> bool {
    let (backend, started_ms) = (&notice.backend, notice.started_ms);
    let is_new =
        host.server_notices.leaving.borrow_mut().record(backend, started_ms, Instant::now());
    if is_new {
        host.connections.close_idle(backend);
        host.cell_owner.decide_waiting(host);
    }
    is_new
}

fn send(host: &EntryHost, notice: &LeavingNotice) {
    let targets: Vec<SocketAddr> = host.beacon_targets.borrow().keys().copied().collect();
    datagrams::send(host, &targets, &PeerMessage::ServerLeaving(notice.clone()));
}
