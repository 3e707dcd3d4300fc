//! The users' platform: this folder only translates between its words and the product's types.

pub mod engine_api;
pub mod origin_api;
pub mod store;
pub mod wire_config;
pub mod wire_directory;
pub mod wire_headers;
pub mod wire_objects;
pub mod wire_server;
