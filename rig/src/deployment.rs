//! Starts a deployment of stand-ins, entry hosts and backend server hosts as processes on loopback.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use crocustiller::{digest::Digest, runtime};
use serde_json::{json, Value};

use crate::{
    api_client::{ApiClient, OPERATOR_TOKEN},
    burst::{LINK_COPIES_PER_WINDOW, ORIGIN_COPIES_PER_WINDOW},
    child_processes::ChildProcesses,
    host_plan::{HostPlan, PortAllocator},
    options::BurstOptions,
};

/// The number of engines in one stand-in process.
const ENGINES_PER_PROCESS: usize = 5;
/// The timeout of each step of the start, such as all engines loading the first version.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// The interval between two polls of the starting processes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The size of the first version's weights.
const FIRST_VERSION_BYTES: u64 = 1 << 20;
/// The number of entry hosts whose peer addresses a process gets for joining.
const N_JOIN_ADDRESSES: usize = 3;
/// The name of the only pool.
pub(crate) const POOL: &str = "drafts";
/// The number of customers that share the pool.
pub(crate) const N_CUSTOMERS: usize = 3;

/// A running deployment on loopback; dropping the value kills its processes.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) options: BurstOptions,
    pub(crate) api: ApiClient,
    pub(crate) platform: SocketAddr,
    pub(crate) origin: SocketAddr,
    pub(crate) entries: Vec<HostPlan>,
    pub(crate) backends: Vec<HostPlan>,
    pub(crate) children: ChildProcesses,
    folder: RunFolder,
}

/// The folder of settings and logs; dropping the value removes it unless `is_kept` is set.
#[derive(Debug)]
struct RunFolder {
    path: PathBuf,
    is_kept: bool,
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if self.is_kept {
            eprintln!("settings and logs: {}", self.path.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.path);
    }
}

impl Deployment {
    /// Starts all processes and waits until every host serves the first version.
    pub(crate) async fn start(options: &BurstOptions) -> io::Result<Deployment> {
        let mut ports = PortAllocator::new();
        let folder = std::env::temp_dir().join(format!("crocustiller-rig-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Deployment {
            options: options.clone(),
            api: ApiClient::default(),
            platform: ports.next_address()?,
            origin: ports.next_address()?,
            entries: Vec::new(),
            backends: Vec::new(),
            children: ChildProcesses::new(&folder),
            folder: RunFolder { path: folder, is_kept: options.keep_logs },
        };
        for idx in 0..options.entry_hosts {
            deployment.entries.push(HostPlan::entry(idx, options.regions, &mut ports)?);
        }
        for idx in 0..options.hosts {
            deployment.backends.push(HostPlan::backend(idx, options.regions, &mut ports)?);
        }
        deployment.start_standins().await?;
        fs::write(deployment.folder.path.join("peer.key"), "rig-peer-key-of-loopback")?;
        for host in deployment.entries.iter().chain(&deployment.backends) {
            deployment.start_host(host)?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the size of the new weights.
    pub(crate) fn size_bytes(&self) -> u64 {
        let file = self.options.weights.as_ref().and_then(|it| fs::metadata(it).ok());
        file.map_or(self.options.size_mib << 20, |it| it.len())
    }

    /// Returns the rate that transfers `copies` copies of the weights in one window.
    pub(crate) fn bytes_per_s(&self, copies: f64) -> u64 {
        (copies * self.size_bytes() as f64 / self.options.window_s) as u64
    }

    /// Writes the settings of a host and starts its daemon; also restarts a killed host.
    pub(crate) fn start_host(&self, host: &HostPlan) -> io::Result<()> {
        let path = self.folder.path.join(format!("{}.ini", host.id));
        fs::write(&path, self.settings_text(host))?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        self.children.spawn(&host.id, "crocustillerd", &args)
    }

    /// Registers a version at the origin and returns the digest of its content.
    pub(crate) async fn register_version(&self, version: &str, seed: u64) -> io::Result<Digest> {
        let mut body = json!({"version": version, "seed": seed, "size_bytes": self.size_bytes()});
        if let Some(file) = &self.options.weights {
            body["file"] = json!(fs::canonicalize(file)?);
        }
        self.post_version(&body).await
    }

    /// Patches the pool's version in charter `number` and returns the new charter number.
    pub(crate) async fn set_version(&self, number: u64, version: &str) -> io::Result<u64> {
        let patch = json!({"pools": {POOL: {"version": version}}});
        let key = format!("rig-{number}-{version}");
        self.api.patch_charter(self.entries[0].operator, number, &key, &patch).await?;
        Ok(number + 1)
    }

    /// Returns the digest of the weights that each host's engine has loaded.
    ///
    /// An entry is `None` if the engine does not respond or has no weights.
    pub(crate) async fn loaded_digests(&self, hosts: &[HostPlan]) -> Vec<Option<String>> {
        let requests = hosts.iter().map(|host| async move {
            let address = host.engine.expect("a backend server host has an engine");
            let state = self.api.get(address, "/admin/state").await.ok()?;
            state["content_digest"].as_str().map(str::to_owned)
        });
        futures_util::future::join_all(requests).await
    }

    /// Returns the report of each host's process, or `None` for a host that does not respond.
    pub(crate) async fn process_reports(&self, hosts: &[HostPlan]) -> Vec<Option<Value>> {
        let requests = hosts
            .iter()
            .map(|host| async move { self.api.get(host.operator, "/v1/process").await.ok() });
        futures_util::future::join_all(requests).await
    }

    /// Kills all processes.
    pub(crate) fn shut_down(self) {
        drop(self);
    }

    async fn start_standins(&self) -> io::Result<()> {
        let program = "crocustiller-standins";
        let listen_args = |it: SocketAddr| ["--listen".to_owned(), it.to_string()];
        for (kind, address) in [("platform", self.platform), ("origin", self.origin)] {
            let mut args = vec![kind.to_owned()];
            args.extend(listen_args(address));
            self.children.spawn(kind, program, &args)?;
        }
        for (idx, hosts) in self.backends.chunks(ENGINES_PER_PROCESS).enumerate() {
            let mut args = vec!["engine".to_owned()];
            args.extend(hosts.iter().filter_map(|it| it.engine).flat_map(listen_args));
            self.children.spawn(&format!("engines-{idx}"), program, &args)?;
        }
        self.wait_for("the stand-ins", || async {
            let mut missing = 0;
            for address in [self.platform, self.origin] {
                missing += usize::from(self.api.get(address, "/counts").await.is_err());
            }
            missing
        })
        .await?;
        let hosts: Vec<Value> =
            self.entries.iter().chain(&self.backends).map(host_object).collect();
        self.api.post(self.platform, "/hosts", &json!({ "hosts": hosts })).await?;
        self.api.create_object(self.platform, "charter", &self.first_charter()).await?;
        let first = json!({"version": "v1", "seed": 0, "size_bytes": FIRST_VERSION_BYTES});
        self.post_version(&first).await?;
        let rate = json!({"rate_bytes_per_s": self.bytes_per_s(ORIGIN_COPIES_PER_WINDOW)});
        self.api.post(self.origin, "/faults", &rate).await.map(|_| ())
    }

    async fn post_version(&self, body: &Value) -> io::Result<Digest> {
        let response = self.api.post(self.origin, "/versions", body).await?;
        let text = response["content_digest"].as_str().unwrap_or_default();
        text.parse().map_err(io::Error::other)
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let all: Vec<&HostPlan> = self.entries.iter().chain(&self.backends).collect();
        self.wait_for("processes to be ready", || async {
            let requests =
                all.iter().map(|it| async { self.api.get(it.operator, "/readyz").await.is_err() });
            let unready = futures_util::future::join_all(requests).await;
            unready.into_iter().filter(|it| *it).count()
        })
        .await?;
        self.wait_for("engines to load the first version", || async {
            let loaded = self.loaded_digests(&self.backends).await;
            loaded.iter().filter(|it| it.is_none()).count()
        })
        .await?;
        let all: Vec<HostPlan> = self.entries.iter().chain(&self.backends).cloned().collect();
        self.wait_for("the switch to the first version", || async {
            let reports = self.process_reports(&all).await;
            let is_switch_missing = |report: &Option<Value>| {
                let number = report.as_ref().and_then(|it| it["switch_numbers"][POOL].as_u64());
                number.unwrap_or(0) == 0
            };
            reports.iter().filter(|it| is_switch_missing(it)).count()
        })
        .await
    }

    async fn wait_for<F: std::future::Future<Output = usize>>(
        &self,
        what: &str,
        n_missing: impl Fn() -> F,
    ) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let missing = n_missing().await;
            if missing == 0 {
                return Ok(());
            }
            if let Some(name) = self.children.exited().first() {
                let log = fs::read_to_string(self.folder.path.join(format!("{name}.log")));
                let log = log.unwrap_or_default();
                return Err(io::Error::other(format!(
                    "{name} exited during startup, see its log:\n{log}"
                )));
            }
            if Instant::now() > deadline {
                let message = format!(
                    "timed out waiting for {what}: {missing} missing; \
                     use `rig burst --keep-logs` to keep the logs of the processes"
                );
                return Err(io::Error::other(message));
            }
            runtime::sleep(POLL_INTERVAL).await;
        }
    }

    fn first_charter(&self) -> Value {
        let names: Vec<String> = (0..N_CUSTOMERS).map(customer_name).collect();
        let customers: serde_json::Map<String, Value> = names
            .iter()
            .map(|it| {
                (it.clone(), json!({"token_digest": Digest::of(customer_token(it).as_bytes())}))
            })
            .collect();
        json!({
            "number": 1,
            "pools": {POOL: {"version": "v1", "customers": names, "min_serving_percent": 50}},
            "customers": customers,
            "rollout": {
                "mode": self.options.mode,
                "origin_copies": if self.options.mode == "time-first" { 2 } else { 1 },
            },
        })
    }

    fn settings_text(&self, host: &HostPlan) -> String {
        let join: Vec<String> =
            self.entries.iter().take(N_JOIN_ADDRESSES).map(|it| it.peer.to_string()).collect();
        let link_bytes_per_s = self.bytes_per_s(LINK_COPIES_PER_WINDOW);
        let mut text = format!(
            "[host]\nid = {}\nrole = {}\nregion = {}\nzone = {}\n\
             [listen]\nrequest = {}\npeer = {}\noperator = {}\n\
             [platform]\naddresses = {}\n[join]\npeers = {}\n\
             [secrets]\npeer_key_file = peer.key\noperator_token_digest = {}\n\
             [weights]\norigin = {}\nsend_bytes_per_s = {link_bytes_per_s}\n\
             receive_bytes_per_s = {link_bytes_per_s}\n",
            host.id,
            host.role(),
            host.region,
            host.zone,
            host.request,
            host.peer,
            host.operator,
            self.platform,
            join.join(", "),
            Digest::of(OPERATOR_TOKEN.as_bytes()),
            self.origin,
        );
        if let Some(engine) = host.engine {
            text.push_str(&format!(
                "[backend]\nkind = engine\nname = {POOL}\naddress = {engine}\nchecks_fencing = true\n"
            ));
        }
        text
    }
}

/// Returns the name of the customer with index `idx`.
pub(crate) fn customer_name(idx: usize) -> String {
    format!("customer-{idx}")
}

/// Returns the bearer token of a customer.
pub(crate) fn customer_token(customer: &str) -> String {
    format!("token-of-{customer}")
}

fn host_object(host: &HostPlan) -> Value {
    json!({
        "host": host.id,
        "role": host.role(),
        "region": host.region,
        "zone": host.zone,
        "state": "live",
        "peer_address": host.peer,
    })
}
