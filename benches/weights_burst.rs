//! Measures a burst: all hosts fetch a new version at the same time.
//!
//! It prints the time until every host has verified the weights, its ratio to the lower bound that
//! the link rates set, and the copies sent.
//!
//! Usage: `cargo bench --bench weights_burst -- <hosts> <regions> <MiB> <mode> <runs>`. Rates are
//! set for a window of 20 s. With the environment variable `BURST_TRACE`, it prints the
//! progress every second.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::{Duration, Instant};

use crocustiller::{
    charter::RolloutMode, digest::Digest, rollout::WeightsTarget, runtime, weights::Manifest,
};
use crocustiller_standins::{NewVersion, OriginBehaviour, OriginStandin};

use fleet::{Fleet, FleetOptions};

/// Time in which each host can send and receive two copies and the origin can send four.
const WINDOW_S: f64 = 20.0;
/// Number of threads that run tasks in addition to the two of `runtime::run_until`.
const EXTRA_THREADS: usize = 6;

/// The results of one run; `region_copies_max` is the most copies sent from one region to another.
#[derive(Debug)]
#[allow(dead_code, reason = "printed in Debug format")]
struct Figures {
    time_s: f64,
    ratio: f64,
    origin_copies: f64,
    region_copies_max: f64,
    duplicate_share: f64,
    hedged: u64,
    busy: u64,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|it| it != "--bench").collect();
    let arg =
        |idx: usize, default: &str| args.get(idx).cloned().unwrap_or_else(|| default.to_owned());
    let number = |idx: usize, default: &str| arg(idx, default).parse::<usize>().unwrap();
    let (n_hosts, n_regions, size_mib) = (number(0, "60"), number(1, "3"), number(2, "64"));
    let mode = match arg(3, "origin-first").as_str() {
        "time-first" => RolloutMode::TimeFirst,
        _ => RolloutMode::OriginFirst,
    };
    let n_runs = number(4, "1");
    for _ in 0..EXTRA_THREADS / 2 {
        std::thread::spawn(|| runtime::run_until(std::future::pending::<()>()));
    }
    runtime::run_until(async {
        let mut ratios = Vec::new();
        for _ in 0..n_runs {
            let figures = run_burst(n_hosts, n_regions, (size_mib as u64) << 20, mode).await;
            println!("{figures:.3?}");
            ratios.push(figures.ratio);
        }
        ratios.sort_by(f64::total_cmp);
        println!("median ratio {:.3} of {n_runs}", ratios[ratios.len() / 2]);
    });
}

async fn run_burst(
    n_hosts: usize,
    n_regions: usize,
    size_bytes: u64,
    mode: RolloutMode,
) -> Figures {
    let size = size_bytes as f64;
    let (host_rate, origin_rate) = (2.0 * size / WINDOW_S, 4.0 * size / WINDOW_S);
    let n = n_hosts as f64;
    let bound_s =
        (size / host_rate).max(size / origin_rate).max(n * size / (origin_rate + n * host_rate));
    let origin = OriginStandin::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let rate_bytes_per_s = origin_rate as u64;
    origin.set_behaviour(OriginBehaviour { rate_bytes_per_s, ..OriginBehaviour::default() });
    let new_version =
        NewVersion { version: "v1".to_owned(), seed: 7, size_bytes, ..NewVersion::default() };
    let manifest = origin.add_version(&new_version).unwrap();
    let options = FleetOptions {
        bytes_per_s: host_rate as u64,
        mode,
        ..FleetOptions::new(n_hosts, n_regions, origin.address())
    };
    let mut fleet = Fleet::start(options).await;
    let target = target_of(&manifest);
    let started = Instant::now();
    fleet.set_targets(std::slice::from_ref(&target));
    let mut next_print_s = 1.0;
    let mut is_verified = false;
    while !is_verified {
        is_verified = fleet.wait_verified(&target, Duration::from_millis(100)).await;
        if std::env::var_os("BURST_TRACE").is_some()
            && started.elapsed().as_secs_f64() > next_print_s
        {
            print_progress(&fleet, &target, next_print_s);
            next_print_s += 1.0;
        }
        assert!(started.elapsed() < Duration::from_secs(120), "{:#?}", fleet.progress(&target));
    }
    let progresses = fleet.progress(&target);
    let last_verified_ms =
        progresses.iter().filter_map(|it| it.verified_unix_ms).max().unwrap_or(0);
    let first_started_ms = progresses.iter().map(|it| it.started_unix_ms).min().unwrap_or(0);
    let time_s = (last_verified_ms - first_started_ms) as f64 / 1000.0;
    let figures = Figures {
        time_s,
        ratio: time_s / bound_s,
        origin_copies: origin.counts().versions["v1"].content_bytes as f64 / size,
        region_copies_max: max_region_bytes(&fleet, n_regions, &target) / size,
        duplicate_share: progresses.iter().map(|it| it.counts.duplicate_chunks).sum::<u64>() as f64
            / (n * manifest.chunks.len() as f64),
        hedged: progresses.iter().map(|it| it.counts.hedged_requests).sum(),
        busy: progresses.iter().map(|it| it.counts.busy_answers).sum(),
    };
    for idx in 0..n_hosts {
        fleet.kill(idx).await;
    }
    origin.close().await;
    figures
}

fn print_progress(fleet: &Fleet, target: &WeightsTarget, at_s: f64) {
    let n_chunks: Vec<u32> = fleet.progress(target).iter().map(|it| it.chunks_held).collect();
    let origin: u64 = fleet.progress(target).iter().map(|it| it.counts.origin_bytes).sum();
    let mean = n_chunks.iter().sum::<u32>() as f64 / n_chunks.len().max(1) as f64;
    println!(
        "  {at_s:.0} s: chunks stored min {:?} mean {mean:.1} max {:?}, origin MiB {:.1}",
        n_chunks.iter().min(),
        n_chunks.iter().max(),
        origin as f64 / (1 << 20) as f64
    );
}

/// Returns the largest number of chunk bytes that one region received from one other region.
fn max_region_bytes(fleet: &Fleet, n_regions: usize, target: &WeightsTarget) -> f64 {
    let mut max_bytes = 0;
    for idx in 0..n_regions {
        let receivers =
            fleet.running().filter(|it| it.node.settings.host.region == format!("region-{idx}"));
        let mut sums = std::collections::BTreeMap::<String, u64>::new();
        let counts = receivers
            .flat_map(|it| it.stage.progress())
            .filter(|it| it.manifest_digest == target.manifest_digest);
        for progress in counts {
            for (region, bytes) in progress.counts.cross_region_bytes {
                *sums.entry(region).or_default() += bytes;
            }
        }
        max_bytes = max_bytes.max(sums.into_values().max().unwrap_or(0));
    }
    max_bytes as f64
}

fn target_of(manifest: &Manifest) -> WeightsTarget {
    WeightsTarget {
        version: manifest.version.clone(),
        manifest_digest: Digest::of(&manifest.to_json()),
    }
}
