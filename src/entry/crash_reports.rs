//! Reports to the other entry hosts which requests and parts of prompts are suspected of crashing
//! backend servers and which are cleared, and applies their reports.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::{datagrams, entry_host::EntryHost},
    fleet::{CrashReport, PeerMessage, PendingReport},
    ids::BackendId,
    placement::{
        crash_id, CrashId, Fingerprint, PartCrash, PartDigest, QuarantinedPart, SuspectedRequest,
        TryId,
    },
    runtime,
};

/// Time for which crashes and what is cleared are collected for one datagram.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Time after which a report is sent once more, as a datagram may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// Records a crash that this host saw, here and soon at the other hosts.
pub(crate) fn report_crash(host: &Rc<EntryHost>, crash: PartCrash) {
    host.crashing_parts.borrow_mut().record_crash(&crash, Instant::now());
    queue(host, |report| report.add_crash(crash));
}

/// Clears the parts of a request that an engine served, here and soon at the other hosts.
pub(crate) fn clear(host: &Rc<EntryHost>, parts: &[PartDigest]) {
    let cleared = host.crashing_parts.borrow_mut().clear(parts, Instant::now());
    if cleared.is_empty() {
        return;
    }
    log::info!("crashes: cleared parts of prompts n={}", cleared.len());
    queue(host, |report| report.add_cleared(cleared));
}

/// Records that a backend server broke the connection during a request, here and soon at the other hosts.
pub(crate) fn report_break(host: &Rc<EntryHost>, request: Fingerprint, backend: &BackendId) {
    let crash = current_crash(host, backend);
    let report = host.crash_suspects.borrow_mut().record_crash(request, crash, Instant::now());
    report.into_iter().for_each(|it| report_request(host, it));
}

/// Records a try of a refused request that did not succeed, here and soon at the other hosts.
pub(crate) fn report_failed_try(host: &Rc<EntryHost>, request: Fingerprint, id: TryId) {
    let mut suspects = host.crash_suspects.borrow_mut();
    let report = suspects.record_failed_try(request, id, Instant::now());
    drop(suspects);
    report.into_iter().for_each(|it| report_request(host, it));
}

/// Clears a request that succeeded, here and soon at the other hosts.
pub(crate) fn clear_request(host: &Rc<EntryHost>, request: Fingerprint) {
    let report = host.crash_suspects.borrow_mut().clear(request, Instant::now());
    report.into_iter().for_each(|it| report_request(host, it));
}

/// Returns the backend servers that broke the connection during a request, to any host; it is sent to
/// them again only if there is no other.
pub(crate) fn crashed_backends(host: &EntryHost, request: Fingerprint) -> Vec<BackendId> {
    let suspects = host.crash_suspects.borrow();
    if !suspects.is_suspected(request) {
        return Vec::new();
    }
    let backends = host.backends.borrow();
    let crashed =
        backends.iter().filter(|it| suspects.has_crashed(request, crash_id(&it.id, it.started_ms)));
    crashed.map(|it| it.id.clone()).collect()
}

/// Returns `true` if there is anything that a host should know before it serves.
pub(crate) fn has_any(host: &EntryHost) -> bool {
    let now = Instant::now();
    let has_suspects = !host.crash_suspects.borrow().reported(now).is_empty();
    has_suspects || !host.crashing_parts.borrow().quarantined(now).is_empty()
}

/// Returns the id of the crash that ends the present start of a backend server.
fn current_crash(host: &EntryHost, backend: &BackendId) -> CrashId {
    let started_ms = host.backends.borrow().get(backend).map_or(0, |it| it.started_ms);
    crash_id(backend, started_ms)
}

fn report_request(host: &Rc<EntryHost>, request: SuspectedRequest) {
    queue(host, |report| report.add_request(request));
}

/// Applies the report of another entry host.
pub(crate) fn apply(host: &EntryHost, report: CrashReport) {
    for crash in &report.crashes {
        host.crashing_parts.borrow_mut().record_crash(crash, Instant::now());
    }
    host.crashing_parts.borrow_mut().clear(&report.cleared, Instant::now());
    host.crash_suspects.borrow_mut().merge(&report.requests, Instant::now());
}

/// Quarantines the parts against which there is enough evidence now.
pub(crate) fn decide(host: &EntryHost) {
    let quarantined = host.crashing_parts.borrow_mut().decide(Instant::now());
    for part in &quarantined {
        log::warn!("crashes: quarantined a part of prompts {}", log_fields(part));
    }
    end_waits(host, &quarantined);
}

/// Adds the suspected requests and the quarantined parts in a beacon.
pub(crate) fn merge(
    host: &EntryHost,
    suspected: &[SuspectedRequest],
    quarantined: &[QuarantinedPart],
) {
    host.crash_suspects.borrow_mut().merge(suspected, Instant::now());
    let added = host.crashing_parts.borrow_mut().merge(quarantined, Instant::now());
    for part in &added {
        log::warn!(
            "crashes: another entry host quarantined a part of prompts {}",
            log_fields(part)
        );
    }
    end_waits(host, &added);
}

/// Lets the waiting requests with parts that were quarantined now be refused.
fn end_waits(host: &EntryHost, quarantined: &[QuarantinedPart]) {
    if !quarantined.is_empty() {
        host.part_quarantined.notify(usize::MAX);
    }
}

/// Returns the fields of a log line that describe a quarantined part.
pub(crate) fn log_fields(part: &QuarantinedPart) -> String {
    format!(
        "part={:016x} crashes={} engines={} quarantined_ago_ms={}",
        part.part, part.n_crashes, part.n_engines, part.age_ms
    )
}

/// Changes the report that is being collected; the first change schedules its sending.
fn queue(host: &Rc<EntryHost>, change: impl FnOnce(&mut PendingReport)) {
    let mut pending = host.pending_report.borrow_mut();
    if pending.is_none() {
        let host = host.clone();
        let send_twice = async move {
            runtime::sleep(BATCH_TIME).await;
            let Some(pending) = host.pending_report.take() else { return };
            let mut reports = pending.into_reports();
            send_aged(&host, &mut reports, BATCH_TIME);
            runtime::sleep(REPEAT_DELAY).await;
            send_aged(&host, &mut reports, REPEAT_DELAY);
        };
        runtime::spawn_local(send_twice).detach();
    }
    change(pending.get_or_insert_with(PendingReport::default));
}

/// Sends reports that have waited for `age` since they were made or last sent.
fn send_aged(host: &EntryHost, reports: &mut [CrashReport], age: Duration) {
    let targets: Vec<SocketAddr> = host.beacon_targets.borrow().keys().copied().collect();
    for report in reports {
        report.add_age(age);
        datagrams::send(host, &targets, &PeerMessage::CrashReport(report.clone()));
    }
}
