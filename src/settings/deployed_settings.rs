//! Settings of a process that is deployed on the platform.

use std::{
    collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, path::Path, time::Duration,
};

use crate::{
    http1::{descriptor_limit, MAX_DESCRIPTORS},
    ids::{RegionId, ZoneId},
    settings::{
        ini_reader::{IniReader, SettingsError},
        settings::{read_host, read_log},
        HostSettings, LogSettings, RoleSettings,
    },
};

/// The number of bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// The number of bytes in a megabyte.
const BYTES_PER_MB: f64 = 1_048_576.0;
/// Memory of a process whose settings don't name it, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// The number of milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// Allowed values of bounds on times, in milliseconds.
const TIME_RANGE_MS: RangeInclusive<f64> = 100.0..=3_600_000.0;

/// The settings of one process on the platform, as `crocustillerd --platform` reads them.
#[derive(Clone, Debug)]
pub struct DeployedSettings {
    /// `[host]`: identity, role and location of the process.
    pub host: HostSettings,
    /// `[store] address`: address of the platform's metadata store.
    pub store: SocketAddr,
    /// `[listen] peers`: address for messages and pieces between processes of the system.
    pub peers: SocketAddr,
    /// `[zones]`: the region of each availability zone, by which backend servers are located.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// `[host] processor_share`: processor time that the process gets, in cores.
    pub processor_share: f64,
    /// `[host] memory_mb`: memory that the process may use, converted to bytes.
    pub memory_bytes: usize,
    /// `[host] descriptors`: file descriptors that the process may have open.
    pub n_descriptors: u64,
    /// Settings that depend on the role.
    pub role: DeployedRole,
    /// `[bounds]`: limits on shutdown time, version changes and retries.
    pub bounds: BoundSettings,
    /// `[log]`: log settings.
    pub log: LogSettings,
}

/// The role of a process, with the settings that only this role has.
#[derive(Clone, Debug)]
pub enum DeployedRole {
    /// An entry host, which accepts requests from callers.
    Entry(EntryListenSettings),
    /// A slot process, which runs beside the engine of a backend server host.
    Backend(EngineSettings),
}

/// The listen addresses of an entry host, keys of `[listen]`.
#[derive(Clone, Debug)]
pub struct EntryListenSettings {
    /// `callers`: address for callers' requests.
    pub callers: SocketAddr,
    /// `readiness`: address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// `directory`: address for callers' directory queries, which resolve addresses.
    pub directory: SocketAddr,
    /// `metrics`: address that serves the metrics in the Prometheus text format.
    pub metrics: SocketAddr,
}

/// The engine beside a slot process, keys of `[engine]`.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// `service`: the pool of the engine.
    pub service: String,
    /// `address`: address of the engine.
    pub address: SocketAddr,
    /// `link_mbps`: rate of the machine's link in each direction, converted to bytes per second.
    pub link_bytes_per_s: u64,
}

/// Bounds that operators set for all hosts and guarantee to callers, keys of `[bounds]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundSettings {
    /// `grace_s`: time between the stop signal and the moment when the platform kills the process.
    pub grace: Duration,
    /// `version_ms`: time from the publication of a version until no request starts on an older
    /// one.
    pub version: Duration,
    /// `retry_ratio`: further attempts allowed after the first, as a share of the requests.
    pub retry_ratio: f64,
    /// `retry_slack`: attempts allowed beyond that share in one window, summed over all hosts.
    pub retry_slack: u64,
    /// `retry_window_s`: length of the window in which attempts are counted.
    pub retry_window: Duration,
    /// `evacuation_ms`: time from the evacuation of an availability zone until no request is sent to its
    /// backend servers; `None` if the platform evacuates no zones.
    pub evacuation: Option<Duration>,
    /// `cold_over`: factor on the request rate that a cold backend server can handle, up to which it
    /// doesn't crash.
    pub cold_over: f64,
    /// `cold_slack`: requests in one second that it can handle beyond that.
    pub cold_slack: u64,
}

impl DeployedSettings {
    /// Reads and checks the file at `path`; the error lists every problem found.
    pub fn load(path: &Path) -> Result<DeployedSettings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| SettingsError::Unreadable(path.to_owned(), err))?;
        DeployedSettings::parse(&text, path)
    }

    /// Parses and checks `text`, the content of the file at `path`.
    pub fn parse(text: &str, path: &Path) -> Result<DeployedSettings, SettingsError> {
        let mut reader = IniReader::new(text, path)?;
        let settings = read(&mut reader);
        reader.finish()?;
        Ok(settings.expect("a reader without problems has read every value"))
    }

    /// Returns the processor time that the process gets, in thousandths of a core.
    pub(crate) fn processor_permille(&self) -> u32 {
        (self.processor_share * 1000.0) as u32
    }
}

fn read(reader: &mut IniReader) -> Option<DeployedSettings> {
    let host = read_host(reader);
    let processor_share = reader.positive_number("host", "processor_share", 1.0);
    let memory_mb = reader.positive_number("host", "memory_mb", DEFAULT_MEMORY_MB);
    let n_descriptors =
        reader.number("host", "descriptors", 64..=MAX_DESCRIPTORS, descriptor_limit());
    let store = reader.address("store", "address");
    let peers = reader.address("listen", "peers");
    let mut zones = reader.names_by_key("zones");
    let role = match host.as_ref()?.role {
        RoleSettings::Entry => read_entry(reader).map(DeployedRole::Entry),
        RoleSettings::Backend => read_engine(reader).map(DeployedRole::Backend),
    };
    let bounds = read_bounds(reader);
    let log = read_log(reader);
    let host = host?;
    zones.entry(host.zone.clone()).or_insert_with(|| host.region.clone());
    Some(DeployedSettings {
        host,
        store: store?,
        peers: peers?,
        zones,
        processor_share: processor_share?,
        memory_bytes: (memory_mb? * BYTES_PER_MB) as usize,
        n_descriptors: n_descriptors?,
        role: role?,
        bounds: bounds?,
        log: log?,
    })
}

fn read_entry(reader: &mut IniReader) -> Option<EntryListenSettings> {
    let callers = reader.address("listen", "callers");
    let readiness = reader.address("listen", "readiness");
    let directory = reader.address("listen", "directory");
    let metrics = reader.address("listen", "metrics");
    Some(EntryListenSettings {
        callers: callers?,
        readiness: readiness?,
        directory: directory?,
        metrics: metrics?,
    })
}

fn read_engine(reader: &mut IniReader) -> Option<EngineSettings> {
    let service = reader.name("engine", "service");
    let address = reader.address("engine", "address");
    let link_mbps = reader.positive_number("engine", "link_mbps", 1000.0);
    let link_bytes_per_s = (link_mbps? * BYTES_PER_MBIT) as u64;
    Some(EngineSettings { service: service?, address: address?, link_bytes_per_s })
}

fn read_bounds(reader: &mut IniReader) -> Option<BoundSettings> {
    const SECTION: &str = "bounds";
    let grace_s = reader.decimal(SECTION, "grace_s", 1.0..=3_600.0, 8.0);
    let version_ms = reader.decimal(SECTION, "version_ms", TIME_RANGE_MS, 8_000.0);
    let retry_ratio = reader.fraction(SECTION, "retry_ratio", 0.2);
    let retry_slack = reader.decimal(SECTION, "retry_slack", 0.0..=1_000_000.0, 100.0);
    let retry_window_s = reader.decimal(SECTION, "retry_window_s", 1.0..=3_600.0, 10.0);
    let evacuation_ms = reader
        .has_key(SECTION, "evacuation_ms")
        .then(|| reader.decimal(SECTION, "evacuation_ms", TIME_RANGE_MS, 5_000.0));
    let cold_over = reader.positive_number(SECTION, "cold_over", 1.0);
    let cold_slack = reader.decimal(SECTION, "cold_slack", 0.0..=1_000_000.0, 0.0);
    let evacuation = match evacuation_ms {
        Some(it) => Some(milliseconds(it?)),
        None => None,
    };
    Some(BoundSettings {
        grace: Duration::from_secs_f64(grace_s?),
        version: milliseconds(version_ms?),
        retry_ratio: retry_ratio?,
        retry_slack: retry_slack? as u64,
        retry_window: Duration::from_secs_f64(retry_window_s?),
        evacuation,
        cold_over: cold_over?,
        cold_slack: cold_slack? as u64,
    })
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / MS_PER_S)
}
