//! Faults that a burst can be run under.

use std::{io, time::Duration};

use crocustiller::runtime;
use serde_json::{json, Value};

use crate::{deployment::Deployment, host_plan::HostPlan};

/// A fault by its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultName {
    KillHost,
    KillRank0,
    StallLink,
    CorruptOrigin,
    Origin429,
    OriginDown,
    Retarget30,
    Retarget90,
    KillZone,
    RestartHost,
}

const NAMES: [(&str, FaultName); 10] = [
    ("kill-host", FaultName::KillHost),
    ("kill-rank0", FaultName::KillRank0),
    ("stall-link", FaultName::StallLink),
    ("corrupt-origin", FaultName::CorruptOrigin),
    ("origin-429", FaultName::Origin429),
    ("origin-down", FaultName::OriginDown),
    ("retarget-30", FaultName::Retarget30),
    ("retarget-90", FaultName::Retarget90),
    ("kill-zone", FaultName::KillZone),
    ("restart-host", FaultName::RestartHost),
];

/// Share of ranges that a corrupting origin spoils.
const CORRUPT_PERCENT: u32 = 20;

impl FaultName {
    pub(crate) fn parse(text: &str) -> Result<FaultName, String> {
        let found = NAMES.iter().find(|it| it.0 == text).map(|it| it.1);
        let names: Vec<&str> = NAMES.iter().map(|it| it.0).collect();
        found.ok_or_else(|| format!("unknown fault '{text}'; use one of {}", names.join(", ")))
    }

    pub(crate) fn as_str(self) -> &'static str {
        NAMES.iter().find(|it| it.1 == self).map_or("", |it| it.0)
    }

    /// Share of all chunks that are held when the fault begins.
    pub(crate) fn begins_at(self) -> f64 {
        match self {
            FaultName::CorruptOrigin | FaultName::Origin429 => 0.0,
            FaultName::Retarget90 => 0.9,
            _ => 0.3,
        }
    }

    /// Whether hosts end without warning, so that answers in progress are cut.
    pub(crate) fn kills_hosts(self) -> bool {
        use FaultName as F;
        matches!(self, F::KillHost | F::KillRank0 | F::KillZone | F::RestartHost | F::StallLink)
    }

    /// Whether the target changes.
    pub(crate) fn changes_target(self) -> bool {
        matches!(self, FaultName::Retarget30 | FaultName::Retarget90)
    }
}

impl Deployment {
    /// Begins a fault and gives the hosts that it ends; a fault that heals does so by itself.
    pub(crate) async fn begin(
        &self,
        fault: FaultName,
        reports: &[Option<Value>],
    ) -> io::Result<Vec<HostPlan>> {
        match fault {
            FaultName::KillHost => Ok(self.kill(vec![self.victim(reports, 0)])),
            FaultName::KillRank0 => Ok(self.kill(vec![self.greatest_origin_reader(reports)])),
            FaultName::KillZone => Ok(self.kill(self.last_zone())),
            FaultName::StallLink => self.freeze(&self.victim(reports, 1)).await,
            FaultName::RestartHost => self.restart(&self.victim(reports, 2)).await,
            FaultName::CorruptOrigin => {
                self.set_origin(json!({ "corrupt_percent": CORRUPT_PERCENT })).await
            }
            FaultName::Origin429 => self.disturb_origin("status_429").await,
            FaultName::OriginDown => self.disturb_origin("down").await,
            FaultName::Retarget30 | FaultName::Retarget90 => Ok(Vec::new()),
        }
    }

    fn victim(&self, reports: &[Option<Value>], skip: u64) -> HostPlan {
        let mut random = fastrand::Rng::with_seed(self.options.seed + skip);
        self.backends[random.usize(0..reports.len())].clone()
    }

    fn greatest_origin_reader(&self, reports: &[Option<Value>]) -> HostPlan {
        let bytes = |report: &Option<Value>| -> u64 {
            let weights = report.as_ref().and_then(|it| it["weights"].as_array());
            let targets = weights.into_iter().flatten();
            targets.filter_map(|it| it["origin_bytes"].as_u64()).max().unwrap_or(0)
        };
        let greatest = self.backends.iter().zip(reports).max_by_key(|it| bytes(it.1));
        greatest.expect("a deployment has backend server hosts").0.clone()
    }

    /// Hosts of the last backend server host's zone, entry hosts too.
    fn last_zone(&self) -> Vec<HostPlan> {
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

    /// Freezes a process for half of the window.
    async fn freeze(&self, host: &HostPlan) -> io::Result<Vec<HostPlan>> {
        self.children.freeze(&host.id);
        self.half_a_window().await;
        self.children.thaw(&host.id);
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

    async fn set_origin(&self, faults: Value) -> io::Result<Vec<HostPlan>> {
        self.api.post(self.origin, "/faults", &faults).await?;
        Ok(Vec::new())
    }

    /// Turns a fault of the origin on for half of the window.
    async fn disturb_origin(&self, field: &str) -> io::Result<Vec<HostPlan>> {
        self.set_origin(json!({ field: true })).await?;
        self.half_a_window().await;
        self.set_origin(json!({ field: false })).await
    }

    async fn half_a_window(&self) {
        runtime::sleep(Duration::from_secs_f64(self.options.window_s / 2.0)).await;
    }
}
