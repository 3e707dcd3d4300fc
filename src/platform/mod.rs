//! The platform's service: objects with revisions and conditional updates.

mod document_watch;
pub mod engine_api;
pub mod origin_api;
mod platform_client;
pub mod store;
pub mod wire_config;
pub mod wire_directory;
pub mod wire_headers;
pub mod wire_server;

pub use crate::platform::{
    document_watch::{choose_watchers, DocumentWatch},
    platform_client::{ListedHost, Object, PlatformClient, PlatformError, Precondition},
};
