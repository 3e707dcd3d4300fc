//! The metrics recorder of the process and the `/metrics` page.

use std::sync::{Arc, OnceLock};

use metrics::{counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::{
    membership::{HostState, MemberRecord},
    metric_names,
    node::Node,
    operator::{operator_context::OperatorContext, process_report::ProcessReport},
};

static PROMETHEUS_HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder; later calls do nothing.
pub(crate) fn install_recorder() {
    PROMETHEUS_HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        builder.install_recorder().expect("no other recorder is installed")
    });
}

/// Returns all metrics in the Prometheus text format.
pub(crate) fn render(node: &Node, context: &OperatorContext) -> String {
    let Some(handle) = PROMETHEUS_HANDLE.get() else { return String::new() };
    set_process_metrics(&ProcessReport::collect(node, context));
    set_host_metrics(&node.membership.records());
    handle.run_upkeep();
    handle.render()
}

fn set_process_metrics(report: &ProcessReport) {
    gauge!(metric_names::CHARTER_NUMBER).set(report.charter_number as f64);
    gauge!(metric_names::CPU_SECONDS).set(report.cpu_seconds);
    gauge!(metric_names::RESIDENT_BYTES).set(report.rss_bytes as f64);
    for (pool, number) in &report.switch_numbers {
        gauge!(metric_names::SWITCH_NUMBER, "pool" => pool.clone()).set(*number as f64);
    }
    let links = &report.links;
    set_link_metric("control", "sent", links.control_sent_bytes);
    set_link_metric("control", "received", links.control_received_bytes);
    set_link_metric("weights", "sent", links.weights_sent_bytes);
    set_link_metric("weights", "received", links.weights_received_bytes);
}

fn set_link_metric(class: &'static str, direction: &'static str, bytes: u64) {
    counter!(metric_names::LINK_BYTES, "class" => class, "direction" => direction).absolute(bytes);
}

fn set_host_metrics(records: &[Arc<MemberRecord>]) {
    let states = [
        (HostState::Joining, "joining"),
        (HostState::Live, "live"),
        (HostState::Suspect, "suspect"),
        (HostState::Leaving, "leaving"),
        (HostState::Gone, "gone"),
    ];
    for (state, name) in states {
        let n_hosts = records.iter().filter(|it| it.state == state).count();
        gauge!(metric_names::HOSTS, "state" => name).set(n_hosts as f64);
    }
}
