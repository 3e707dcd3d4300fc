//! The HTTP endpoint for the metrics of an entry host.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::OnceLock,
    time::{Duration, Instant},
};

use metrics::{counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::{
    entry::entry_host::EntryHost,
    http1::SmallResponse,
    ids::ZoneId,
    metric_names,
    placement::{DecisionCounts, RankCounts},
    routing::BackendState,
};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of the process, unless it is installed already.
pub(crate) fn install_recorder() {
    if HANDLE.get().is_some() {
        return;
    }
    match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => drop(HANDLE.set(handle)),
        Err(err) => log::error!("metrics: failed to install the recorder error=\"{err}\""),
    }
}

/// Returns all metrics in the Prometheus text format, or status 503 without a recorder.
pub(crate) fn metrics_response(host: &Rc<EntryHost>) -> SmallResponse {
    let Some(handle) = HANDLE.get() else { return SmallResponse::status(503) };
    set_gauges(host);
    set_zone_gauges(host);
    let counts = host.cell_owner.counts();
    set_decision_counters("first", counts.first);
    set_decision_counters("returning", counts.returning);
    for (rank, counts) in host.cell_owner.rank_counts() {
        set_rank_metrics(rank, counts);
    }
    handle.run_upkeep();
    SmallResponse { status: 200, content_type: "text/plain", body: handle.render().into_bytes() }
}

fn set_decision_counters(attempt: &'static str, counts: DecisionCounts) {
    for (outcome, n) in [("admitted", counts.n_admitted), ("refused", counts.n_refused)] {
        counter!(metric_names::CELL_REQUESTS, "attempt" => attempt, "outcome" => outcome)
            .absolute(n);
    }
}

fn set_rank_metrics(rank: u32, counts: RankCounts) {
    let rank = rank.to_string();
    for (outcome, n) in [("served", counts.n_served), ("refused", counts.n_refused)] {
        counter!(metric_names::CELL_RANKS, "rank" => rank.clone(), "outcome" => outcome)
            .absolute(n);
    }
    gauge!(metric_names::CELL_WAITING, "rank" => rank.clone()).set(counts.n_waiting as f64);
    let slack_ms = counts.total_slack.as_millis() as u64;
    counter!(metric_names::CELL_SLACK_MS, "rank" => rank).absolute(slack_ms);
}

fn set_gauges(host: &EntryHost) {
    let charter = host.charter.borrow().as_ref().map_or(0, |it| it.number);
    gauge!(metric_names::CHARTER_NUMBER).set(charter as f64);
    gauge!(metric_names::STORE_GENERATION).set(host.sources.generation() as f64);
    gauge!(metric_names::ENTRY_CONNECTIONS).set(host.n_connections.get() as f64);
    let in_progress = host.request_counts.borrow().total();
    gauge!(metric_names::IN_PROGRESS).set(f64::from(in_progress));
    gauge!(metric_names::BUFFERED_BYTES).set(host.buffers.total_bytes() as f64);
    gauge!(metric_names::MAX_BUFFERED_BYTES).set(host.buffers.max_total_bytes() as f64);
    counter!(metric_names::BUFFERS_GIVEN_UP).absolute(host.buffers.n_given_up());
    set_cold_metrics(host);
    set_limit_metrics(host);
    let mut ready: BTreeMap<String, u32> = BTreeMap::new();
    for server in host.backends.borrow().iter() {
        let n_ready = ready.entry(server.service.clone()).or_default();
        *n_ready += u32::from(server.state == BackendState::Ready);
    }
    for (service, n_ready) in ready {
        gauge!(metric_names::READY_BACKENDS, "service" => service).set(f64::from(n_ready));
    }
}

/// Sets the gauges by which an operator sees that an evacuated zone is empty.
fn set_zone_gauges(host: &EntryHost) {
    if host.settings.bounds.evacuation.is_none() {
        return;
    }
    let evacuated = host.evacuated.borrow();
    let evacuated: BTreeMap<&ZoneId, Duration> =
        evacuated.iter().map(|it| (it.0, it.1.since.elapsed())).collect();
    let backends = host.backends.borrow();
    let counts = host.request_counts.borrow();
    let zones: BTreeSet<&ZoneId> =
        host.settings.zones.keys().chain(backends.iter().map(|it| &it.zone)).collect();
    for zone in zones {
        let evacuated_for = evacuated.get(zone).copied().unwrap_or_default();
        gauge!(metric_names::ZONE_EVACUATED_SECONDS, "zone" => zone.clone())
            .set(evacuated_for.as_secs_f64());
        let in_zone = backends.iter().filter(|it| it.zone == *zone);
        let in_progress: u32 = in_zone.map(|it| counts.get(&it.address)).sum();
        gauge!(metric_names::ZONE_IN_PROGRESS, "zone" => zone.clone()).set(f64::from(in_progress));
    }
}

fn set_limit_metrics(host: &EntryHost) {
    gauge!(metric_names::LIMITED_SERVERS).set(host.limited_servers.n_limited() as f64);
    let n_held_back = host.limited_servers.n_refused() + host.cell_owner.n_limit_held_back();
    counter!(metric_names::LIMIT_HELD_BACK).absolute(n_held_back);
}

fn set_cold_metrics(host: &EntryHost) {
    let cold_servers = host.cold_servers.borrow();
    if !cold_servers.is_active() {
        return;
    }
    gauge!(metric_names::COLD_SERVERS).set(cold_servers.n_limited(Instant::now()) as f64);
    let n_held_back = cold_servers.n_held_back() + host.cell_owner.n_held_back();
    counter!(metric_names::COLD_HELD_BACK).absolute(n_held_back);
}
