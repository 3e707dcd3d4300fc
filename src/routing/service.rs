//! Pools of model engines, plain services and origins of weights.

use std::{net::SocketAddr, time::Duration};

use crate::{placement::RequestCost, routing::ColdStart};

/// A pool of model engines, a plain service without models, or the origin, from which new weights
/// are fetched.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Published parameters of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Parameters of the origin; `None` for any other service.
    pub origin: Option<Origin>,
    /// The load that its servers can handle after a start; `None` if a start makes no difference.
    pub cold_start: Option<ColdStart>,
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
    /// Time by which each request that is being written makes a step longer.
    pub step_per_request: Duration,
    /// Time by which each 1,000 tokens of context of such requests make a step longer.
    pub step_per_1000_tokens: Duration,
    /// The number of steps between two events of a stream.
    pub steps_per_event: u32,
    /// Usual number of output tokens; 0 if unknown.
    pub usual_output_tokens: u32,
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

impl EngineSpec {
    /// Returns the work of a request for an engine that has room for it.
    pub fn cost(&self, prompt_tokens: u32, output_tokens: u32) -> RequestCost {
        let output_tokens = match output_tokens {
            0 => self.usual_output_tokens,
            n => n,
        };
        let memory_tokens = u64::from(prompt_tokens) + u64::from(output_tokens);
        let read_s = match self.read_tokens_per_s > 0.0 {
            true => f64::from(prompt_tokens) / self.read_tokens_per_s,
            false => 0.0,
        };
        let context = self.step_per_1000_tokens.mul_f64(memory_tokens as f64 / 1000.0);
        let step = self.step + self.step_per_request + context;
        RequestCost {
            read: Duration::try_from_secs_f64(read_s).unwrap_or(Duration::MAX / 4),
            first_event: step.saturating_mul(self.steps_per_event.max(1)),
            write: step.saturating_mul(output_tokens),
            memory_tokens,
        }
    }
}
