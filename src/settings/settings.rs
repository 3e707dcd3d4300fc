//! Settings that a process reads at its start.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    digest::Digest,
    ids::{HostId, RegionId, ZoneId},
    peer::PeerKey,
    settings::ini_reader::{IniReader, SettingsError},
};

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[host]`: identity, role and location of the process.
    pub host: HostSettings,
    /// `[listen]`: listen addresses of the process.
    pub listen: ListenSettings,
    /// `[platform]`: addresses of the platform's object service and the timeout of its calls.
    pub platform: PlatformSettings,
    /// `[join] peers`: peer addresses of processes from which the membership is learned.
    pub join: Vec<SocketAddr>,
    /// `[secrets]`: keys and digests, read from the files that the settings name.
    pub secrets: SecretSettings,
    /// `[weights]`: addresses of the origin, memory limit and link budget.
    pub weights: WeightsSettings,
    /// `[backend]`: the backend server; present if and only if the role is `backend`.
    pub backend: Option<BackendSettings>,
    /// `[limits]`: limits on connections, body sizes and waits.
    pub limits: LimitSettings,
    /// `[log]`: log settings.
    pub log: LogSettings,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// An entry host, which accepts requests from callers.
    Entry,
    /// A slot process, which runs beside the backend server of a backend server host.
    Backend,
}

/// The identity, role and location of a process, keys of `[host]`.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// `id`: the host id.
    pub id: HostId,
    /// `role`: `entry` or `backend`.
    pub role: RoleSettings,
    /// `region`: the region of the host.
    pub region: RegionId,
    /// `zone`: the availability zone of the host.
    pub zone: ZoneId,
}

/// The listen addresses of a process, keys of `[listen]`.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// `request`: address for requests: from callers at an entry host, from entry hosts and the
    /// slot's own engine at a slot.
    pub request: SocketAddr,
    /// `peer`: address for other processes of the system.
    pub peer: SocketAddr,
    /// `operator`: address for operators, metrics and health checks.
    pub operator: SocketAddr,
}

/// The platform's object service, keys of `[platform]`.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// `addresses`: addresses of the service, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// `timeout_ms`: timeout of one call.
    pub timeout_ms: Duration,
}

/// Keys and digests, keys of `[secrets]`.
#[derive(Clone, Debug)]
pub struct SecretSettings {
    /// `peer_key_file`: the key derived from the secret in this file, which all processes share.
    pub peer_key: PeerKey,
    /// `operator_token_digest`: BLAKE3 digest of the operators' bearer token.
    pub operator_token_digest: Digest,
}

/// The origin, the memory limit and the link budget for weights, keys of `[weights]`.
#[derive(Clone, Debug)]
pub struct WeightsSettings {
    /// `origin`: addresses of the origin, tried in this order.
    pub origin: Vec<SocketAddr>,
    /// `memory_limit_bytes`: the maximum size of all chunks kept in memory.
    pub memory_limit_bytes: u64,
    /// `send_bytes_per_s`: the rate at which the machine can send.
    pub send_bytes_per_s: u64,
    /// `receive_bytes_per_s`: the rate at which the machine can receive.
    pub receive_bytes_per_s: u64,
    /// `upload_slots`: the maximum number of chunks sent concurrently.
    pub upload_slots: u32,
    /// `neighbours`: the number of processes with which chunks are exchanged.
    pub neighbours: u32,
    /// `min_share_percent`: minimum share of the link for weights while live requests are late.
    pub min_share_percent: u32,
}

/// The kind of backend server behind a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service, which has no weights.
    Service,
}

/// The backend server of a slot, keys of `[backend]`.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// `kind`: `engine` or `service`.
    pub kind: BackendKind,
    /// `name`: the pool or service that the backend server belongs to.
    pub name: String,
    /// `address`: address of the backend server.
    pub address: SocketAddr,
    /// `checks_fencing`: whether the engine rejects calls with an old fencing number.
    pub checks_fencing: bool,
    /// `concurrency`: the maximum number of requests in progress at the backend server.
    pub concurrency: u32,
    /// `max_queued`: the maximum number of requests that wait in the slot.
    pub max_queued: u32,
}

/// Limits on connections, body sizes and waits, keys of `[limits]`.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// `max_connections`: the maximum number of connections to one HTTP server of the process.
    pub max_connections: usize,
    /// `max_body_bytes`: the maximum length of a request body.
    pub max_body_bytes: usize,
    /// `request_timeout_ms`: total timeout of a request whose caller sets none.
    pub request_timeout_ms: Duration,
    /// `entry_hosts_max_age_s`: time for which callers may cache the list of entry hosts.
    pub entry_hosts_max_age_s: Duration,
    /// `drain_timeout_ms`: maximum wait for requests in progress at a graceful shutdown.
    pub drain_timeout_ms: Duration,
}

/// Log settings, keys of `[log]`.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// `level`: the lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Settings {
    /// Reads and checks the file at `path`; the error lists every problem found.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| SettingsError::Unreadable(path.to_owned(), err))?;
        Settings::parse(&text, path)
    }

    /// Parses and checks `text`, the content of the file at `path`.
    ///
    /// File names in the settings are relative to the folder of that file.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        let mut reader = IniReader::new(text, path)?;
        let settings = read(&mut reader);
        reader.finish()?;
        Ok(settings.expect("a reader without problems has read every value"))
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

/// Reads `[backend]`, which only the role `backend` may have.
///
/// If the role is invalid, the section is still checked, so that all of its problems are reported.
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
