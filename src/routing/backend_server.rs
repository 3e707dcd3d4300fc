//! The last known state of a backend server.

use std::{net::SocketAddr, time::Duration};

use crate::ids::{BackendId, ServiceId, WeightsVersion, ZoneId};

/// A backend server of a pool or of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Id of this start of the backend server; a restart gets a new one.
    pub id: BackendId,
    /// Pool or service that it belongs to.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// Weights in its memory; empty for a plain service.
    pub weights: Vec<LoadedLayers>,
    /// Whether it is loading other weights, as its slot process ordered.
    pub is_switching: bool,
    /// Start time of the process in milliseconds since the Unix epoch; 0 if it reports none.
    pub started_ms: u64,
    /// Time for which it stays cold, counted from the update of its entry that says so.
    pub cold_left: Duration,
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests, then exits.
    Draining,
}

/// Layers of one model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedLayers {
    /// The model.
    pub model: String,
    /// Version of the weights.
    pub version: WeightsVersion,
    /// First loaded layer.
    pub first_layer: u32,
    /// Layer after the last loaded one.
    pub end_layer: u32,
}

impl BackendServer {
    /// Returns the version of `model` of which all `n_layers` layers are loaded.
    pub fn complete_version(&self, model: &str, n_layers: u32) -> Option<WeightsVersion> {
        let is_complete = |it: &&LoadedLayers| {
            it.model == model && it.first_layer == 0 && it.end_layer >= n_layers.max(1)
        };
        self.weights.iter().find(is_complete).map(|it| it.version)
    }
}
