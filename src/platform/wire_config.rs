//! Decodes the operator's configuration object into a `RoutingCharter`.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_json::Value;
use serde_with::{serde_as, DurationMilliSeconds, DurationSecondsWithFrac};

use crate::{
    ids::ServiceId,
    placement::RegionConstraint,
    platform::{store::StoredObject, wire_server::MAX_COUNT},
    routing::{
        CallerLimits, CharterDraft, ColdStart, Customer, DraftCustomer, EngineSpec, ModelSpec,
        Origin, Route, RouteKind, RouteTarget, RoutingCharter, Service,
    },
};

/// The kind of the configuration object.
pub const CONFIG_KIND: &str = "config";
/// The number of bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Longest time that is used; points in time after longer ones might not be representable.
pub(crate) const MAX_TIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// The name of the configuration object.
const CONFIG_NAME: &str = "main";

/// Decodes the configuration; returns `None` for other objects of the same kind.
pub fn decode_config(object: &StoredObject) -> Result<Option<RoutingCharter>, serde_json::Error> {
    if object.metadata.name != CONFIG_NAME {
        return Ok(None);
    }
    Ok(Some(decode_draft(&object.spec)?.into_charter()))
}

/// Decodes the content of the configuration object with all its entries.
pub fn decode_draft(spec: &Value) -> Result<CharterDraft, serde_json::Error> {
    Ok(WireConfig::deserialize(spec)?.into_draft())
}

#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    /// Absent if callers need no API key.
    tenants: Option<Vec<WireTenant>>,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireRoute {
    host: String,
    path_prefix: String,
    route_type: String,
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    timeout_ms: Duration,
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    goal_ms: Duration,
    #[serde(default)]
    priority: u32,
    /// The only service of the route; a route that splits its requests has `backends` instead.
    service: Option<String>,
    #[serde(default)]
    backends: Vec<WireTarget>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// Empty if all regions are allowed.
    #[serde(default)]
    allowed_regions: Vec<String>,
}

#[derive(Deserialize)]
struct WireTarget {
    service: String,
    weight: u32,
}

#[serde_as]
#[derive(Deserialize)]
struct WireService {
    name: String,
    engine: Option<WireEngine>,
    /// The address of the origin of weights; the store has no object for it.
    origin: Option<SocketAddr>,
    /// The bandwidth of the origin's link in Mbit/s.
    #[serde(default, rename = "link-mbps")]
    link_mbps: f64,
    /// The time for which a server is cold after its start.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default, rename = "cold-start-s")]
    cold_start_s: Duration,
    /// The requests per second that a cold server can handle; 0 if a start makes no difference.
    #[serde(default, rename = "cold-per-s")]
    cold_per_s: f64,
}

/// The names of these fields on the wire have underscores or hyphens as separators, so that no
/// `rename_all` fits.
#[serde_as]
#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    models: Vec<WireModel>,
    /// The duration of one step of token generation in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    #[serde(default)]
    step_ms: Duration,
    /// The time in milliseconds by which each request that is being written makes a step longer.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    #[serde(default)]
    per_seq_ms: Duration,
    /// The time in milliseconds by which each 1,000 tokens of context make a step longer.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    #[serde(default)]
    context_per_k: Duration,
    /// The number of steps between two events of a stream.
    #[serde(default)]
    stride: u32,
    #[serde(default)]
    usual: WireUsual,
    /// The number of prompt tokens that the engine reads per second.
    #[serde(default)]
    read_per_s: f64,
    #[serde(default)]
    layers: u32,
    #[serde(default)]
    chunks: u32,
    #[serde(default, rename = "chunk-bytes")]
    chunk_bytes: u32,
}

/// The mean numbers of tokens of a request.
#[derive(Default, Deserialize)]
struct WireUsual {
    /// The number of output tokens.
    #[serde(default)]
    answer: u32,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireModel {
    name: String,
    /// The time to load staged weights; the field `load-s`, not used here, is the time to load weights
    /// that are not staged.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default)]
    warm_s: Duration,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    header_timeout_ms: Duration,
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    idle_timeout_ms: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    /// Goes before the priority of a route; 0 is the most urgent.
    priority: Option<u32>,
    /// Empty if all regions are allowed.
    #[serde(default)]
    allowed_regions: Vec<String>,
}

fn default_max_attempts() -> u32 {
    1
}

impl WireConfig {
    fn into_draft(self) -> CharterDraft {
        let routes = self.routes.into_iter().map(WireRoute::into_route).collect();
        let services = self.services.into_iter().map(WireService::into_service).collect();
        let customers =
            self.tenants.map(|it| it.into_iter().map(WireTenant::into_customer).collect());
        let limits = CallerLimits {
            max_head_bytes: self.limits.max_header_bytes,
            max_body_bytes: self.limits.max_body_bytes,
            head_timeout: self.limits.header_timeout_ms.min(MAX_TIME),
            idle_timeout: self.limits.idle_timeout_ms.min(MAX_TIME),
        };
        CharterDraft { number: self.version, routes, services, customers, limits }
    }
}

impl WireTenant {
    fn into_customer(self) -> DraftCustomer {
        let customer = Customer {
            id: self.name,
            priority: self.priority,
            regions: RegionConstraint::from_list(self.allowed_regions),
        };
        DraftCustomer { customer, keys: self.api_keys }
    }
}

impl WireRoute {
    fn into_route(self) -> Route {
        let kind = match self.route_type.as_str() {
            "idempotent" => RouteKind::Idempotent,
            "streaming" => RouteKind::Stream { is_resumable: self.resumable },
            _ => RouteKind::NonIdempotent,
        };
        let mut targets: Vec<RouteTarget> = self
            .backends
            .into_iter()
            .map(|it| RouteTarget { service: it.service, weight: it.weight })
            .collect();
        if let Some(service) = self.service {
            targets.push(RouteTarget { service, weight: 1 });
        }
        Route {
            host: self.host.to_ascii_lowercase(),
            prefix: self.path_prefix,
            kind,
            timeout: self.timeout_ms.min(MAX_TIME),
            latency_objective: self.goal_ms.min(MAX_TIME),
            priority: self.priority,
            targets,
            max_attempts: self.max_attempts,
            is_public: self.public,
            regions: RegionConstraint::from_list(self.allowed_regions),
        }
    }
}

impl WireService {
    fn into_service(self) -> (ServiceId, Service) {
        let engine = self.engine.map(|it| EngineSpec {
            slots: it.slots.min(MAX_COUNT),
            models: it
                .models
                .into_iter()
                .map(|it| ModelSpec { name: it.name, load: it.warm_s.min(MAX_TIME) })
                .collect(),
            n_layers: it.layers,
            n_pieces: it.chunks.min(MAX_COUNT),
            piece_bytes: it.chunk_bytes,
            step: it.step_ms.min(MAX_TIME),
            step_per_request: it.per_seq_ms.min(MAX_TIME),
            step_per_1000_tokens: it.context_per_k.min(MAX_TIME),
            steps_per_event: it.stride.min(MAX_COUNT),
            usual_output_tokens: it.usual.answer,
            read_tokens_per_s: it.read_per_s,
        });
        let origin = self.origin.map(|address| {
            let bytes_per_s = self.link_mbps * BYTES_PER_MBIT;
            Origin { address, bytes_per_s }
        });
        let cold_start = (self.cold_per_s > 0.0).then(|| ColdStart {
            duration: self.cold_start_s.min(MAX_TIME),
            max_requests_per_s: self.cold_per_s,
        });
        (self.name, Service { engine, origin, cold_start })
    }
}
