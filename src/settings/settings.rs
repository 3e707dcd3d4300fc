//! What one process is told at its start.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    digest::Digest,
    ids::{HostId, RegionId, ZoneId},
    peer::PeerKey,
    settings::ini_reader::{IniReader, SettingsError},
};

/// All settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[host]`: who the process is.
    pub host: HostSettings,
    /// `[listen]`: where the process listens.
    pub listen: ListenSettings,
    /// `[platform]`: the platform's service.
    pub platform: PlatformSettings,
    /// `[join] peers`: processes to learn the membership from.
    pub join: Vec<SocketAddr>,
    /// `[secrets]`: keys and digests, read from the files that the settings name.
    pub secrets: SecretSettings,
    /// `[weights]`: the origin and the link budget.
    pub weights: WeightsSettings,
    /// `[backend]`: the backend server; present exactly for the role `backend`.
    pub backend: Option<BackendSettings>,
    /// `[limits]`: bounds on connections, bodies and waits.
    pub limits: LimitSettings,
    /// `[log]`: what is logged.
    pub log: LogSettings,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// Takes requests from callers.
    Entry,
    /// Runs in the slot of a backend server host.
    Backend,
}

/// Who a process is.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// `id`.
    pub id: HostId,
    /// `role`: `entry` or `backend`.
    pub role: RoleSettings,
    /// `region`.
    pub region: RegionId,
    /// `zone`: the availability zone.
    pub zone: ZoneId,
}

/// Where a process listens.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// `request`: callers at an entry host, entry hosts and the own engine at a slot.
    pub request: SocketAddr,
    /// `peer`: other processes of the system.
    pub peer: SocketAddr,
    /// `operator`: operators, metrics and health.
    pub operator: SocketAddr,
}

/// The platform's service.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// `addresses`: tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// `timeout_ms`: time limit of one call.
    pub timeout_ms: Duration,
}

/// Keys and digests.
#[derive(Clone, Debug)]
pub struct SecretSettings {
    /// `peer_key_file`: file with the secret that all processes share.
    pub peer_key: PeerKey,
    /// `operator_token_digest`: BLAKE3 digest of the operators' bearer token.
    pub operator_token_digest: Digest,
}

/// The origin and the link budget.
#[derive(Clone, Debug)]
pub struct WeightsSettings {
    /// `origin`: addresses of the origin, tried in turn.
    pub origin: Vec<SocketAddr>,
    /// `memory_limit_bytes`: chunks held at most.
    pub memory_limit_bytes: u64,
    /// `send_bytes_per_s`: the machine's send rate.
    pub send_bytes_per_s: u64,
    /// `receive_bytes_per_s`: the machine's receive rate.
    pub receive_bytes_per_s: u64,
    /// `upload_slots`: chunks sent at the same time.
    pub upload_slots: u32,
    /// `neighbours`: processes that chunks are exchanged with.
    pub neighbours: u32,
    /// `min_share_percent`: share of the link that weights keep while live requests are late.
    pub min_share_percent: u32,
}

/// What stands behind a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The backend server of a slot.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// `kind`: `engine` or `service`.
    pub kind: BackendKind,
    /// `name`: the pool or service that the backend server belongs to.
    pub name: String,
    /// `address`.
    pub address: SocketAddr,
    /// `checks_fencing`: whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// `concurrency`: requests in progress at the backend server at most.
    pub concurrency: u32,
    /// `max_queued`: requests that wait in the slot at most.
    pub max_queued: u32,
}

/// Bounds on connections, bodies and waits.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// `max_connections`.
    pub max_connections: usize,
    /// `max_body_bytes`.
    pub max_body_bytes: usize,
    /// `request_timeout_ms`: a request's whole time when the caller names none.
    pub request_timeout_ms: Duration,
    /// `entry_hosts_max_age_s`: time for which callers may keep the list of entry hosts.
    pub entry_hosts_max_age_s: Duration,
    /// `drain_timeout_ms`: longest wait for requests in progress at a graceful shutdown.
    pub drain_timeout_ms: Duration,
}

/// What is logged.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// `level`: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Settings {
    /// Reads and checks the file at `path`; the error names every problem found.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| SettingsError::Unreadable(path.to_owned(), err))?;
        Settings::parse(&text, path)
    }

    /// Checks `text`, which stands in the file at `path`; file names in it are relative to its folder.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        let mut reader = IniReader::new(text, path)?;
        let settings = read(&mut reader);
        reader.finish()?;
        Ok(settings.expect("a reader without problems gives every value"))
    }
}

fn read(reader: &mut IniReader) -> Option<Settings> {
    let host = read_host(reader);
    let listen = read_listen(reader);
    let platform = read_platform(reader);
    let join = reader.optional_addresses("join", "peers");
    let secrets = read_secrets(reader);
    let weights = read_weights(reader);
    let limits = read_limits(reader);
    let log = read_log(reader);
    let backend = read_backend_for_role(reader, host.as_ref().map(|it| it.role));
    Some(Settings {
        host: host?,
        listen: listen?,
        platform: platform?,
        join,
        secrets: secrets?,
        weights: weights?,
        backend: backend?,
        limits: limits?,
        log: log?,
    })
}

pub(crate) fn read_host(reader: &mut IniReader) -> Option<HostSettings> {
    let id = reader.name("host", "id");
    let role = reader.choice(
        "host",
        "role",
        &[("entry", RoleSettings::Entry), ("backend", RoleSettings::Backend)],
    );
    let region = reader.name("host", "region");
    let zone = reader.name("host", "zone");
    Some(HostSettings { id: id?, role: role?, region: region?, zone: zone? })
}

fn read_listen(reader: &mut IniReader) -> Option<ListenSettings> {
    let request = reader.address("listen", "request");
    let peer = reader.address("listen", "peer");
    let operator = reader.address("listen", "operator");
    Some(ListenSettings { request: request?, peer: peer?, operator: operator? })
}

fn read_platform(reader: &mut IniReader) -> Option<PlatformSettings> {
    let addresses = reader.addresses("platform", "addresses");
    let timeout_ms = reader.milliseconds("platform", "timeout_ms", 1..=60_000, 2_000);
    Some(PlatformSettings { addresses: addresses?, timeout_ms: timeout_ms? })
}

fn read_secrets(reader: &mut IniReader) -> Option<SecretSettings> {
    let peer_key = reader.peer_key("secrets", "peer_key_file");
    let operator_token_digest = reader.digest("secrets", "operator_token_digest");
    Some(SecretSettings { peer_key: peer_key?, operator_token_digest: operator_token_digest? })
}

fn read_weights(reader: &mut IniReader) -> Option<WeightsSettings> {
    const SECTION: &str = "weights";
    const RATES: std::ops::RangeInclusive<u64> = 10_000..=100_000_000_000;
    let origin = reader.addresses(SECTION, "origin");
    let memory = reader.number(SECTION, "memory_limit_bytes", 1 << 20..=1 << 44, 1 << 30);
    let send = reader.number(SECTION, "send_bytes_per_s", RATES, 125_000_000);
    let receive = reader.number(SECTION, "receive_bytes_per_s", RATES, 125_000_000);
    let upload_slots = reader.number(SECTION, "upload_slots", 1..=64, 4);
    let neighbours = reader.number(SECTION, "neighbours", 1..=64, 12);
    let min_share = reader.number(SECTION, "min_share_percent", 1..=100, 20);
    Some(WeightsSettings {
        origin: origin?,
        memory_limit_bytes: memory?,
        send_bytes_per_s: send?,
        receive_bytes_per_s: receive?,
        upload_slots: upload_slots? as u32,
        neighbours: neighbours? as u32,
        min_share_percent: min_share? as u32,
    })
}

/// Reads `[backend]`, which belongs to the role `backend` alone; checks it also while the role is unknown.
fn read_backend_for_role(
    reader: &mut IniReader,
    role: Option<RoleSettings>,
) -> Option<Option<BackendSettings>> {
    let has_section = reader.has_section("backend");
    match role {
        Some(RoleSettings::Backend) => read_backend(reader).map(Some),
        None if has_section => read_backend(reader).map(Some),
        Some(RoleSettings::Entry) if has_section => {
            read_backend(reader);
            reader.reject_section("backend", "belongs to role = backend; remove it");
            None
        }
        _ => Some(None),
    }
}

fn read_backend(reader: &mut IniReader) -> Option<BackendSettings> {
    const SECTION: &str = "backend";
    let kind = reader.choice(
        SECTION,
        "kind",
        &[("engine", BackendKind::Engine), ("service", BackendKind::Service)],
    );
    let name = reader.name(SECTION, "name");
    let address = reader.address(SECTION, "address");
    let checks_fencing = reader.flag(SECTION, "checks_fencing", false);
    let concurrency = reader.number(SECTION, "concurrency", 1..=10_000, 8);
    let max_queued = reader.number(SECTION, "max_queued", 0..=100_000, 1_000);
    Some(BackendSettings {
        kind: kind?,
        name: name?,
        address: address?,
        checks_fencing: checks_fencing?,
        concurrency: concurrency? as u32,
        max_queued: max_queued? as u32,
    })
}

fn read_limits(reader: &mut IniReader) -> Option<LimitSettings> {
    const SECTION: &str = "limits";
    let max_connections = reader.number(SECTION, "max_connections", 1..=100_000, 4_096);
    let max_body = reader.number(SECTION, "max_body_bytes", 1_024..=1 << 30, 4 << 20);
    let request = reader.milliseconds(SECTION, "request_timeout_ms", 1..=3_600_000, 60_000);
    let max_age = reader.number(SECTION, "entry_hosts_max_age_s", 1..=3_600, 10);
    let drain = reader.milliseconds(SECTION, "drain_timeout_ms", 1..=3_600_000, 120_000);
    Some(LimitSettings {
        max_connections: max_connections? as usize,
        max_body_bytes: max_body? as usize,
        request_timeout_ms: request?,
        entry_hosts_max_age_s: Duration::from_secs(max_age?),
        drain_timeout_ms: drain?,
    })
}

pub(crate) fn read_log(reader: &mut IniReader) -> Option<LogSettings> {
    use log::LevelFilter;
    let levels = [
        ("info", LevelFilter::Info),
        ("error", LevelFilter::Error),
        ("warn", LevelFilter::Warn),
        ("debug", LevelFilter::Debug),
        ("trace", LevelFilter::Trace),
    ];
    let level = reader.choice_or_first("log", "level", &levels);
    Some(LogSettings { level: level? })
}
