//! Entries of backend servers and of named versions, decoded.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use crate::{
    platform::store::StoredObject,
    routing::{BackendServer, BackendState, LoadedLayers, TargetVersion},
};

/// Kind of the entries of backend servers.
pub const SERVER_KIND: &str = "servers";
/// Kind of the entries that name new weights.
pub const VERSION_KIND: &str = "versions";

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
    /// Orders accepted, not a number of the entry.
    #[serde(default)]
    sequence: u64,
    /// Millisecond of the engine's start.
    #[serde(default)]
    born: u64,
}

/// What an engine says of its weights, in its entry and in its report.
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
    /// Layer after the last one, despite its name.
    target: u32,
    version: u64,
}

/// Decodes the entry of a backend server; an entry that names none to use is an error.
pub fn decode_server(object: &StoredObject) -> Result<BackendServer, serde_json::Error> {
    let entry = WireServer::deserialize(&object.spec)?;
    let state = match entry.state.as_str() {
        "ready" => BackendState::Ready,
        "draining" => BackendState::Draining,
        other => {
            let message = format!("unknown state '{other}'");
            return Err(serde::de::Error::custom(message));
        }
    };
    Ok(BackendServer {
        id: object.metadata.name.clone(),
        service: entry.service,
        address: entry.address,
        zone: entry.zone,
        slots: entry.slots,
        state,
        weights: entry.weights.decode(),
        is_switching: false,
        n_orders: entry.sequence,
        started_ms: entry.born,
    })
}

/// Decodes the entry that names a model's newest weights.
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
    /// The layers that are held; a model without layers is in memory only in part or not at all.
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
            log::warn!("platform: layers left out error=\"{err}\"");
            None
        }
    }
}
