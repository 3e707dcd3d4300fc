//! Tries of a refused request, to find out whether it still crashes backend servers.
//!
//! Load pattern: all backend servers of a service crash at once while each has requests that many
//! callers send alike. All of these are refused then, and one of each is tried. A request that does
//! crash backend servers comes all the while, at all entry hosts.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::{crash_reports, datagrams, entry_host::EntryHost},
    fleet::{PeerMessage, RequestTry},
    placement::{Fingerprint, TryId},
    runtime,
};

/// Time after a claim in which another host may tell that it claimed the try, too.
const CLAIM_DELAY: Duration = Duration::from_millis(300);
/// Number of times that a claim is sent, as a datagram may be lost.
const N_SENDS: u32 = 3;

/// What may be done with a request.
pub(crate) enum CrashDecision {
    /// It is not refused.
    Allow,
    /// It may be sent to one backend server.
    Try(CrashTry),
    /// It must be refused.
    Refuse,
}

/// The right to try a refused request; dropping it records a try that did not succeed.
pub(crate) struct CrashTry {
    host: Rc<EntryHost>,
    request: Fingerprint,
    id: TryId,
    /// Whether a backend server may have run the request.
    has_run: Cell<bool>,
}

/// Decides on a request; waits for the other hosts if it is one that may be tried.
pub(crate) async fn decide(host: &Rc<EntryHost>, request: Fingerprint) -> CrashDecision {
    if !host.is_crash_suspect(request) {
        return CrashDecision::Allow;
    }
    if !host.crash_suspects.borrow().may_be_tried(request, Instant::now()) {
        return CrashDecision::Refuse;
    }
    let claimed = CrashTry::claim(host, request);
    for _ in 0..N_SENDS {
        claimed.send(false);
        runtime::sleep(CLAIM_DELAY / N_SENDS).await;
    }
    if !host.is_crash_suspect(request) {
        return CrashDecision::Allow;
    }
    if !host.crash_suspects.borrow().holds_claim(request, claimed.id, Instant::now()) {
        return CrashDecision::Refuse;
    }
    log::info!("crashes: trying a refused request fingerprint={request:016x}");
    CrashDecision::Try(claimed)
}

/// Applies the claim of another host, or the end of one. If another claim holds, its host is told.
pub(crate) fn apply(host: &EntryHost, from: SocketAddr, message: &RequestTry) {
    let RequestTry { request, id, is_over } = *message;
    let mut suspects = host.crash_suspects.borrow_mut();
    if is_over {
        return suspects.end_claim(request, id, Instant::now());
    }
    if let Some(id) = suspects.record_claim(request, id, Instant::now()) {
        let held = RequestTry { request, id, is_over };
        datagrams::send(host, &[from], &PeerMessage::RequestTry(held));
    }
}

impl CrashTry {
    fn claim(host: &Rc<EntryHost>, request: Fingerprint) -> CrashTry {
        let id = fastrand::u64(..);
        host.crash_suspects.borrow_mut().record_claim(request, id, Instant::now());
        CrashTry { host: host.clone(), request, id, has_run: Cell::new(false) }
    }

    /// Records whether a backend server may have run the request.
    pub(crate) fn set_has_run(&self, has_run: bool) {
        self.has_run.set(has_run);
    }

    fn send(&self, is_over: bool) {
        let targets: Vec<SocketAddr> = self.host.beacon_targets.borrow().keys().copied().collect();
        let message = RequestTry { request: self.request, id: self.id, is_over };
        datagrams::send(&self.host, &targets, &PeerMessage::RequestTry(message));
    }
}

impl Drop for CrashTry {
    fn drop(&mut self) {
        if self.has_run.get() && self.host.is_crash_suspect(self.request) {
            log::info!("crashes: a try did not succeed fingerprint={:016x}", self.request);
            return crash_reports::report_failed_try(&self.host, self.request, self.id);
        }
        let mut suspects = self.host.crash_suspects.borrow_mut();
        suspects.end_claim(self.request, self.id, Instant::now());
        drop(suspects);
        self.send(true);
    }
}
