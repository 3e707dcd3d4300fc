//! Reports to the other entry hosts which parts of prompts are suspected of crashing engines and
//! which are cleared, and applies their reports.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::{datagrams, entry_host::EntryHost},
    fleet::{CrashReport, PeerMessage, PendingReport},
    placement::{PartCrash, PartDigest, QuarantinedPart},
    runtime,
};

/// Time for which crashes and cleared parts are collected for one datagram.
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

/// Applies the report of another entry host.
pub(crate) fn apply(host: &EntryHost, report: CrashReport) {
    for crash in &report.crashes {
        host.crashing_parts.borrow_mut().record_crash(crash, Instant::now());
    }
    host.crashing_parts.borrow_mut().clear(&report.cleared, Instant::now());
}

/// Quarantines the parts against which there is enough evidence now.
pub(crate) fn decide(host: &EntryHost) {
    let quarantined = host.crashing_parts.borrow_mut().decide(Instant::now());
    for part in &quarantined {
        log::warn!("crashes: quarantined a part of prompts {}", log_fields(part));
    }
    end_waits(host, &quarantined);
}

/// Adds the quarantined parts in a beacon.
pub(crate) fn merge(host: &EntryHost, reported: &[QuarantinedPart]) {
    let added = host.crashing_parts.borrow_mut().merge(reported, Instant::now());
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
