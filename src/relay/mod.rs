//! One request on its way: from the caller to a backend server and back.

mod answer_facts;
mod attempt;
mod backend_connections;
mod caller_request;
mod engine_call;
mod event_splitter;

pub use crate::relay::{
    answer_facts::AnswerFacts,
    attempt::{Attempt, AttemptError, BackendAnswer},
    backend_connections::{BackendConnection, BackendConnections},
    caller_request::{CallerRequest, PromptSizes},
    engine_call::EngineCall,
    event_splitter::{Event, EventSplitter},
};
