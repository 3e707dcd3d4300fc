//! Stand-ins that use the protocol of the users' platform, on threads with blocking sockets.
//!
//! They write the bytes of a response themselves, so that they can send what no HTTP library would
//! send: truncated, swapped, duplicated and unframed responses.

mod raw_request;
mod scripted_server;
mod store_standin;
mod store_state;

pub use crate::raw_http::{
    raw_request::RawRequest,
    scripted_server::{ScriptedServer, Step},
    store_standin::{CallCounts, StoreEndpoint, StoreFault, StoreStandin},
};
