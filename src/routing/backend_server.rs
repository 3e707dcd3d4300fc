//! A backend server as it is known at the moment.

use std::net::SocketAddr;

use crate::ids::{BackendId, ServiceId, WeightsVersion, ZoneId};

/// A backend server of a pool or of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Names this start of the backend server.
    pub id: BackendId,
    /// The pool or service that it belongs to.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Weights that it holds; empty for a plain service.
    pub weights: Vec<HeldWeights>,
    /// Whether its slot process has it load other weights.
    pub is_switching: bool,
    /// Orders that it has accepted since its start.
    pub n_orders: u64,
    /// Start of the process in milliseconds since the Unix epoch; 0 if it doesn't tell.
    pub started_ms: u64,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// Layers of one model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldWeights {
    /// The model.
    pub model: String,
    /// Version of the weights.
    pub version: WeightsVersion,
    /// First layer that is held.
    pub first_layer: u32,
    /// Layer after the last one that is held.
    pub end_layer: u32,
}

impl BackendServer {
    /// The version of `model` of which all `n_layers` layers are held.
    pub fn whole_version(&self, model: &str, n_layers: u32) -> Option<WeightsVersion> {
        let is_whole = |it: &&HeldWeights| {
            it.model == model && it.first_layer == 0 && it.end_layer >= n_layers.max(1)
        };
        self.weights.iter().find(is_whole).map(|it| it.version)
    }
}
