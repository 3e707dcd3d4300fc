//! Measures the rate of verified chunks between two hosts without rate limits, and of plain TCP.
//!
//! `cargo bench --bench chunk_path` prints medians of 5 runs over loopback.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

use crocustiller::{
    charter::RolloutMode, digest::Digest, rollout::WeightsTarget, runtime, weights::Manifest,
};
use crocustiller_standins::{NewVersion, OriginStandin};

use fleet::{Fleet, FleetOptions};

/// Length of the weights that are sent from one host to the other.
const SIZE_BYTES: u64 = 512 << 20;
/// Number of runs; the median is printed.
const N_RUNS: usize = 5;

fn main() {
    let mut tcp: Vec<f64> = (0..N_RUNS).map(|_| plain_tcp_rate()).collect();
    let mut chunks: Vec<f64> =
        (0..N_RUNS).map(|_| runtime::run_until(chunk_transfer_rate())).collect();
    tcp.sort_by(f64::total_cmp);
    chunks.sort_by(f64::total_cmp);
    println!("plain TCP, one connection, MB/s: median {:.0} of {tcp:.0?}", tcp[N_RUNS / 2]);
    println!(
        "verified chunks, host to host, MB/s: median {:.0} of {chunks:.0?}",
        chunks[N_RUNS / 2]
    );
}

fn plain_tcp_rate() -> f64 {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let sender = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let block = vec![7; 1 << 20];
        for _ in 0..SIZE_BYTES >> 20 {
            stream.write_all(&block).unwrap();
        }
    });
    let mut stream = TcpStream::connect(address).unwrap();
    let started = Instant::now();
    let mut block = vec![0; 1 << 20];
    while stream.read(&mut block).unwrap() > 0 {}
    let rate = SIZE_BYTES as f64 / started.elapsed().as_secs_f64() / 1e6;
    sender.join().unwrap();
    rate
}

/// Returns the rate in MB/s at which a second host fetches the weights from the first.
///
/// The first host fetches them from the origin beforehand, outside the measured time.
async fn chunk_transfer_rate() -> f64 {
    let origin = OriginStandin::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let new_version = NewVersion {
        version: "v1".to_owned(),
        seed: 7,
        size_bytes: SIZE_BYTES,
        ..NewVersion::default()
    };
    let manifest = origin.add_version(&new_version).unwrap();
    let target = WeightsTarget {
        version: manifest.version.clone(),
        manifest_digest: Digest::of(&manifest.to_json()),
    };
    let options = FleetOptions {
        bytes_per_s: 100_000_000_000,
        mode: RolloutMode::OriginFirst,
        ..FleetOptions::new(1, 1, origin.address())
    };
    let timeout = Duration::from_secs(120);
    let mut fleet = Fleet::start(options).await;
    fleet.set_targets(std::slice::from_ref(&target));
    assert!(fleet.wait_verified(&target, timeout).await);
    fleet.add_host().await;
    let started = Instant::now();
    fleet.set_targets(std::slice::from_ref(&target));
    assert!(fleet.wait_verified(&target, timeout).await);
    let rate = SIZE_BYTES as f64 / started.elapsed().as_secs_f64() / 1e6;
    let content_bytes = origin.counts().versions["v1"].content_bytes;
    assert_eq!(
        content_bytes,
        Manifest::clone(&manifest).size_bytes,
        "the second host fetched nothing from the origin"
    );
    for idx in 0..2 {
        fleet.kill(idx).await;
    }
    origin.close().await;
    rate
}
