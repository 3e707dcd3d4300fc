//! Decodes the store's objects of backend servers and of published versions.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_json::Value;
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{
    platform::{store::StoredObject, wire_config::MAX_TIME},
    routing::{BackendServer, BackendState, LoadedLayers, TargetVersion},
};

/// The kind of the objects that describe backend servers.
pub const SERVER_KIND: &str = "servers";
/// The kind of the objects that publish new versions of weights.
pub const VERSION_KIND: &str = "versions";
/// Greatest number of slots, and of pieces of weights, that is used; sums of more might overflow.
pub(crate) const MAX_COUNT: u32 = 1 << 16;

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireServer {
    service: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(flatten)]
    weights: WireWeights,
    /// The time at which the engine started, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
    /// How much longer it stays cold, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    #[serde(default, rename = "cold-left-ms")]
    cold_left: Duration,
}

/// The weights of an engine, in the store's object and in the engine's report.
#[derive(Debug, Deserialize)]
pub(crate) struct WireWeights {
    #[serde(default)]
    models: Vec<WireModel>,
    #[serde(default)]
    layers: Value,
}

#[derive(Debug, Deserialize)]
struct WireModel {
    name: String,
    version: u64,
}

#[derive(Debug, Deserialize)]
struct WireLayers {
    from: u32,
    /// The layer after the last one, despite the name.
    target: u32,
    version: u64,
}

/// Decodes a backend server; fails if a field is missing or invalid or the state is unknown.
pub fn decode_server(object: &StoredObject) -> Result<BackendServer, serde_json::Error> {
    let entry = WireServer::deserialize(&object.spec)?;
    let state = match entry.state.as_str() {
        "ready" => BackendState::Ready,
        "draining" => BackendState::Draining,
        other => {
            let message = format!("unknown state '{other}'; use 'ready' or 'draining'");
            return Err(serde::de::Error::custom(message));
        }
    };
    Ok(BackendServer {
        id: object.metadata.name.clone(),
        service: entry.service,
        address: entry.address,
        zone: entry.zone,
        slots: entry.slots.min(MAX_COUNT),
        state,
        weights: entry.weights.decode(),
        is_switching: false,
        started_ms: entry.born,
        cold_left: entry.cold_left.min(MAX_TIME),
    })
}

/// Decodes the newest published version of a model.
pub fn decode_version(object: &StoredObject) -> Result<TargetVersion, serde_json::Error> {
    #[derive(Deserialize)]
    struct PublishedVersion {
        model: String,
        version: u64,
    }
    let published = PublishedVersion::deserialize(&object.spec)?;
    Ok(TargetVersion {
        model: published.model,
        version: published.version,
        revision: object.metadata.revision,
    })
}

impl WireWeights {
    /// Returns the loaded layers of all models.
    ///
    /// A model for which no layers are listed is omitted: it is loaded only in part or not at all.
    pub(crate) fn decode(self) -> Vec<LoadedLayers> {
        let ranges: Vec<WireLayers> = match self.layers {
            Value::Null => Vec::new(),
            Value::Array(items) => items.into_iter().filter_map(decode_layers).collect(),
            item => decode_layers(item).into_iter().collect(),
        };
        let to_loaded_layers = |model: &WireModel, range: &WireLayers| LoadedLayers {
            model: model.name.clone(),
            version: range.version,
            first_layer: range.from,
            end_layer: range.target,
        };
        let layers_of_model = |model: &WireModel| {
            let ranges = ranges.iter().filter(|it| it.version == model.version);
            ranges.map(|it| to_loaded_layers(model, it)).collect::<Vec<LoadedLayers>>()
        };
        self.models.iter().flat_map(layers_of_model).collect()
    }
}

fn decode_layers(item: Value) -> Option<WireLayers> {
    match serde_json::from_value(item) {
        Ok(layers) => Some(layers),
        Err(err) => {
            log::warn!("platform: skipped an invalid range of layers error=\"{err}\"");
            None
        }
    }
}
