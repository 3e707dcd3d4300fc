//! The recorder of the process's metrics and its text page.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder on first use; later calls do nothing.
pub(crate) fn install_recorder() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        builder.install_recorder().expect("no other recorder is installed")
    });
}

/// All metrics as Prometheus text.
pub(crate) fn render() -> String {
    let Some(handle) = HANDLE.get() else { return String::new() };
    handle.run_upkeep();
    handle.render()
}
