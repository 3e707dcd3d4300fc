//! The interfaces of the users' platform.
//!
//! These modules only translate between the formats and names of the platform and the types of this
//! crate.

pub mod engine_api;
pub mod origin_api;
pub mod store;
pub mod wire_config;
pub mod wire_directory;
pub mod wire_headers;
pub mod wire_objects;
pub mod wire_server;
