//! The faults that can be applied during a burst.

use std::{io, time::Duration};

use crocustiller::runtime;
use serde_json::{json, Value};

use crate::{deployment::Deployment, host_plan::HostPlan};

/// A fault, selected by its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Kills a random backend server host.
    KillHost,
    /// Kills the backend server host that fetched the most bytes from the origin.
    KillRank0,
    /// Pauses the process of a random backend server host for half of the window.
    StallLink,
    /// Makes the origin send corrupt ranges.
    CorruptOrigin,
    /// Makes the origin respond with status 429 for half of the window.
    Origin429,
    /// Makes the origin unavailable for half of the window.
    OriginDown,
    /// Changes the target once 30 % of the chunks are stored.
    Retarget30,
    /// Changes the target once 90 % of the chunks are stored.
    Retarget90,
    /// Kills all hosts of one availability zone.
    KillZone,
    /// Kills a random backend server host and starts it again.
    RestartHost,
}

const NAMES: [(&str, Fault); 10] = [
    ("kill-host", Fault::KillHost),
    ("kill-rank0", Fault::KillRank0),
    ("stall-link", Fault::StallLink),
    ("corrupt-origin", Fault::CorruptOrigin),
    ("origin-429", Fault::Origin429),
    ("origin-down", Fault::OriginDown),
    ("retarget-30", Fault::Retarget30),
    ("retarget-90", Fault::Retarget90),
    ("kill-zone", Fault::KillZone),
    ("restart-host", Fault::RestartHost),
];

/// The percentage of ranges that the origin corrupts under `corrupt-origin`.
const CORRUPT_PERCENT: u32 = 20;

impl Fault {
    pub(crate) fn parse(text: &str) -> Result<Fault, String> {
        let fault = NAMES.iter().find(|it| it.0 == text).map(|it| it.1);
        let names: Vec<&str> = NAMES.iter().map(|it| it.0).collect();
        fault.ok_or_else(|| format!("unknown fault '{text}'; use one of {}", names.join(", ")))
    }

    pub(crate) fn as_str(self) -> &'static str {
        NAMES.iter().find(|it| it.1 == self).map_or("", |it| it.0)
    }

    /// Returns the share of all chunks that must be stored before the fault starts.
    pub(crate) fn start_share(self) -> f64 {
        match self {
            Fault::CorruptOrigin | Fault::Origin429 => 0.0,
            Fault::Retarget90 => 0.9,
            _ => 0.3,
        }
    }

    /// Returns `true` if the fault kills or pauses processes, which may cut answers in progress.
    pub(crate) fn kills_hosts(self) -> bool {
        use Fault as F;
        matches!(self, F::KillHost | F::KillRank0 | F::KillZone | F::RestartHost | F::StallLink)
    }

    /// Returns `true` if the fault changes the target version during the burst.
    pub(crate) fn changes_target(self) -> bool {
        matches!(self, Fault::Retarget30 | Fault::Retarget90)
    }
}

impl Deployment {
    /// Starts a fault and returns the hosts that stay killed.
    ///
    /// A temporary fault has ended when this returns.
    pub(crate) async fn start_fault(
        &self,
        fault: Fault,
        reports: &[Option<Value>],
    ) -> io::Result<Vec<HostPlan>> {
        match fault {
            Fault::KillHost => Ok(self.kill(vec![self.random_backend(reports, 0)])),
            Fault::KillRank0 => Ok(self.kill(vec![self.backend_with_most_origin_bytes(reports)])),
            Fault::KillZone => Ok(self.kill(self.hosts_of_last_zone())),
            Fault::StallLink => self.pause(&self.random_backend(reports, 1)).await,
            Fault::RestartHost => self.restart(&self.random_backend(reports, 2)).await,
            Fault::CorruptOrigin => {
                self.set_origin_faults(json!({ "corrupt_percent": CORRUPT_PERCENT })).await
            }
            Fault::Origin429 => self.set_origin_fault_for_half_window("status_429").await,
            Fault::OriginDown => self.set_origin_fault_for_half_window("down").await,
            Fault::Retarget30 | Fault::Retarget90 => Ok(Vec::new()),
        }
    }

    fn random_backend(&self, reports: &[Option<Value>], seed_offset: u64) -> HostPlan {
        let mut random = fastrand::Rng::with_seed(self.options.seed + seed_offset);
        self.backends[random.usize(0..reports.len())].clone()
    }

    fn backend_with_most_origin_bytes(&self, reports: &[Option<Value>]) -> HostPlan {
        let bytes = |report: &Option<Value>| -> u64 {
            let weights = report.as_ref().and_then(|it| it["weights"].as_array());
            let versions = weights.into_iter().flatten();
            versions.filter_map(|it| it["origin_bytes"].as_u64()).max().unwrap_or(0)
        };
        let backend = self.backends.iter().zip(reports).max_by_key(|it| bytes(it.1));
        backend.expect("a deployment has backend server hosts").0.clone()
    }

    /// Returns all hosts in the zone of the last backend server host, including entry hosts.
    fn hosts_of_last_zone(&self) -> Vec<HostPlan> {
        let zone = self.backends.last().map(|it| it.zone.clone());
        let all = self.backends.iter().chain(&self.entries);
        all.filter(|it| Some(&it.zone) == zone.as_ref()).cloned().collect()
    }

    fn kill(&self, hosts: Vec<HostPlan>) -> Vec<HostPlan> {
        for host in &hosts {
            self.children.kill(&host.id);
            let Some(engine) = host.engine else { continue };
            let api = self.api.clone();
            runtime::spawn(async move { api.post(engine, "/crash", &Value::Null).await }).detach();
        }
        hosts
    }

    /// Pauses the process of a host for half of the window.
    async fn pause(&self, host: &HostPlan) -> io::Result<Vec<HostPlan>> {
        self.children.pause(&host.id);
        self.sleep_half_window().await;
        self.children.resume(&host.id);
        Ok(Vec::new())
    }

    async fn restart(&self, host: &HostPlan) -> io::Result<Vec<HostPlan>> {
        if let Some(engine) = host.engine {
            self.api.post(engine, "/faults", &json!({"restart_after_ms": 1000})).await?;
        }
        self.kill(vec![host.clone()]);
        runtime::sleep(Duration::from_secs(2)).await;
        self.start_host(host)?;
        Ok(Vec::new())
    }

    async fn set_origin_faults(&self, faults: Value) -> io::Result<Vec<HostPlan>> {
        self.api.post(self.origin, "/faults", &faults).await?;
        Ok(Vec::new())
    }

    /// Enables a fault of the origin for half of the window.
    async fn set_origin_fault_for_half_window(&self, field: &str) -> io::Result<Vec<HostPlan>> {
        self.set_origin_faults(json!({ field: true })).await?;
        self.sleep_half_window().await;
        self.set_origin_faults(json!({ field: false })).await
    }

    async fn sleep_half_window(&self) {
        runtime::sleep(Duration::from_secs_f64(self.options.window_s / 2.0)).await;
    }
}
