//! A stand-in for a model engine, with simple continuous batching.

mod batch;
mod chat;
mod chat_completion;
mod engine;
mod engine_behaviour;
mod engine_standin;
mod loaded_weights;

pub use crate::engine::{
    chat_completion::expected_answer,
    engine_behaviour::{EngineBehaviour, EngineCounts},
    engine_standin::EngineStandin,
    loaded_weights::{MIXED_WEIGHTS, PARTIAL_WEIGHTS},
};
