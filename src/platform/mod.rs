//! The interfaces of the platform on which a deployment runs: its store, engines, origin and callers.
//!
//! These modules only translate between the formats and names of the platform and the types of this
//! crate. They are used by processes that run with `--platform`.

pub mod engine_api;
pub mod origin_api;
pub(crate) mod skipped_objects;
pub mod store;
mod store_contact;
mod store_decoding;
mod store_point;
pub mod wire_config;
pub mod wire_directory;
pub mod wire_evacuation;
pub mod wire_headers;
pub mod wire_objects;
pub mod wire_server;

pub use crate::platform::{
    store_contact::{ContactAges, StoreContact},
    store_point::StorePoint,
};
