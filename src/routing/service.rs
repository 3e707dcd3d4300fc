//! Pools of model engines, plain services and origins of weights.

use std::{net::SocketAddr, time::Duration};

/// A pool of model engines, a plain service without models, or the origin, from which new weights
/// are fetched.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Published parameters of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Parameters of the origin; `None` for any other service.
    pub origin: Option<Origin>,
}

/// The server from which new weights are fetched.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Address of the server.
    pub address: SocketAddr,
    /// Bandwidth of its link in bytes per second; 0 if unknown.
    pub bytes_per_s: f64,
}

/// The published parameters of the engines of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The number of requests that an engine processes at once.
    pub slots: u32,
    /// Models that the engines can serve.
    pub models: Vec<ModelSpec>,
    /// The number of layers of a model.
    pub n_layers: u32,
    /// The number of pieces that a model's weights consist of.
    pub n_pieces: u32,
    /// Length of a piece in bytes; the last piece may be shorter.
    pub piece_bytes: u32,
    /// Duration of one step of token generation.
    pub step: Duration,
    /// The number of prompt tokens that an engine reads per second.
    pub read_tokens_per_s: f64,
}

/// A model of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: String,
    /// Time that an engine needs to load staged weights.
    pub load: Duration,
}
