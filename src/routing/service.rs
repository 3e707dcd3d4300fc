//! Pools of model engines, plain services and origins of weights.

use std::{net::SocketAddr, time::Duration};

/// A pool, a plain service or an origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Published figures of its engines; absent for a plain service.
    pub engine: Option<EngineFigures>,
    /// Where new weights come from; present exactly for the origin.
    pub origin: Option<Origin>,
}

/// Where new weights come from.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Address.
    pub address: SocketAddr,
    /// Bytes that its link carries in a second; 0 if unknown.
    pub bytes_per_s: f64,
}

/// What is published of the engines of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFigures {
    /// Requests that are worked on at once.
    pub slots: u32,
    /// Models that the engines may serve.
    pub models: Vec<ModelFigures>,
    /// Layers of a model.
    pub n_layers: u32,
    /// Pieces of a model's weights.
    pub n_pieces: u32,
    /// Length of a piece in bytes; the last one may be shorter.
    pub piece_bytes: u32,
    /// Time of one step of token generation.
    pub step: Duration,
    /// Prompt tokens read in a second.
    pub read_tokens_per_s: f64,
}

/// A model of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelFigures {
    /// Name of the model.
    pub name: String,
    /// Time that an engine takes to load staged weights.
    pub load: Duration,
}
