//! The settings of the hosts of a deployment.

use std::{net::SocketAddr, time::Duration};

use crocustiller::{
    digest::Digest,
    peer::PeerKey,
    settings::{
        BackendKind, BackendSettings, HostSettings, LimitSettings, ListenSettings, LogSettings,
        PlatformSettings, RoleSettings, SecretSettings, Settings, WeightsSettings,
    },
};

use super::{any_port, DeploymentOptions, MAX_BODY_BYTES};

/// Returns the settings for the backend server of a slot.
pub fn backend_settings(
    options: &DeploymentOptions,
    kind: BackendKind,
    name: &str,
    address: SocketAddr,
) -> BackendSettings {
    BackendSettings {
        kind,
        name: name.to_owned(),
        address,
        checks_fencing: true,
        concurrency: options.concurrency,
        max_queued: options.max_queued,
    }
}

/// Returns the secret of the peer key. Each deployment has its own, as the port of a killed host may be
/// taken by a deployment of another test, which would answer in its place.
pub fn peer_secret(platform: SocketAddr) -> String {
    format!("deployment-with-platform-{platform}")
}

/// Returns the settings of one host, a slot if it has a backend server.
pub fn settings(
    options: &DeploymentOptions,
    id: &str,
    backend: Option<BackendSettings>,
    platform: SocketAddr,
) -> Settings {
    let role = if backend.is_some() { RoleSettings::Backend } else { RoleSettings::Entry };
    Settings {
        host: HostSettings {
            id: id.to_owned(),
            role,
            region: "region".to_owned(),
            zone: "zone".to_owned(),
        },
        listen: ListenSettings { request: any_port(), peer: any_port(), operator: any_port() },
        platform: PlatformSettings {
            addresses: vec![platform],
            timeout_ms: Duration::from_secs(1),
        },
        join: Vec::new(),
        secrets: SecretSettings {
            peer_key: PeerKey::from_secret(peer_secret(platform).as_bytes()),
            operator_token_digest: Digest::of(b"operator"),
        },
        weights: WeightsSettings {
            origin: vec![any_port()],
            memory_limit_bytes: 1 << 20,
            send_bytes_per_s: 1 << 30,
            receive_bytes_per_s: 1 << 30,
            upload_slots: 1,
            neighbours: 1,
            min_share_percent: 20,
        },
        backend,
        limits: LimitSettings {
            max_connections: 1000,
            max_body_bytes: MAX_BODY_BYTES,
            request_timeout_ms: Duration::from_millis(options.timeout_ms),
            entry_hosts_max_age_s: Duration::from_secs(options.max_age_s),
            drain_timeout_ms: Duration::from_secs(30),
        },
        log: LogSettings { level: log::LevelFilter::Info },
    }
}
