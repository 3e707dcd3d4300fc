//! Stand-ins that speak the protocol of the users' platform, with blocking sockets and threads.
//!
//! They write the bytes of a response themselves, so that they can send what an HTTP library refuses
//! to send: truncated, swapped, duplicated and unframed responses.

mod raw_request;
mod scripted_server;
mod store_standin;

pub use crate::raw_http::{
    raw_request::RawRequest,
    scripted_server::{ScriptedServer, Step},
    store_standin::{StoreEndpoint, StoreFault, StoreStandin},
};
