//! A client for the object service of the platform, and the watches of its documents.
//!
//! The service stores objects by name, with revisions and conditional updates.

mod document_watch;
mod platform_client;

pub use crate::objects::{
    document_watch::{choose_watchers, DocumentWatch},
    platform_client::{ListedHost, Object, PlatformClient, PlatformError, Precondition},
};
