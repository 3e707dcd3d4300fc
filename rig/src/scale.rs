//! Measures the processor time, memory and traffic of idle processes at several deployment sizes.

use std::{io, time::Duration};

use crocustiller::runtime;
use serde::Serialize;
use serde_json::Value;

use crate::{
    deployment::Deployment,
    host_plan::HostPlan,
    options::{BurstOptions, ScaleOptions},
    process_sample,
};

/// The pause before the measurement, in which the membership converges.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The mean figures per process of an idle deployment of one size.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ScaleFigures {
    pub(crate) hosts: usize,
    pub(crate) processes: usize,
    pub(crate) rest_s: f64,
    pub(crate) backend: Option<RoleFigures>,
    pub(crate) entry: Option<RoleFigures>,
    pub(crate) platform_calls_per_s: Option<f64>,
}

/// The mean figures per process of one role.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RoleFigures {
    /// The processor usage, in percent of one core.
    pub(crate) cpu_percent: f64,
    /// The control bytes sent per second.
    pub(crate) control_sent_bytes_per_s: f64,
    /// The control bytes received per second.
    pub(crate) control_received_bytes_per_s: f64,
    /// The bytes of weights sent per second.
    pub(crate) weights_sent_bytes_per_s: f64,
    /// The resident memory.
    pub(crate) rss_bytes: f64,
    /// The highest peak resident memory of any process.
    pub(crate) peak_rss_max_bytes: u64,
}

/// The counters of one process at one instant.
#[derive(Clone, Copy, Debug)]
struct Counters {
    cpu_s: f64,
    control_sent: f64,
    control_received: f64,
    weights_sent: f64,
}

/// Measures each size, one deployment after the other.
pub(crate) async fn run(options: &ScaleOptions) -> io::Result<Vec<ScaleFigures>> {
    let mut all = Vec::new();
    for hosts in &options.hosts.0 {
        eprintln!("rig: measuring an idle deployment of {hosts} backend server hosts");
        let figures = measure(*hosts, options).await?;
        if options.json {
            println!("{}", serde_json::to_string(&figures)?);
        }
        all.push(figures);
    }
    Ok(all)
}

async fn measure(hosts: usize, options: &ScaleOptions) -> io::Result<ScaleFigures> {
    let deployment = Deployment::start(&BurstOptions::without_burst(hosts, options.seed)).await?;
    runtime::sleep(SETTLE_TIME).await;
    let calls_before = platform_calls(&deployment).await;
    let backends_before = read_counters(&deployment, &deployment.backends).await;
    let entries_before = read_counters(&deployment, &deployment.entries).await;
    runtime::sleep(Duration::from_secs_f64(options.rest_s)).await;
    let backend =
        role_figures(&deployment, &deployment.backends, &backends_before, options.rest_s).await;
    let entry =
        role_figures(&deployment, &deployment.entries, &entries_before, options.rest_s).await;
    let calls = calls_before.zip(platform_calls(&deployment).await);
    let figures = ScaleFigures {
        hosts,
        processes: deployment.backends.len() + deployment.entries.len(),
        rest_s: options.rest_s,
        backend,
        entry,
        platform_calls_per_s: calls.map(|(before, after)| (after - before) / options.rest_s),
    };
    deployment.shut_down();
    Ok(figures)
}

async fn platform_calls(deployment: &Deployment) -> Option<f64> {
    let counts = deployment.api.get(deployment.platform, "/counts").await.ok()?;
    let kinds = ["gets", "watches", "puts", "deletes", "lists", "hosts"];
    Some(kinds.iter().filter_map(|it| counts[*it].as_f64()).sum())
}

async fn read_counters(deployment: &Deployment, hosts: &[HostPlan]) -> Vec<Option<Counters>> {
    let reports = deployment.process_reports(hosts).await;
    let host_counters = |(host, report): (&HostPlan, Option<Value>)| {
        let links = &report?["links"];
        Some(Counters {
            cpu_s: process_sample::cpu_s(deployment.children.pid(&host.id)?)?,
            control_sent: links["control_sent_bytes"].as_f64()?,
            control_received: links["control_received_bytes"].as_f64()?,
            weights_sent: links["weights_sent_bytes"].as_f64()?,
        })
    };
    hosts.iter().zip(reports).map(host_counters).collect()
}

/// Returns the means over the hosts whose counters were read before and after the measurement.
///
/// Returns `None` if there is no such host.
async fn role_figures(
    deployment: &Deployment,
    hosts: &[HostPlan],
    before: &[Option<Counters>],
    rest_s: f64,
) -> Option<RoleFigures> {
    let after = read_counters(deployment, hosts).await;
    let pairs: Vec<(Counters, Counters)> =
        before.iter().zip(after).filter_map(|(before, after)| (*before).zip(after)).collect();
    let mean = |value: fn(&Counters) -> f64| {
        let sum: f64 = pairs.iter().map(|(before, after)| value(after) - value(before)).sum();
        sum / pairs.len() as f64 / rest_s
    };
    let pids: Vec<u32> = hosts.iter().filter_map(|it| deployment.children.pid(&it.id)).collect();
    let rss: Vec<u64> = pids.iter().filter_map(|it| process_sample::rss_bytes(*it)).collect();
    let peak = pids.iter().filter_map(|it| process_sample::peak_rss_bytes(*it)).max();
    (!pairs.is_empty()).then(|| RoleFigures {
        cpu_percent: mean(|it| it.cpu_s) * 100.0,
        control_sent_bytes_per_s: mean(|it| it.control_sent),
        control_received_bytes_per_s: mean(|it| it.control_received),
        weights_sent_bytes_per_s: mean(|it| it.weights_sent),
        rss_bytes: rss.iter().sum::<u64>() as f64 / rss.len().max(1) as f64,
        peak_rss_max_bytes: peak.unwrap_or(0),
    })
}
