//! A model engine with simple continuous batching.

mod answer;
mod batch;
mod chat;
mod engine;
mod engine_behaviour;
mod engine_standin;
mod loaded_weights;

pub use crate::engine::{
    answer::expected_answer,
    engine_behaviour::{EngineBehaviour, EngineCounts},
    engine_standin::EngineStandin,
    loaded_weights::{MIXED_WEIGHTS, PARTIAL_WEIGHTS},
};
