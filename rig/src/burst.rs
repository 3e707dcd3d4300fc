//! One burst from the patch until every live host serves the new version.

use std::{
    collections::BTreeMap,
    io,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crocustiller::runtime;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value;

use crate::{
    baseline, deployment::Deployment, fault::FaultName, figures::BurstFigures, host_plan::HostPlan,
    live_load::LiveLoad, options::BurstOptions, process_sample,
};

/// Time of live requests before the patch.
const QUIET: Duration = Duration::from_secs(5);
/// Time of live requests after the last host serves the new version.
const AFTER: Duration = Duration::from_secs(2);
/// Pause between two looks.
const POLL: Duration = Duration::from_millis(500);
/// Hosts for which the pause between two looks is long enough.
const HOSTS_PER_POLL: usize = 60;
/// A burst is given up after this many windows.
const LIMIT_WINDOWS: f64 = 6.0;
/// Copies of the weights that a machine's link carries in a window, each way.
pub(crate) const LINK_COPIES: f64 = 2.0;
/// Copies of the weights that the origin's link carries in a window.
pub(crate) const ORIGIN_COPIES: f64 = 4.0;
/// Copies that the origin may send under any fault.
const ORIGIN_COPIES_MAX: f64 = 4.0;

/// State of a burst while it runs.
struct Burst {
    deployment: Deployment,
    digests: Vec<String>,
    target: String,
    charter_number: u64,
    dead: Vec<HostPlan>,
    patched_unix_ms: u64,
    verified_unix_ms: BTreeMap<String, u64>,
    progress: ProgressBar,
}

/// Runs a burst and gives its figures.
pub(crate) async fn run(options: &BurstOptions) -> io::Result<BurstFigures> {
    eprintln!("rig: starting {} backend server hosts", options.hosts);
    let deployment = Deployment::start(options).await?;
    let first = deployment.loaded(&deployment.backends).await;
    let mut digests: Vec<String> = first.into_iter().flatten().take(1).collect();
    for (idx, version) in ["v2", "v3"].iter().enumerate() {
        let seed = options.seed + idx as u64;
        digests.push(deployment.register(version, seed).await?.to_string());
    }
    let entries = deployment.entries.iter().map(|it| it.request).collect();
    let load = LiveLoad::start(entries, options.seed);
    runtime::sleep(QUIET).await;
    eprintln!("rig: {} requests ended before the patch", load.n_ended());
    let burst = Burst {
        progress: progress_bar(options.hosts),
        target: "v2".to_owned(),
        charter_number: 1,
        dead: Vec::new(),
        patched_unix_ms: 0,
        verified_unix_ms: BTreeMap::new(),
        deployment,
        digests,
    };
    burst.run(load).await
}

impl Burst {
    async fn run(mut self, load: LiveLoad) -> io::Result<BurstFigures> {
        let options = self.deployment.options.clone();
        let calls_before = self.platform_calls().await;
        let started = Instant::now();
        self.patch("v2").await?;
        let is_served = self.watch(started).await?;
        let ended = Instant::now();
        let calls = calls_before.zip(self.platform_calls().await);
        runtime::sleep(AFTER).await;
        let samples = load.close().await;
        let mut figures = self.figures().await;
        figures.add_samples(&samples, &self.digests, started..ended);
        let elapsed_s = (ended - started).as_secs_f64();
        figures.time_to_all_serving_s = is_served.then_some(elapsed_s);
        figures.platform_calls_per_s =
            calls.map(|(before, after)| (after - before) as f64 / elapsed_s);
        let kills_hosts = options.fault.0.iter().any(|it| it.kills_hosts());
        figures.judge(kills_hosts, ORIGIN_COPIES_MAX);
        self.deployment.close();
        Ok(figures)
    }

    async fn patch(&mut self, version: &str) -> io::Result<()> {
        let number = self.charter_number;
        self.charter_number = self.deployment.set_version(number, version).await?;
        self.target = version.to_owned();
        self.patched_unix_ms = unix_ms();
        self.verified_unix_ms.clear();
        Ok(())
    }

    /// Looks until every live engine has the target; false when the time limit passed.
    async fn watch(&mut self, started: Instant) -> io::Result<bool> {
        let limit = Duration::from_secs_f64(self.deployment.options.window_s * LIMIT_WINDOWS);
        let mut pending = self.deployment.options.fault.0.clone();
        while started.elapsed() < limit {
            let reports = self.deployment.processes(&self.deployment.backends).await;
            let share = self.note_progress(&reports);
            let due: Vec<FaultName> =
                pending.iter().copied().filter(|it| share >= it.begins_at()).collect();
            pending.retain(|it| !due.contains(it));
            self.begin(&due, &reports).await?;
            if pending.is_empty() && self.n_at_target().await == self.live().len() {
                self.progress.finish_and_clear();
                return Ok(true);
            }
            runtime::sleep(POLL * self.deployment.options.hosts.div_ceil(HOSTS_PER_POLL) as u32)
                .await;
        }
        self.progress.finish_and_clear();
        Ok(false)
    }

    /// Begins faults that are due at the same time side by side.
    async fn begin(&mut self, due: &[FaultName], reports: &[Option<Value>]) -> io::Result<()> {
        let begun = due.iter().map(|it| self.deployment.begin(*it, reports));
        let ended = futures_util::future::try_join_all(begun).await?;
        self.dead.extend(ended.into_iter().flatten());
        if due.iter().any(|it| it.changes_target()) {
            self.patch("v3").await?;
        }
        Ok(())
    }

    fn live(&self) -> Vec<HostPlan> {
        let is_dead = |host: &HostPlan| self.dead.iter().any(|it| it.id == host.id);
        self.deployment.backends.iter().filter(|it| !is_dead(it)).cloned().collect()
    }

    async fn n_at_target(&self) -> usize {
        let idx = if self.target == "v3" { 2 } else { 1 };
        let loaded = self.deployment.loaded(&self.live()).await;
        loaded.iter().filter(|it| it.as_ref() == Some(&self.digests[idx])).count()
    }

    /// Notes hosts that verified the target; gives the share of all its chunks that are held.
    fn note_progress(&mut self, reports: &[Option<Value>]) -> f64 {
        let mut share = 0.0;
        for (host, report) in self.deployment.backends.iter().zip(reports) {
            let Some(target) = report.as_ref().and_then(|it| target_of(it, &self.target)) else {
                continue;
            };
            let number = |key: &str| target[key].as_f64().unwrap_or(0.0);
            share += number("chunks_held") / number("chunks_total").max(1.0);
            if target["is_verified"] == Value::Bool(true) {
                let at = target["verified_unix_ms"].as_u64().unwrap_or_else(unix_ms);
                self.verified_unix_ms.entry(host.id.clone()).or_insert(at);
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

    async fn figures(&mut self) -> BurstFigures {
        let reports = self.deployment.processes(&self.deployment.backends).await;
        self.note_progress(&reports);
        let options = self.deployment.options.clone();
        let size_bytes = self.deployment.size_bytes();
        let live = self.live();
        let bound_s = bound_s(options.hosts, options.window_s);
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
            hosts_at_target: self.n_at_target().await,
            hosts_live: live.len(),
            baselines: baseline::all(options.hosts, options.regions, options.window_s, bound_s),
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
        let sent = counts["versions"][self.target.as_str()]["content_bytes"].as_u64()?;
        Some(sent as f64 / size_bytes as f64)
    }

    /// Copies of the target that came into the region that received most from other regions.
    fn region_link_copies_max(&self, reports: &[Option<Value>], size_bytes: u64) -> Option<f64> {
        let mut received: BTreeMap<&str, u64> = BTreeMap::new();
        for (host, report) in self.deployment.backends.iter().zip(reports) {
            let Some(report) = report else { continue };
            let by_region = target_of(report, &self.target)?["cross_region_bytes"].as_object()?;
            let bytes: u64 = by_region.values().filter_map(Value::as_u64).sum();
            *received.entry(host.region.as_str()).or_default() += bytes;
        }
        let most = received.into_values().max()?;
        Some(most as f64 / size_bytes as f64)
    }

    fn duplicate_chunk_share(&self, reports: &[Option<Value>]) -> Option<f64> {
        let (mut duplicates, mut chunks) = (0, 0);
        for report in reports.iter().flatten() {
            let target = target_of(report, &self.target)?;
            duplicates += target["duplicate_chunks"].as_u64()?;
            chunks += target["chunks_total"].as_u64()?;
        }
        Some(duplicates as f64 / chunks.max(1) as f64)
    }
}

fn target_of<'a>(report: &'a Value, version: &str) -> Option<&'a Value> {
    report["weights"].as_array()?.iter().find(|it| it["version"] == version)
}

/// Least time for `n_hosts` hosts with links of 2 copies a window each way and an origin of 4.
fn bound_s(n_hosts: usize, window_s: f64) -> f64 {
    let n = n_hosts as f64;
    let copies = [1.0 / LINK_COPIES, 1.0 / ORIGIN_COPIES, n / (ORIGIN_COPIES + n * LINK_COPIES)];
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
