//! Client for the administration routes of a model engine.

mod engine_client;

pub use crate::engine::engine_client::{EngineClient, EngineError, EngineState, LoadOrder};
