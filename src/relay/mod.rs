//! Relays a caller's request to a backend server and the response back.

mod attempt;
mod backend_connections;
mod caller_request;
mod engine_call;
mod event_splitter;
mod response_info;
mod stated_limit;

pub use crate::relay::{
    attempt::{Attempt, AttemptError, BackendResponse},
    backend_connections::{BackendConnection, BackendConnections},
    caller_request::{CallerRequest, PromptSizes},
    engine_call::EngineCall,
    event_splitter::{Event, EventSplitter, Events},
    response_info::ResponseInfo,
    stated_limit::StatedLimit,
};
