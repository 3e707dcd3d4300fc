//! Orders to the model engine behind a slot.

mod engine_client;

pub use crate::engine::engine_client::{EngineClient, EngineError, EngineState, LoadOrder};
