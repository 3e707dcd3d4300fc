//! Runs one burst, from the charter patch until every live host serves the new version.

use std::{
    collections::BTreeMap,
    io,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crocustiller::runtime;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value;

use crate::{
    baseline, burst_figures::BurstFigures, deployment::Deployment, fault::Fault,
    host_plan::HostPlan, live_load::LiveLoad, options::BurstOptions, process_sample,
};

/// The duration of live requests before the patch.
const LOAD_BEFORE_PATCH: Duration = Duration::from_secs(5);
/// The duration of live requests after the last host serves the new version.
const LOAD_AFTER_BURST: Duration = Duration::from_secs(2);
/// The interval between two polls of all hosts, per `HOSTS_PER_INTERVAL` hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The number of hosts that can be polled once per `POLL_INTERVAL`.
///
/// In a larger deployment, hosts are polled less often.
const HOSTS_PER_INTERVAL: usize = 60;
/// The timeout of a burst, in windows.
const TIMEOUT_WINDOWS: f64 = 6.0;
/// The copies of the weights that a host's link carries in one window, in each direction.
pub(crate) const LINK_COPIES_PER_WINDOW: f64 = 2.0;
/// The copies of the weights that the origin's link carries in one window.
pub(crate) const ORIGIN_COPIES_PER_WINDOW: f64 = 4.0;
/// The maximum number of copies that the origin may send, also under faults.
const MAX_ORIGIN_COPIES: f64 = 4.0;

/// The state of a running burst.
struct Burst {
    deployment: Deployment,
    /// The content digests of versions `v1`, `v2` and `v3`.
    digests: Vec<String>,
    target_version: String,
    charter_number: u64,
    killed_hosts: Vec<HostPlan>,
    patched_unix_ms: u64,
    verified_unix_ms: BTreeMap<String, u64>,
    progress: ProgressBar,
}

/// Runs a burst and returns its figures.
pub(crate) async fn run(options: &BurstOptions) -> io::Result<BurstFigures> {
    eprintln!("rig: starting {} backend server hosts", options.hosts);
    let deployment = Deployment::start(options).await?;
    let first_digests = deployment.loaded_digests(&deployment.backends).await;
    let mut digests: Vec<String> = first_digests.into_iter().flatten().take(1).collect();
    for (idx, version) in ["v2", "v3"].iter().enumerate() {
        let seed = options.seed + idx as u64;
        digests.push(deployment.register_version(version, seed).await?.to_string());
    }
    let entries = deployment.entries.iter().map(|it| it.request).collect();
    let live_load = LiveLoad::start(entries, options.seed);
    runtime::sleep(LOAD_BEFORE_PATCH).await;
    eprintln!("rig: {} requests ended before the patch", live_load.n_ended());
    let burst = Burst {
        progress: progress_bar(options.hosts),
        target_version: "v2".to_owned(),
        charter_number: 1,
        killed_hosts: Vec::new(),
        patched_unix_ms: 0,
        verified_unix_ms: BTreeMap::new(),
        deployment,
        digests,
    };
    burst.run(live_load).await
}

impl Burst {
    async fn run(mut self, live_load: LiveLoad) -> io::Result<BurstFigures> {
        let options = self.deployment.options.clone();
        let calls_before = self.platform_calls().await;
        let started = Instant::now();
        self.patch("v2").await?;
        let is_reached = self.wait_for_target(started).await?;
        let ended = Instant::now();
        let calls = calls_before.zip(self.platform_calls().await);
        runtime::sleep(LOAD_AFTER_BURST).await;
        let samples = live_load.finish().await;
        let mut figures = self.collect_figures().await;
        figures.add_samples(&samples, &self.digests, started..ended);
        let elapsed_s = (ended - started).as_secs_f64();
        figures.time_to_all_serving_s = is_reached.then_some(elapsed_s);
        figures.platform_calls_per_s =
            calls.map(|(before, after)| (after - before) as f64 / elapsed_s);
        let kills_hosts = options.fault.0.iter().any(|it| it.kills_hosts());
        figures.check_guarantees(kills_hosts, MAX_ORIGIN_COPIES);
        self.deployment.shut_down();
        Ok(figures)
    }

    async fn patch(&mut self, version: &str) -> io::Result<()> {
        let number = self.charter_number;
        self.charter_number = self.deployment.set_version(number, version).await?;
        self.target_version = version.to_owned();
        self.patched_unix_ms = unix_ms();
        self.verified_unix_ms.clear();
        Ok(())
    }

    /// Polls until every live engine has loaded the target, and starts the faults meanwhile.
    ///
    /// Returns false on timeout.
    async fn wait_for_target(&mut self, started: Instant) -> io::Result<bool> {
        let timeout = Duration::from_secs_f64(self.deployment.options.window_s * TIMEOUT_WINDOWS);
        let mut pending = self.deployment.options.fault.0.clone();
        while started.elapsed() < timeout {
            let reports = self.deployment.process_reports(&self.deployment.backends).await;
            let share = self.record_progress(&reports);
            let scheduled: Vec<Fault> =
                pending.iter().copied().filter(|it| share >= it.start_share()).collect();
            pending.retain(|it| !scheduled.contains(it));
            self.start_faults(&scheduled, &reports).await?;
            if pending.is_empty() && self.n_hosts_at_target().await == self.live_hosts().len() {
                self.progress.finish_and_clear();
                return Ok(true);
            }
            runtime::sleep(
                POLL_INTERVAL * self.deployment.options.hosts.div_ceil(HOSTS_PER_INTERVAL) as u32,
            )
            .await;
        }
        self.progress.finish_and_clear();
        Ok(false)
    }

    /// Starts the scheduled faults concurrently.
    async fn start_faults(
        &mut self,
        scheduled: &[Fault],
        reports: &[Option<Value>],
    ) -> io::Result<()> {
        let starts = scheduled.iter().map(|it| self.deployment.start_fault(*it, reports));
        let killed = futures_util::future::try_join_all(starts).await?;
        self.killed_hosts.extend(killed.into_iter().flatten());
        if scheduled.iter().any(|it| it.changes_target()) {
            self.patch("v3").await?;
        }
        Ok(())
    }

    fn live_hosts(&self) -> Vec<HostPlan> {
        let is_killed = |host: &HostPlan| self.killed_hosts.iter().any(|it| it.id == host.id);
        self.deployment.backends.iter().filter(|it| !is_killed(it)).cloned().collect()
    }

    async fn n_hosts_at_target(&self) -> usize {
        let idx = if self.target_version == "v3" { 2 } else { 1 };
        let loaded = self.deployment.loaded_digests(&self.live_hosts()).await;
        loaded.iter().filter(|it| it.as_ref() == Some(&self.digests[idx])).count()
    }

    /// Records the hosts that verified the target.
    ///
    /// Returns the share of the target's chunks that are stored, over all hosts.
    fn record_progress(&mut self, reports: &[Option<Value>]) -> f64 {
        let mut share = 0.0;
        for (host, report) in self.deployment.backends.iter().zip(reports) {
            let Some(weights) =
                report.as_ref().and_then(|it| version_report(it, &self.target_version))
            else {
                continue;
            };
            let field_value = |key: &str| weights[key].as_f64().unwrap_or(0.0);
            share += field_value("chunks_held") / field_value("chunks_total").max(1.0);
            if weights["is_verified"] == Value::Bool(true) {
                let verified_at = weights["verified_unix_ms"].as_u64().unwrap_or_else(unix_ms);
                self.verified_unix_ms.entry(host.id.clone()).or_insert(verified_at);
            }
        }
        self.progress.set_position(self.verified_unix_ms.len() as u64);
        share / reports.len().max(1) as f64
    }

    async fn platform_calls(&self) -> Option<u64> {
        let counts = self.deployment.api.get(self.deployment.platform, "/counts").await.ok()?;
        let kinds = ["gets", "watches", "puts", "deletes", "lists", "hosts"];
        Some(kinds.iter().filter_map(|it| counts[*it].as_u64()).sum())
    }

    async fn collect_figures(&mut self) -> BurstFigures {
        let reports = self.deployment.process_reports(&self.deployment.backends).await;
        self.record_progress(&reports);
        let options = self.deployment.options.clone();
        let size_bytes = self.deployment.size_bytes();
        let live = self.live_hosts();
        let bound_s = lower_bound_s(options.hosts, options.window_s);
        let time_to_all_s = self.time_to_all_s(&live);
        BurstFigures {
            hosts: options.hosts,
            size_bytes,
            mode: options.mode,
            faults: options.fault.0.iter().map(|it| it.as_str().to_owned()).collect(),
            seed: options.seed,
            bound_s,
            time_to_all_s,
            ratio: time_to_all_s.map(|it| it / bound_s),
            origin_copies: self.origin_copies(size_bytes).await,
            region_link_copies_max: self.region_link_copies_max(&reports, size_bytes),
            duplicate_chunk_share: self.duplicate_chunk_share(&reports),
            peak_rss_max_bytes: live
                .iter()
                .filter_map(|it| self.deployment.children.pid(&it.id))
                .filter_map(process_sample::peak_rss_bytes)
                .max(),
            hosts_at_target: self.n_hosts_at_target().await,
            hosts_live: live.len(),
            baselines: baseline::compute(options.hosts, options.regions, options.window_s, bound_s),
            ..BurstFigures::default()
        }
    }

    fn time_to_all_s(&self, live: &[HostPlan]) -> Option<f64> {
        let verified = live.iter().map(|it| self.verified_unix_ms.get(&it.id));
        let last = verified.collect::<Option<Vec<_>>>()?.into_iter().max()?;
        Some(last.saturating_sub(self.patched_unix_ms) as f64 / 1e3)
    }

    async fn origin_copies(&self, size_bytes: u64) -> Option<f64> {
        let counts = self.deployment.api.get(self.deployment.origin, "/counts").await.ok()?;
        let sent = counts["versions"][self.target_version.as_str()]["content_bytes"].as_u64()?;
        Some(sent as f64 / size_bytes as f64)
    }

    /// Returns the copies of the target that the region with the most cross-region traffic received
    /// from other regions.
    fn region_link_copies_max(&self, reports: &[Option<Value>], size_bytes: u64) -> Option<f64> {
        let mut received: BTreeMap<&str, u64> = BTreeMap::new();
        for (host, report) in self.deployment.backends.iter().zip(reports) {
            let Some(report) = report else { continue };
            let by_region =
                version_report(report, &self.target_version)?["cross_region_bytes"].as_object()?;
            let bytes: u64 = by_region.values().filter_map(Value::as_u64).sum();
            *received.entry(host.region.as_str()).or_default() += bytes;
        }
        let most = received.into_values().max()?;
        Some(most as f64 / size_bytes as f64)
    }

    fn duplicate_chunk_share(&self, reports: &[Option<Value>]) -> Option<f64> {
        let (mut duplicates, mut chunks) = (0, 0);
        for report in reports.iter().flatten() {
            let weights = version_report(report, &self.target_version)?;
            duplicates += weights["duplicate_chunks"].as_u64()?;
            chunks += weights["chunks_total"].as_u64()?;
        }
        Some(duplicates as f64 / chunks.max(1) as f64)
    }
}

fn version_report<'a>(report: &'a Value, version: &str) -> Option<&'a Value> {
    report["weights"].as_array()?.iter().find(|it| it["version"] == version)
}

/// Returns the lower bound of the transfer time to `n_hosts` hosts.
///
/// A host's link carries 2 copies per window in each direction, the origin's link 4. The bound is
/// the longest of three times: for one host to receive a copy, for the origin to send one copy, and
/// for the origin and all hosts together to send a copy to every host.
fn lower_bound_s(n_hosts: usize, window_s: f64) -> f64 {
    let n = n_hosts as f64;
    let copies = [
        1.0 / LINK_COPIES_PER_WINDOW,
        1.0 / ORIGIN_COPIES_PER_WINDOW,
        n / (ORIGIN_COPIES_PER_WINDOW + n * LINK_COPIES_PER_WINDOW),
    ];
    copies.into_iter().fold(0.0, f64::max) * window_s
}

fn progress_bar(n_hosts: usize) -> ProgressBar {
    let style = ProgressStyle::with_template("{elapsed} [{bar:40}] {pos}/{len} hosts verified");
    let bar = ProgressBar::new(n_hosts as u64);
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
