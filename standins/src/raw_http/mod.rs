//! Stand-ins that speak the protocol of the users' platform, on plain threads and raw bytes.
//!
//! They are apart from the other stand-ins because they must be able to send bytes that no HTTP
//! library would: cut, crossed, doubled and unframed answers.

mod raw_request;
mod scripted_server;
mod store_standin;

pub use crate::raw_http::{
    raw_request::RawRequest,
    scripted_server::{ScriptedServer, Step},
    store_standin::{StoreEndpoint, StoreFault, StoreStandin},
};
